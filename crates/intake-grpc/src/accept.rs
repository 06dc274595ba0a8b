//! Accepts connections, up to a limit, and closes connections that stay silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use slog::{warn, Logger};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio_io_timeout::TimeoutStream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::counts::Counts;

/// A live connection answers a PING within 15 s; the rest is a margin. It also ends a connection that
/// never finished its first frame.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// A peer to which nothing can be written for this long does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection; it releases its permit when it is dropped.
pub struct Connection {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;
    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.get_ref().connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_read(cx, into)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write(cx, from)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_shutdown(cx)
    }
}

/// Accepts connections for the lifetime of the process. A connection over the limit is closed at once so
/// that its peer notices.
pub fn incoming(
    listener: TcpListener,
    most: usize,
    counts: Arc<Counts>,
    log: Logger,
) -> ReceiverStream<io::Result<Connection>> {
    let permits = Arc::new(Semaphore::new(most));
    let (to, connections) = mpsc::channel(1);
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(why) => {
                    warn!(log, "failed to accept a connection for load reports"; "why" => %why);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            counts.connections.one();
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                counts.connections_refused.one();
                continue;
            };
            let mut stream = TimeoutStream::new(stream);
            stream.set_read_timeout(Some(READ_TIMEOUT));
            stream.set_write_timeout(Some(WRITE_TIMEOUT));
            if to.send(Ok(Connection { stream: Box::pin(stream), _permit: permit })).await.is_err() {
                return;
            }
        }
    });
    ReceiverStream::new(connections)
}
