//! Orders as lines of a reply; one that names a host that is not known is none.

use std::fmt::Write;

use amberarch_core::{Order, Tries};
use amberarch_facts::Names;
use base64::prelude::{Engine, BASE64_STANDARD};

pub fn write(who: u64, order: &Order, names: &mut Names, out: &mut String) {
    let written = match order {
        Order::Share { tbl, host, weight } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "ASSIGN {who} {} {weight} {host}", tbl.0)
        }
        Order::Clear { tbl } => writeln!(out, "RESET_TABLE {who} {}", tbl.0),
        Order::Withdraw { host, out: set } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "HOLD_BACK {who} {} {host}", u8::from(*set))
        }
        Order::Bind { proxy, tbl, products } => {
            writeln!(out, "POINT {who} {} {} {}", proxy.0, tbl.0, products.0)
        }
        Order::Admit { tbl, products, level, tries } => {
            let tries = match tries {
                Tries::One => 0,
                Tries::AfterProof => 1,
                Tries::AfterAny => 2,
                Tries::TwiceAfterAny => 3,
            };
            writeln!(out, "THROTTLE {who} {} {tries} {level} {}", tbl.0, products.0)
        }
        Order::Mark { mark, everyone } => {
            writeln!(out, "FENCE_POST {who} {} {}", mark.0, u8::from(*everyone))
        }
        Order::Probe { host } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "ASK_LOAD {who} {host}")
        }
        // Stewards of the simulator start from nothing.
        Order::Learnt { .. } => return,
        Order::Forget { host } => return names.forget(*host),
        Order::Watch { on } => writeln!(out, "FOLLOW {who} {}", u8::from(*on)),
        Order::Fetch => writeln!(out, "LOOKUP {who}"),
        Order::Tell { peer, blob } => {
            let peer = peer.map_or(-1, |peer| i64::from(peer.0));
            let blob = match blob.is_empty() {
                true => "-".into(),
                false => BASE64_STANDARD.encode(blob),
            };
            writeln!(out, "WRITE_PEER {who} {peer} {blob}")
        }
        Order::Timer { after, timer } => {
            let ns = (after * 1e6).round().max(0.0) as u64;
            writeln!(out, "DEFER {who} {ns} {}", timer.0)
        }
        Order::Log { text } => writeln!(out, "REMARK {who} {}", text.replace('\n', " ")),
    };
    written.expect("writing to a string does not fail");
}
