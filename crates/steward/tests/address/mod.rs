//! Loopback addresses for what a test starts itself.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// A loopback address that differs for each call and process. Guards against a port that was free being
/// taken by an outgoing connection of another test (those leave from 127.0.0.1) before the daemon listens
/// there.
pub fn own() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (run, call) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 64 + (run & 63) as u8, (run >> 6 & 255) as u8, 1 + (call % 250) as u8)
}
