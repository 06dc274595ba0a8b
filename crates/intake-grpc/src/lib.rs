//! The intake on a gRPC service: reporters connect and stream batches of reports, paces go back to them, and
//! what is believed of hosts' loads goes to the daemon. Runs on a thread of its own, so that no flood of reports
//! holds the decisions up; what may be in hand is bounded on every way in and out. Nothing is decided here.

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

/// The messages of the protocol, as `proto/load.proto` defines them.
pub mod wire {
    #![allow(missing_docs, clippy::all)]
    tonic::include_proto!("amberarch.intake.v1");
}

use wire::load_intake_server::LoadIntakeServer;

/// What an operator allows; all of it is enforced here or by HTTP/2's own flow control.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub connections: usize,
    pub streams_per_connection: u32,
    pub reporters: usize,
    pub hosts_per_reporter: usize,
    pub reports_per_batch: usize,
    pub message_bytes: usize,
    /// What one connection may have sent that was not looked at yet.
    pub window: u32,
}

/// What the intake goes by.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    pub reports_per_s: f64,
    pub line: Line,
    /// When the daemon's clock began.
    pub start: Instant,
    /// No daemon before this one has sent a number as high.
    pub echo: Echo,
}

/// Why the intake could not start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("no thread for the intake: {0}")]
    Thread(std::io::Error),
}

/// RFC 9113, 6.7: a peer that is there answers a PING. One that does not within 5 s has gone.
const PING_EVERY: Duration = Duration::from_secs(10);
const PING_ANSWER: Duration = Duration::from_secs(5);
/// Reporters send no headers beyond a call's own.
const MOST_HEADERS: u32 = 8 * 1_024;

/// Listens at once; the rest runs on a thread of its own for as long as the process does.
///
/// # Errors
/// The address can't be had, or the thread.
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
    let desk = desk::Desk::new(bounds, basis, counts.clone());
    let run = {
        let counts = counts.clone();
        move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let ended = match runtime {
                Ok(runtime) => {
                    runtime.block_on(serve(listener, bounds, desk, witness, out, counts, log.clone()))
                }
                Err(why) => Err(why.to_string()),
            };
            // The daemon goes on: without reports the decisions are what they are without an intake.
            if let Err(why) = ended {
                error!(log, "the intake ended"; "why" => why);
            }
        }
    };
    std::thread::Builder::new().name("intake".into()).spawn(run).map_err(Fault::Thread)?;
    Ok((at, counts))
}

async fn serve(
    listener: TcpListener,
    bounds: Bounds,
    desk: desk::Desk,
    witness: Witness,
    out: mpsc::Sender<Vec<Believed>>,
    counts: Arc<Counts>,
    log: Logger,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|why| why.to_string())?;
    let service = LoadIntakeServer::new(service::Service { desk: desk.clone(), bounds, log: log.clone() })
        .max_decoding_message_size(bounds.message_bytes);
    let incoming = accept::incoming(listener, bounds.connections, counts, log.clone());
    tokio::spawn(desk.run(witness, out));
    info!(log, "the intake listens");
    Server::builder()
        .max_concurrent_streams(bounds.streams_per_connection)
        .initial_stream_window_size(bounds.window)
        .initial_connection_window_size(bounds.window)
        .http2_keepalive_interval(Some(PING_EVERY))
        .http2_keepalive_timeout(Some(PING_ANSWER))
        .http2_max_header_list_size(MOST_HEADERS)
        .add_service(service)
        .serve_with_incoming(incoming)
        .await
        .map_err(|why| why.to_string())
}
