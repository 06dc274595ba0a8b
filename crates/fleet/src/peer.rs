//! Outgoing connection to one peer: connects, sends the queued messages, and reconnects when the connection breaks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBuilder};
use slog::{info, Logger};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;

use crate::codec::{pack, Said};
use crate::counts::Counts;
use crate::outbox::Outbox;
use crate::wire::fleet_client::FleetClient;
use crate::wire::Envelope;

/// Sender and receiver of a connection, as written into each message.
#[derive(Clone, Debug)]
pub struct PeerConnection {
    pub fleet: String,
    pub from: String,
    /// The sender's incarnation. It changes while the process runs if its disk fails.
    pub boot: Arc<AtomicU64>,
    pub to: String,
    pub at: SocketAddr,
}

/// Timeouts of a connection, derived from the operator's durations.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// First and longest pause between two connection attempts.
    pub min_backoff: Duration,
    pub max_backoff: Duration,
    /// A peer that does not answer a keep-alive for this long is considered gone.
    pub dead_after: Duration,
}

impl PeerConnection {
    fn envelope(&self, said: Said) -> Envelope {
        let PeerConnection { fleet, from, to, .. } = self.clone();
        let boot = self.boot.load(Relaxed);
        Envelope { fleet, from, boot, to, said: Some(pack(said)) }
    }

    /// Sends queued messages and reconnects, forever. The backoff is jittered by the seed, so that members that lost
    /// the same peer do not reconnect at the same moment.
    pub async fn run(
        self,
        outbox: Arc<Outbox>,
        timeouts: Timeouts,
        seed: u64,
        counts: Arc<Counts>,
        log: Logger,
    ) {
        let new_backoff = || {
            let builder = ExponentialBuilder::default()
                .with_min_delay(timeouts.min_backoff)
                .with_max_delay(timeouts.max_backoff);
            builder.with_jitter().with_jitter_seed(seed).without_max_times().build()
        };
        let mut pauses = new_backoff();
        loop {
            outbox.wait_nonempty().await;
            let begun = Instant::now();
            counts.dials.inc();
            let why = match self.talk(&outbox, timeouts).await {
                Ok(()) => "the peer closed the stream".to_string(),
                Err(why) => why,
            };
            counts.broken.inc();
            info!(log, "connection to a member broke"; "to" => &self.to, "at" => %self.at, "why" => why);
            if begun.elapsed() > timeouts.max_backoff {
                pauses = new_backoff();
            }
            tokio::time::sleep(pauses.next().unwrap_or(timeouts.max_backoff).min(2 * timeouts.max_backoff))
                .await;
        }
    }

    async fn talk(&self, outbox: &Outbox, timeouts: Timeouts) -> Result<(), String> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.at)).map_err(|why| why.to_string())?;
        let endpoint = endpoint
            .connect_timeout(timeouts.dead_after)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(timeouts.dead_after / 2)
            .keep_alive_timeout(timeouts.dead_after)
            .keep_alive_while_idle(true);
        let channel = endpoint.connect().await.map_err(with_causes)?;
        // At most one message is in the connection's channel; the others stay in the outbox, where newer ones replace
        // older ones.
        let (to, stream) = mpsc::channel(1);
        let mut client = FleetClient::new(channel);
        let mut talk = std::pin::pin!(client.talk(ReceiverStream::new(stream)));
        loop {
            let permit = tokio::select! {
                ended = &mut talk => return ended.map(|_| ()).map_err(|status| status.to_string()),
                permit = to.reserve() => permit.map_err(|_| "the stream is closed".to_string())?,
            };
            tokio::select! {
                ended = &mut talk => return ended.map(|_| ()).map_err(|status| status.to_string()),
                said = outbox.next() => permit.send(self.envelope(said)),
            }
        }
    }
}

/// Returns the message of a transport error with its chain of causes, without which it says little.
fn with_causes(why: tonic::transport::Error) -> String {
    let mut text = why.to_string();
    let mut source = std::error::Error::source(&why);
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
