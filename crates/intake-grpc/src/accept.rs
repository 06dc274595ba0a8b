//! Connections: so many at a time, and none that falls silent for good.

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

/// One that stands answers a PING within 15 s; a little more is no sign of life. It also ends a connection
/// that never finished its first frame.
const SILENCE: Duration = Duration::from_secs(20);
/// What can't be written for so long is not read.
const UNREAD: Duration = Duration::from_secs(20);
/// After a connection could not be taken, as where descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// A connection that gives its place back when it ends.
pub struct Guest {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    _place: OwnedSemaphorePermit,
}

impl Connected for Guest {
    type ConnectInfo = TcpConnectInfo;
    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.get_ref().connect_info()
    }
}

impl AsyncRead for Guest {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_read(cx, into)
    }
}

impl AsyncWrite for Guest {
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

/// Takes connections for good. One over the number is closed at once, so that its peer knows.
pub fn incoming(
    listener: TcpListener,
    most: usize,
    counts: Arc<Counts>,
    log: Logger,
) -> ReceiverStream<io::Result<Guest>> {
    let places = Arc::new(Semaphore::new(most));
    let (to, guests) = mpsc::channel(1);
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(why) => {
                    warn!(log, "the intake could not take a connection"; "why" => %why);
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };
            counts.connections.one();
            let Ok(place) = places.clone().try_acquire_owned() else {
                counts.connections_refused.one();
                continue;
            };
            let mut stream = TimeoutStream::new(stream);
            stream.set_read_timeout(Some(SILENCE));
            stream.set_write_timeout(Some(UNREAD));
            if to.send(Ok(Guest { stream: Box::pin(stream), _place: place })).await.is_err() {
                return;
            }
        }
    });
    ReceiverStream::new(guests)
}
