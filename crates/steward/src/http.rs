//! One HTTP/1.1 exchange at a time on a connection of ours, and how far it came when it failed.

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

/// An answer is read up to this size: far over the list of the largest fleet.
const MOST_BYTES: usize = 8 << 20;
/// A connection reads ahead of what is asked for, and keeps back of what it writes, so much at the most. Hundreds of
/// probes are under way at once, and the peers may say whatever they like; a call of orders fits in.
const MOST_AHEAD: usize = 64 << 10;

/// Why an exchange failed whose peer fell silent, before the head of its answer or behind it.
const NO_ANSWER: &str = "no answer in time";
const NO_END: &str = "the answer did not end in time";

/// Waits for something within a time. Guards against a steward that stood still itself: then the time is
/// over before what came meanwhile has been looked at, so a last look follows.
pub async fn limited<T>(within: Duration, what: impl Future<Output = T>) -> Option<T> {
    const LAST_LOOK: Duration = Duration::from_millis(5);
    let mut what = std::pin::pin!(what);
    match timeout(within, &mut what).await {
        Ok(done) => Some(done),
        Err(_) => timeout(LAST_LOOK, what).await.ok(),
    }
}

/// How far an attempt came.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("not sent: {0}")]
    NotSent(String),
    /// This machine could not open a connection, whoever listens at the other end.
    #[error("not sent: {0}")]
    NoMeans(io::Error),
    #[error("sent in part: {0}")]
    InPart(String),
    /// All of it may have arrived; nothing readable came back.
    #[error("unsure: {0}")]
    Unsure(String),
    /// All of it may have arrived; an answer began and broke off.
    #[error("unsure: the answer broke off: {0}")]
    CutOff(String),
    /// All of it may have arrived; the answer did not come, or not to its end, in time.
    #[error("unsure: {0}")]
    Silent(&'static str),
}

/// Whether a failed dial says something of this machine and nothing of the peer: no descriptor, memory, buffer, port or
/// route was to be had, or a signal came between (connect(2), socket(2)).
fn is_own(error: &io::Error) -> bool {
    /// Errors for which the standard library has no kind.
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

/// Where connections come from: sockets in service, memory in tests.
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

/// What stands between a connection and its bytes on their way out.
pub trait Watch {
    /// Kept from the look before a write to the word after it.
    type Look;
    /// Directly before each write; an error keeps the bytes from leaving.
    fn look(&self) -> io::Result<Self::Look>;
    /// So many bytes, one or more, went out.
    fn wrote(&self, look: Self::Look, bytes: usize);
    /// So many bytes came in; none at the end.
    fn read(&self, _bytes: usize) {}
}

/// A connection whose every write is watched.
pub struct Watched<S, W> {
    pub stream: S,
    pub watch: W,
}

impl<S: AsyncRead + Unpin, W: Watch + Unpin> AsyncRead for Watched<S, W> {
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

impl<S: AsyncWrite + Unpin, W: Watch + Unpin> AsyncWrite for Watched<S, W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        // Nothing may stand between this look and the write.
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

/// How many bytes the other side can have got at most, and how many came back.
#[derive(Default)]
struct Traffic {
    written: Cell<usize>,
    read: Cell<usize>,
}

impl Watch for Rc<Traffic> {
    type Look = ();
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

/// A connection; dropping it closes it, whatever is under way on it.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    _pump: AbortOnDropHandle<()>,
}

impl Line {
    pub async fn open(dial: &impl Dial, to: SocketAddr, within: Duration) -> Result<Line, Fault> {
        let not_sent = |why: &dyn ToString| Fault::NotSent(why.to_string());
        let dialled = limited(within, dial.dial(to)).await;
        let dialled = dialled.ok_or_else(|| not_sent(&"the connection did not come up"))?;
        let stream = dialled.map_err(|error| match is_own(&error) {
            true => Fault::NoMeans(error),
            false => not_sent(&error),
        })?;
        let traffic = Rc::new(Traffic::default());
        let counted = Watched { stream, watch: traffic.clone() };
        let (sender, pump) = http1::Builder::new()
            .max_buf_size(MOST_AHEAD)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|error| not_sent(&error))?;
        // How the connection ended shows in the exchange that it carried.
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
        let failed = match limited(within, sent).await {
            Some(Ok(response)) => return Ok(response),
            Some(Err(failed)) => Some(failed),
            None => None,
        };
        let written = self.traffic.written.get() - written_before;
        let began = self.traffic.read.get() > read_before;
        Err(match failed {
            Some((true, why)) => Fault::NotSent(why),
            Some((false, why)) if written == 0 => Fault::NotSent(why),
            Some((false, why)) if written < body => Fault::InPart(why),
            Some((false, why)) if began => Fault::CutOff(why),
            Some((false, why)) => Fault::Unsure(why),
            None if written == 0 => Fault::NotSent(NO_ANSWER.into()),
            None if written < body => Fault::InPart(NO_ANSWER.into()),
            None => Fault::Silent(NO_ANSWER),
        })
    }

    /// An exchange of which only so many bytes of the answer's body are read, within the same time.
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
                let data = frame.map_err(|error| Fault::CutOff(error.to_string()))?.into_data();
                let data = data.unwrap_or_default();
                read.extend_from_slice(&data[..data.len().min(most - read.len())]);
            }
            Ok(())
        };
        match limited(until - Instant::now(), reading).await {
            Some(read_through) => read_through.map(|()| (status, read.freeze())),
            None => Err(Fault::Silent(NO_END)),
        }
    }

    /// A whole exchange; the answer's body comes within the same time.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let until = Instant::now() + within;
        let response = self.ask(request, within).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES).collect();
        match limited(until - Instant::now(), body).await {
            Some(Ok(body)) => Ok((status, body.to_bytes())),
            Some(Err(error)) => Err(Fault::CutOff(error.to_string())),
            None => Err(Fault::Silent(NO_END)),
        }
    }
}

/// Where a peer is now; a new configuration moves it.
pub type Whereabouts = watch::Receiver<SocketAddr>;

/// A connection that is kept from one exchange to the next, and dialled anew when it has failed or the
/// peer has moved.
pub struct Kept<D> {
    dial: D,
    peer: Whereabouts,
    connect_within: Duration,
    line: Option<(SocketAddr, Line)>,
}

impl<D: Dial> Kept<D> {
    pub fn new(dial: D, peer: Whereabouts, connect_within: Duration) -> Kept<D> {
        Kept { dial, peer, connect_within, line: None }
    }

    pub fn peer(&self) -> Whereabouts {
        self.peer.clone()
    }

    /// After an answer that can't be read, what follows on its connection may not be either.
    pub fn hang_up(&mut self) {
        self.line = None;
    }

    /// One exchange. A connection that the peer closed while it stood idle is no fault of the peer:
    /// what was not sent on it goes out on a new one.
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
