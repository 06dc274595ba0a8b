//! Orders as the relay reads them.

use amberarch_core::{HostId, Order, Products, TblId, Tries};
use bytes::Bytes;
use serde_json::json;

/// One order as JSON; `None` for what does not go to the relay, or names a host that is not known.
pub fn encode(order: &Order, host: impl Fn(HostId) -> Option<String>, products: &[String]) -> Option<Bytes> {
    let routes = |mask: Products| -> Vec<&str> {
        let named = products.iter().enumerate().filter(|(place, _)| mask.0 & (1 << place) != 0);
        named.map(|(_, name)| name.as_str()).collect()
    };
    let mut object = match order {
        Order::Share { tbl, host: id, weight } => {
            json!({"op": "share", "table": tbl.0, "server": host(*id)?, "weight": weight})
        }
        Order::Clear { tbl } => json!({"op": "clear", "table": tbl.0}),
        Order::Bind { proxy, tbl, products } => {
            json!({"op": "bind", "proxy": proxy.0, "table": tbl.0, "routes": routes(*products)})
        }
        Order::Withdraw { host: id, out: true } => json!({"op": "withdraw", "server": host(*id)?}),
        Order::Withdraw { host: id, out: false } => json!({"op": "restore", "server": host(*id)?}),
        Order::Admit { tbl, products, level, tries } => {
            let policy = match tries {
                Tries::One => 0,
                Tries::AfterProof => 1,
                Tries::AfterAny => 2,
                Tries::TwiceAfterAny => 3,
            };
            json!({"op": "admit", "table": tbl.0, "routes": routes(*products), "admit": level, "policy": policy})
        }
        Order::Mark { mark, everyone } => {
            json!({"op": "mark", "nonce_out": mark.0, "on": u8::from(*everyone)})
        }
        _ => return None,
    };
    // All tables and all classes are said by leaving them out.
    if let Some(fields) = object.as_object_mut() {
        fields.retain(|key, value| {
            let all = key == "table" && *value == TblId::ALL.0 || key == "routes" && *value == json!([]);
            !all
        });
    }
    Some(object.to_string().into())
}
