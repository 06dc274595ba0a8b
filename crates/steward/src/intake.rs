//! Starts the intake of load reports, where the operator's file enables it.

use std::sync::Arc;

use amberarch_intake::{Echo, Line};
use amberarch_intake_grpc::{self as grpc, Basis, Bounds, Counts, Witness};
use amberarch_operator::Intake;
use slog::{info, o};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::heard::{Heard, Ties};

/// Starts the intake and passes its load estimates to the event loop. Its numbers count up from `unix_ms` in microseconds,
/// so they differ from those of a former daemon.
///
/// # Errors
/// The address can't be bound, or no thread can be started.
pub fn start(
    section: &Intake,
    start: Instant,
    unix_ms: f64,
    witness: Witness,
    ties: Ties,
) -> Result<Arc<Counts>, String> {
    let bounds = Bounds {
        connections: *section.most_connections.get_ref() as usize,
        streams_per_connection: *section.most_streams_per_connection.get_ref(),
        reporters: *section.most_reporters.get_ref() as usize,
        hosts_per_reporter: *section.most_hosts_per_reporter.get_ref() as usize,
        reports_per_batch: *section.most_reports_per_batch.get_ref() as usize,
        message_bytes: *section.most_message_bytes.get_ref() as usize,
        window: section.window(),
    };
    let line = Line {
        load: amberarch_policy::OVERLOAD_THRESHOLD,
        beside: amberarch_policy::OVERLOAD_RATIO_TO_MEDIAN,
    };
    let reports_per_s = f64::from(*section.reports_per_s.get_ref());
    let echo = Echo((unix_ms * 1e3) as u64);
    let basis = Basis { reports_per_s, line, start: start.into_std(), echo };
    // At most one message waits for the event loop; estimates without room in the channel are sent later.
    let (out, mut loads) = mpsc::channel(1);
    let log = ties.log.new(o!("part" => "intake"));
    let (at, counts) = grpc::start(section.listen, bounds, basis, witness, out, log)
        .map_err(|why| format!("[intake] listen: {why}"))?;
    info!(ties.log, "load reports are taken in"; "listen" => %at);
    spawn_local(async move {
        while let Some(loads) = loads.recv().await {
            if ties.desk.send(Heard::Loads(loads)).await.is_err() {
                return;
            }
        }
    });
    Ok(counts)
}
