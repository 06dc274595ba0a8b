//! `[intake]`: the address for load reports and the limits on them.

use std::net::SocketAddr;

use serde::Deserialize;
use toml::Spanned;

use crate::{between, Unfit};

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intake {
    /// Address to which reporters connect. The platform has to let the program listen on it.
    pub listen: SocketAddr,
    /// Total rate of reports accepted over all hosts, per second; each reporter's interval is derived
    /// from it.
    pub reports_per_s: Spanned<u32>,
    #[serde(default = "most_connections")]
    pub most_connections: Spanned<u32>,
    #[serde(default = "most_streams")]
    pub most_streams_per_connection: Spanned<u32>,
    #[serde(default = "most_reporters")]
    pub most_reporters: Spanned<u32>,
    #[serde(default = "most_hosts")]
    pub most_hosts_per_reporter: Spanned<u32>,
    #[serde(default = "most_reports")]
    pub most_reports_per_batch: Spanned<u32>,
    #[serde(default = "most_message")]
    pub most_message_bytes: Spanned<u32>,
    /// Bytes that all connections together may have sent and that are not processed yet.
    #[serde(default = "most_in_hand")]
    pub most_bytes_in_hand: Spanned<u64>,
}

// Defaults: what 5,000 hosts behind agents of twenty hosts each need, with as much again in reserve.
fn spanned<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn most_connections() -> Spanned<u32> {
    spanned(512)
}
fn most_streams() -> Spanned<u32> {
    spanned(128)
}
fn most_reporters() -> Spanned<u32> {
    spanned(10_000)
}
fn most_hosts() -> Spanned<u32> {
    spanned(1_000)
}
fn most_reports() -> Spanned<u32> {
    spanned(1_000)
}
fn most_message() -> Spanned<u32> {
    spanned(128 * 1_024)
}
fn most_in_hand() -> Spanned<u64> {
    spanned(64 * 1_024 * 1_024)
}

/// HTTP/2 (RFC 9113, 6.9.2) grants each connection this window before any settings are exchanged.
const MIN_WINDOW: u64 = 65_535;
/// Size of a report on the wire with all its numbers at full width.
const REPORT_BYTES: u32 = 64;

impl Intake {
    pub(crate) fn check(&self) -> Result<(), Unfit> {
        between("reports_per_s", &self.reports_per_s, 1, 1_000_000)?;
        between("most_connections", &self.most_connections, 1, 65_535)?;
        between("most_streams_per_connection", &self.most_streams_per_connection, 1, 10_000)?;
        between("most_reporters", &self.most_reporters, 1, 1_000_000)?;
        between("most_hosts_per_reporter", &self.most_hosts_per_reporter, 1, 100_000)?;
        // The window of sequence numbers that detects duplicates holds two batches of this size.
        between("most_reports_per_batch", &self.most_reports_per_batch, 1, 1_000)?;
        between("most_message_bytes", &self.most_message_bytes, 256, 4 * 1_024 * 1_024)?;
        let (reports, bytes) = (self.most_reports_per_batch.get_ref(), self.most_message_bytes.get_ref());
        if reports * REPORT_BYTES > *bytes {
            let what = format!(
                "most_message_bytes = {bytes}: {reports} reports of a batch may take {}",
                reports * REPORT_BYTES
            );
            return Err((self.most_message_bytes.span(), what));
        }
        let least = u64::from(*self.most_connections.get_ref()) * MIN_WINDOW;
        let found = between("most_bytes_in_hand", &self.most_bytes_in_hand, least, 1 << 34);
        // With the default value, the number of connections is what asks for too much.
        found.map_err(|(span, what)| match span.is_empty() {
            true => (self.most_connections.span(), what),
            false => (span, what),
        })
    }

    /// Bytes that one connection may have sent and that are not processed yet.
    pub fn window(&self) -> u32 {
        let each = self.most_bytes_in_hand.get_ref() / u64::from(*self.most_connections.get_ref());
        each.clamp(MIN_WINDOW, 1 << 20) as u32
    }
}
