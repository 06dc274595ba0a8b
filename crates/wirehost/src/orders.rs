//! Writes orders as lines of a reply. An order for an unknown host is skipped.

use std::fmt::Write;

use amberarch_core::{Order, RetryPolicy};
use amberarch_facts::Names;
use base64::prelude::{Engine, BASE64_STANDARD};

pub fn write(who: u64, order: &Order, names: &mut Names, out: &mut String) {
    let written = match order {
        Order::SetEntry { table, host, weight } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "ASSIGN {who} {} {weight} {host}", table.0)
        }
        Order::ClearTable { table } => writeln!(out, "RESET_TABLE {who} {}", table.0),
        Order::Withdraw { host, withdrawn: set } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "HOLD_BACK {who} {} {host}", u8::from(*set))
        }
        Order::Bind { proxy, table, classes } => {
            writeln!(out, "POINT {who} {} {} {}", proxy.0, table.0, classes.0)
        }
        Order::Admit { table, classes, level, tries } => {
            let tries = match tries {
                RetryPolicy::One => 0,
                RetryPolicy::AfterProof => 1,
                RetryPolicy::AfterAny => 2,
                RetryPolicy::TwiceAfterAny => 3,
            };
            writeln!(out, "THROTTLE {who} {} {tries} {level} {}", table.0, classes.0)
        }
        Order::Mark { mark, all_proxies } => {
            writeln!(out, "FENCE_POST {who} {} {}", mark.0, u8::from(*all_proxies))
        }
        Order::Probe { host } => {
            let Some(host) = names.name(*host) else { return };
            writeln!(out, "ASK_LOAD {who} {host}")
        }
        // Controllers of the simulator start without stored state.
        Order::StoreHint { .. } => return,
        Order::ForgetHost { host } => return names.forget(*host),
        Order::WatchList { on } => writeln!(out, "FOLLOW {who} {}", u8::from(*on)),
        Order::FetchList => writeln!(out, "LOOKUP {who}"),
        Order::SendToPeer { peer, payload } => {
            let peer = peer.map_or(-1, |peer| i64::from(peer.0));
            let blob = match payload.is_empty() {
                true => "-".into(),
                false => BASE64_STANDARD.encode(payload),
            };
            writeln!(out, "WRITE_PEER {who} {peer} {blob}")
        }
        Order::StartTimer { after, timer } => {
            let ns = (after * 1e6).round().max(0.0) as u64;
            writeln!(out, "DEFER {who} {ns} {}", timer.0)
        }
        Order::Log { text } => writeln!(out, "REMARK {who} {}", text.replace('\n', " ")),
        Order::LogHosts { text, hosts } => {
            let hosts: Vec<&str> = hosts.iter().filter_map(|host| names.name(*host)).collect();
            writeln!(out, "REMARK {who} {}: {}", text.replace('\n', " "), hosts.join(" "))
        }
    };
    written.expect("writing to a string does not fail");
}
