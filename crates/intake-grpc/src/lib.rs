//! gRPC service of the load report intake: reporters connect and stream batches of reports, the intervals
//! at which reports are wanted (paces) are sent back, and the believed loads of hosts go to the daemon.
//! It runs on a thread of its own so that a flood of reports does not delay the decisions, and the data
//! in progress is bounded in both directions. No decision is taken here.

mod accept;
mod counts;
mod desk;
mod service;
mod witness;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use amberarch_intake::{Believed, Echo, Line};
use slog::{error, info, Logger};
use tokio::sync::mpsc;
use tonic::transport::Server;

pub use counts::Counts;
pub use witness::{NamedHost, Witness};

/// Messages of the protocol, as defined in `proto/load.proto`.
pub mod wire {
    #![allow(missing_docs, clippy::all)]
    tonic::include_proto!("amberarch.intake.v1");
}

use wire::load_intake_server::LoadIntakeServer;

/// Limits set by the operator, enforced here or by HTTP/2's flow control.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub connections: usize,
    pub streams_per_connection: u32,
    pub reporters: usize,
    pub hosts_per_reporter: usize,
    pub reports_per_batch: usize,
    pub message_bytes: usize,
    /// Bytes that one connection may have sent and that are not processed yet.
    pub window: u32,
}

/// Parameters of the intake.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    pub reports_per_s: f64,
    pub line: Line,
    /// Start of the daemon's clock.
    pub start: Instant,
    /// Higher than any echo number that an earlier daemon sent.
    pub echo: Echo,
}

/// Why the intake could not start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("failed to start the intake thread: {0}")]
    Thread(std::io::Error),
}

/// RFC 9113, 6.7: a live peer answers a PING. A peer that does not answer within 5 s is gone.
const PING_EVERY: Duration = Duration::from_secs(10);
const PING_ANSWER: Duration = Duration::from_secs(5);
/// Reporters send no headers other than those of the call.
const MAX_HEADER_BYTES: u32 = 8 * 1_024;

/// Starts listening; the service runs on a thread of its own for the lifetime of the process.
///
/// # Errors
/// The address can't be bound, or the thread can't be started.
pub fn start(
    listen: SocketAddr,
    bounds: Bounds,
    basis: Basis,
    witness: Witness,
    out: mpsc::Sender<Vec<Believed>>,
    log: Logger,
) -> Result<(SocketAddr, Arc<Counts>), Fault> {
    let fault = |why| Fault::Listen(listen, why);
    let listener = TcpListener::bind(listen).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    let at = listener.local_addr().map_err(fault)?;
    let counts = Arc::new(Counts::default());
    let intake = desk::SharedIntake::new(bounds, basis, counts.clone());
    let run = {
        let counts = counts.clone();
        move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let ended = match runtime {
                Ok(runtime) => {
                    runtime.block_on(serve(listener, bounds, intake, witness, out, counts, log.clone()))
                }
                Err(why) => Err(why.to_string()),
            };
            // The daemon continues: without reports it decides as it does without an intake.
            if let Err(why) = ended {
                error!(log, "load report intake stopped"; "why" => why);
            }
        }
    };
    std::thread::Builder::new().name("intake".into()).spawn(run).map_err(Fault::Thread)?;
    Ok((at, counts))
}

async fn serve(
    listener: TcpListener,
    bounds: Bounds,
    intake: desk::SharedIntake,
    witness: Witness,
    out: mpsc::Sender<Vec<Believed>>,
    counts: Arc<Counts>,
    log: Logger,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|why| why.to_string())?;
    let service =
        LoadIntakeServer::new(service::Service { intake: intake.clone(), bounds, log: log.clone() })
            .max_decoding_message_size(bounds.message_bytes);
    let incoming = accept::incoming(listener, bounds.connections, counts, log.clone());
    tokio::spawn(intake.run(witness, out));
    info!(log, "load report intake is listening");
    Server::builder()
        .max_concurrent_streams(bounds.streams_per_connection)
        .initial_stream_window_size(bounds.window)
        .initial_connection_window_size(bounds.window)
        .http2_keepalive_interval(Some(PING_EVERY))
        .http2_keepalive_timeout(Some(PING_ANSWER))
        .http2_max_header_list_size(MAX_HEADER_BYTES)
        .add_service(service)
        .serve_with_incoming(incoming)
        .await
        .map_err(|why| why.to_string())
}
