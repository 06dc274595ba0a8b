//! HTTP/1.1 client: one exchange at a time on a connection, and how far a failed exchange got.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};
use tokio_util::task::AbortOnDropHandle;

/// The largest answer that is read, far larger than the host list of the largest fleet.
const MOST_BYTES: usize = 8 << 20;
/// The most bytes that a connection buffers, in each direction. Hundreds of probes may be in progress at once, with peers
/// that send any amount; a call of orders fits in.
const MOST_AHEAD: usize = 64 << 10;

/// Error texts for a peer that fell silent, before the head of its answer and after it.
const NO_ANSWER: &str = "no answer in time";
const NO_END: &str = "the answer did not end in time";

/// Awaits a future for a limited time, and polls it once more for 5 ms after that. If this process itself was stopped, the
/// time is over before anything that arrived meanwhile has been polled.
pub async fn timeout_with_final_poll<T>(within: Duration, what: impl Future<Output = T>) -> Option<T> {
    const LAST_LOOK: Duration = Duration::from_millis(5);
    let mut what = std::pin::pin!(what);
    match timeout(within, &mut what).await {
        Ok(done) => Some(done),
        Err(_) => timeout(LAST_LOOK, what).await.ok(),
    }
}

/// How far a failed exchange got.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("not sent: {0}")]
    NotSent(String),
    /// This machine could not open a connection, whatever the peer's state.
    #[error("not sent: {0}")]
    LocalFailure(io::Error),
    #[error("sent in part: {0}")]
    PartlySent(String),
    /// The whole request may have arrived; no readable answer came back.
    #[error("unsure: {0}")]
    Unsure(String),
    /// The whole request may have arrived; an answer began and broke off.
    #[error("unsure: the answer broke off: {0}")]
    AnswerTruncated(String),
    /// The whole request may have arrived; the answer did not come, or was not complete, in time.
    #[error("unsure: {0}")]
    Silent(&'static str),
}

/// Whether a failed dial is due to this machine and not to the peer: no descriptor, memory, buffer, port or route was
/// available, or a signal interrupted the call (connect(2), socket(2)).
fn is_own(error: &io::Error) -> bool {
    /// Errors for which the standard library has no `ErrorKind`.
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    let by_kind = matches!(
        error.kind(),
        io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::AddrInUse
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::Interrupted
            | io::ErrorKind::OutOfMemory
            | io::ErrorKind::WouldBlock
    );
    by_kind || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

/// Opens connections: sockets in production, in-memory streams in tests.
pub trait Dial {
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    fn dial(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

pub struct Tcp;

impl Dial for Tcp {
    type Stream = TcpStream;
    async fn dial(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Observes the reads and writes of a connection and can refuse writes.
pub trait Watch {
    /// Carried from the call before a write to the call after it.
    type Token;
    /// Called directly before each write; an error prevents the write.
    fn look(&self) -> io::Result<Self::Token>;
    /// Called after a write of one or more bytes.
    fn wrote(&self, look: Self::Token, bytes: usize);
    /// Called after each read with the number of bytes, zero at the end of the stream.
    fn read(&self, _bytes: usize) {}
}

/// A connection whose reads and writes are observed.
pub struct Observed<S, W> {
    pub stream: S,
    pub watch: W,
}

impl<S: AsyncRead + Unpin, W: Watch + Unpin> AsyncRead for Observed<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, into);
        self.watch.read(into.filled().len() - before);
        poll
    }
}

impl<S: AsyncWrite + Unpin, W: Watch + Unpin> AsyncWrite for Observed<S, W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        // No other code may run between this check and the write.
        let look = match self.watch.look() {
            Ok(look) => look,
            Err(why) => return Poll::Ready(Err(why)),
        };
        let poll = Pin::new(&mut self.stream).poll_write(cx, from);
        if let Poll::Ready(Ok(bytes @ 1..)) = poll {
            self.watch.wrote(look, bytes);
        }
        poll
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// How many bytes the peer can have received at most, and how many came back.
#[derive(Default)]
struct Traffic {
    written: Cell<usize>,
    read: Cell<usize>,
}

impl Watch for Rc<Traffic> {
    type Token = ();
    fn look(&self) -> io::Result<()> {
        Ok(())
    }
    fn wrote(&self, (): (), bytes: usize) {
        self.written.set(self.written.get() + bytes);
    }
    fn read(&self, bytes: usize) {
        self.read.set(self.read.get() + bytes);
    }
}

/// An HTTP connection; dropping it closes it, even during an exchange.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    _pump: AbortOnDropHandle<()>,
}

impl Line {
    pub async fn open(dial: &impl Dial, to: SocketAddr, within: Duration) -> Result<Line, Fault> {
        let not_sent = |why: &dyn ToString| Fault::NotSent(why.to_string());
        let dialled = timeout_with_final_poll(within, dial.dial(to)).await;
        let dialled = dialled.ok_or_else(|| not_sent(&"the connection did not come up"))?;
        let stream = dialled.map_err(|error| match is_own(&error) {
            true => Fault::LocalFailure(error),
            false => not_sent(&error),
        })?;
        let traffic = Rc::new(Traffic::default());
        let counted = Observed { stream, watch: traffic.clone() };
        let (sender, pump) = http1::Builder::new()
            .max_buf_size(MOST_AHEAD)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|error| not_sent(&error))?;
        // The result of the connection's task is not needed: the exchange in progress reports the error.
        let pump = tokio::task::spawn_local(async move { drop(pump.await) });
        Ok(Line { sender, traffic, _pump: AbortOnDropHandle::new(pump) })
    }

    fn stands(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends the request and waits for the head of its answer.
    pub async fn ask(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, Fault> {
        let body = hyper::body::Body::size_hint(request.body()).lower() as usize;
        let (written_before, read_before) = (self.traffic.written.get(), self.traffic.read.get());
        let sent = async {
            match self.sender.ready().await {
                Ok(()) => self.sender.try_send_request(request).await.map_err(|mut error| {
                    let unsent = error.take_message().is_some();
                    (unsent, error.into_error().to_string())
                }),
                Err(error) => Err((true, error.to_string())),
            }
        };
        let failed = match timeout_with_final_poll(within, sent).await {
            Some(Ok(response)) => return Ok(response),
            Some(Err(failed)) => Some(failed),
            None => None,
        };
        let written = self.traffic.written.get() - written_before;
        let began = self.traffic.read.get() > read_before;
        Err(match failed {
            Some((true, why)) => Fault::NotSent(why),
            Some((false, why)) if written == 0 => Fault::NotSent(why),
            Some((false, why)) if written < body => Fault::PartlySent(why),
            Some((false, why)) if began => Fault::AnswerTruncated(why),
            Some((false, why)) => Fault::Unsure(why),
            None if written == 0 => Fault::NotSent(NO_ANSWER.into()),
            None if written < body => Fault::PartlySent(NO_ANSWER.into()),
            None => Fault::Silent(NO_ANSWER),
        })
    }

    /// An exchange that reads only the first `most` bytes of the answer's body, within the same time.
    pub async fn glance(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
        most: usize,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let until = Instant::now() + within;
        let response = self.ask(request, within).await?;
        let (status, mut body, mut read) = (response.status(), response.into_body(), BytesMut::new());
        let reading = async {
            while read.len() < most {
                let Some(frame) = body.frame().await else { break };
                let data = frame.map_err(|error| Fault::AnswerTruncated(error.to_string()))?.into_data();
                let data = data.unwrap_or_default();
                read.extend_from_slice(&data[..data.len().min(most - read.len())]);
            }
            Ok(())
        };
        match timeout_with_final_poll(until - Instant::now(), reading).await {
            Some(read_through) => read_through.map(|()| (status, read.freeze())),
            None => Err(Fault::Silent(NO_END)),
        }
    }

    /// A whole exchange; head and body of the answer have to arrive within the time.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let until = Instant::now() + within;
        let response = self.ask(request, within).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES).collect();
        match timeout_with_final_poll(until - Instant::now(), body).await {
            Some(Ok(body)) => Ok((status, body.to_bytes())),
            Some(Err(error)) => Err(Fault::AnswerTruncated(error.to_string())),
            None => Err(Fault::Silent(NO_END)),
        }
    }
}

/// The current address of a peer; a new configuration may change it.
pub type PeerAddress = watch::Receiver<SocketAddr>;

/// A persistent connection that is dialled again when it has failed or the peer's address has changed.
pub struct Kept<D> {
    dial: D,
    peer: PeerAddress,
    connect_within: Duration,
    line: Option<(SocketAddr, Line)>,
}

impl<D: Dial> Kept<D> {
    pub fn new(dial: D, peer: PeerAddress, connect_within: Duration) -> Kept<D> {
        Kept { dial, peer, connect_within, line: None }
    }

    pub fn peer(&self) -> PeerAddress {
        self.peer.clone()
    }

    /// Closes the connection. Used after an unreadable answer, as what follows on the connection may be unreadable too.
    pub fn hang_up(&mut self) {
        self.line = None;
    }

    /// One exchange. The peer may close an idle connection; a request that could not be sent on it is sent on a new one.
    pub async fn exchange(
        &mut self,
        request: impl Fn(SocketAddr) -> Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let to = *self.peer.borrow();
        if let Some((at, mut line)) = self.line.take().filter(|(at, line)| *at == to && line.stands()) {
            match line.exchange(request(at), within).await {
                Err(Fault::NotSent(_)) => {}
                Err(fault) => return Err(fault),
                Ok(answer) => {
                    self.line = Some((at, line));
                    return Ok(answer);
                }
            }
        }
        let mut line = Line::open(&self.dial, to, self.connect_within).await?;
        let answer = line.exchange(request(to), within).await?;
        self.line = Some((to, line));
        Ok(answer)
    }
}

pub fn get(path: &str, host: SocketAddr) -> Request<Full<Bytes>> {
    request("GET", path, host, Bytes::new())
}

pub fn post(path: &str, host: SocketAddr, body: Bytes) -> Request<Full<Bytes>> {
    request("POST", path, host, body)
}

fn request(method: &str, path: &str, host: SocketAddr, body: Bytes) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path).header("host", host.to_string());
    let request = match body.is_empty() {
        true => request,
        false => request.header("content-type", "application/json"),
    };
    request.body(Full::new(body)).expect("a request of fixed parts is well formed")
}
