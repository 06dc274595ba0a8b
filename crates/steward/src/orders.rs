//! Encodes orders in the relay's JSON format.

use amberarch_core::{ClassSet, HostId, Order, RetryPolicy, TableId};
use bytes::Bytes;
use serde_json::json;

/// Encodes one order as JSON; `None` for orders that do not go to the relay or name an unknown host.
pub fn encode(order: &Order, host: impl Fn(HostId) -> Option<String>, classes: &[String]) -> Option<Bytes> {
    let routes = |mask: ClassSet| -> Vec<&str> {
        let named = classes.iter().enumerate().filter(|(place, _)| mask.0 & (1 << place) != 0);
        named.map(|(_, name)| name.as_str()).collect()
    };
    let mut object = match order {
        Order::SetEntry { table, host: id, weight } => {
            json!({"op": "share", "table": table.0, "server": host(*id)?, "weight": weight})
        }
        Order::ClearTable { table } => json!({"op": "clear", "table": table.0}),
        Order::Bind { proxy, table, classes } => {
            json!({"op": "bind", "proxy": proxy.0, "table": table.0, "routes": routes(*classes)})
        }
        Order::Withdraw { host: id, withdrawn: true } => json!({"op": "withdraw", "server": host(*id)?}),
        Order::Withdraw { host: id, withdrawn: false } => json!({"op": "restore", "server": host(*id)?}),
        Order::Admit { table, classes, level, tries } => {
            let policy = match tries {
                RetryPolicy::One => 0,
                RetryPolicy::AfterProof => 1,
                RetryPolicy::AfterAny => 2,
                RetryPolicy::TwiceAfterAny => 3,
            };
            json!({"op": "admit", "table": table.0, "routes": routes(*classes), "admit": level, "policy": policy})
        }
        Order::Mark { mark, all_proxies } => {
            json!({"op": "mark", "nonce_out": mark.0, "on": u8::from(*all_proxies)})
        }
        _ => return None,
    };
    // On the wire an absent field means all tables or all classes.
    if let Some(fields) = object.as_object_mut() {
        fields.retain(|key, value| {
            let all = key == "table" && *value == TableId::ALL.0 || key == "routes" && *value == json!([]);
            !all
        });
    }
    Some(object.to_string().into())
}
