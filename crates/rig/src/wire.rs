//! Decodes the orders in a call to the relay.

use amberarch_core::{ClassId, ClassSet, HostId, MarkId, Order, ProxyId, RetryPolicy, TableId};
use serde_json::Value;

/// Resolves the names in orders.
pub trait Names {
    fn host(&self, name: &str) -> Option<HostId>;
    fn class(&self, name: &str) -> Option<ClassId>;
    /// Whether the proxy has joined, so that it can be bound.
    fn joined(&self, proxy: ProxyId) -> bool;
}

/// Decodes an order. `None`: it is malformed or not applicable.
pub fn read_order(order: &Value, names: &impl Names) -> Option<Order> {
    let tbl = || match &order["table"] {
        Value::Null => Some(TableId::ALL),
        number => Some(TableId(u16::try_from(number.as_u64()?).ok()?)),
    };
    let host = || names.host(order["server"].as_str()?);
    let classes = || {
        let named = order["routes"].as_array().map_or(&[][..], Vec::as_slice);
        let class = |name: &Value| names.class(name.as_str()?);
        let classes: Option<Vec<ClassId>> = named.iter().map(class).collect();
        Some(ClassSet(classes?.into_iter().map(|class| ClassSet::one(class).0).sum()))
    };
    match order["op"].as_str()? {
        "share" => {
            let weight = order["weight"].as_f64().filter(|weight| *weight >= 0.0)?;
            Some(Order::SetEntry { table: tbl()?, host: host()?, weight })
        }
        "clear" => Some(Order::ClearTable { table: tbl()? }),
        "bind" => {
            let proxy = ProxyId(u16::try_from(order["proxy"].as_u64()?).ok()?);
            names.joined(proxy).then_some(Order::Bind { proxy, table: tbl()?, classes: classes()? })
        }
        "withdraw" => Some(Order::Withdraw { host: host()?, withdrawn: true }),
        "restore" => Some(Order::Withdraw { host: host()?, withdrawn: false }),
        "admit" => {
            let policies = [
                RetryPolicy::One,
                RetryPolicy::AfterProof,
                RetryPolicy::AfterAny,
                RetryPolicy::TwiceAfterAny,
            ];
            let tries = *policies.get(order["policy"].as_u64()? as usize)?;
            let level = order["admit"].as_f64()?;
            Some(Order::Admit { table: tbl()?, classes: classes()?, level, tries })
        }
        "mark" => {
            let mark = MarkId(order["nonce_out"].as_u64()? as u16);
            Some(Order::Mark { mark, all_proxies: order["on"] == 1 })
        }
        _ => None,
    }
}
