//! Unidentified connections to the controller's address: silent, flooding or slow clients.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrowdKind {
    /// Connects and sends nothing.
    Silent,
    /// Repeatedly connects, sends half a line and disconnects.
    Flood,
    /// Sends a line byte by byte.
    Slow,
}

/// A period in which a number of clients connect; each reconnects when its connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Start, in ms since the start of the drill; `until` is the end.
    pub from: u64,
    pub until: u64,
    pub kind: CrowdKind,
    pub clients: u16,
}

/// Pause between two connections of a client.
const PAUSE: Duration = Duration::from_millis(100);
const FLOOD_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two bytes of a slow client.
const BYTE_PAUSE: Duration = Duration::from_millis(150);
const LINE: &[u8] = b"SOURCE zone=nowhere\r\n";

/// Starts the clients at the planned time.
pub async fn gather(at: SocketAddr, start: Instant, plan: Crowd) {
    sleep_until(start + Duration::from_millis(plan.from)).await;
    let until = start + Duration::from_millis(plan.until);
    for _ in 0..plan.clients {
        spawn_local(client(at, plan.kind, until));
    }
}

async fn client(at: SocketAddr, kind: CrowdKind, until: Instant) {
    while Instant::now() < until {
        if let Ok(Ok(stream)) = timeout_at(until, TcpStream::connect(at)).await {
            let _ = timeout_at(until, behave(kind, stream)).await;
        }
        sleep(if kind == CrowdKind::Flood { FLOOD_PAUSE } else { PAUSE }).await;
    }
}

async fn behave(kind: CrowdKind, mut stream: TcpStream) {
    match kind {
        CrowdKind::Silent => until_closed(&mut stream).await,
        CrowdKind::Flood => {
            let _ = stream.write_all(&LINE[..LINE.len() / 2]).await;
        }
        CrowdKind::Slow => {
            for byte in LINE {
                if stream.write_all(&[*byte]).await.is_err() {
                    return;
                }
                sleep(BYTE_PAUSE).await;
            }
            until_closed(&mut stream).await;
        }
    }
}

async fn until_closed(stream: &mut TcpStream) {
    let mut read = [0; 64];
    while matches!(stream.read(&mut read).await, Ok(count) if count > 0) {}
}
