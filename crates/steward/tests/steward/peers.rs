//! Scripted in-memory peers, and a trace of events with their times.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use amberarch_steward::counters::Counters;
use amberarch_steward::heard::{Heard, Ties};
use amberarch_steward::http::{Dial, PeerAddress};
use slog::{o, Discard, Logger};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

#[derive(Clone, Copy)]
pub enum Then {
    /// Reads a request and answers it, with 200 or the given status.
    Answer(&'static str),
    Status(u16, &'static str),
    /// Reads a request and does not answer.
    Silence,
    /// Reads a request and closes.
    Break,
    /// Reads a request and answers it with the head of a watch.
    Observed,
    /// Writes a piece of a watch.
    Say(&'static str),
    Wait(u64),
    Close,
}

/// The outcome of one dial.
#[derive(Clone, Copy)]
pub enum Dialled {
    Refused,
    /// The system call fails with that errno.
    Fails(i32),
    Hangs,
    Up(&'static [Then]),
}

/// The first and second address of peers.
pub const HOME: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
pub const AWAY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// An address that changes after this many milliseconds.
pub fn moves(after: Option<u64>) -> PeerAddress {
    let (to, at) = watch::channel(HOME);
    spawn_local(async move {
        if let Some(after) = after {
            sleep(Duration::from_millis(after)).await;
            to.send_replace(AWAY);
        }
        std::future::pending::<()>().await;
    });
    at
}

#[derive(Clone)]
pub struct Trace(Instant, Rc<RefCell<String>>);

impl Trace {
    pub fn new() -> Trace {
        Trace(Instant::now(), Rc::default())
    }

    pub fn note(&self, text: &str) {
        *self.1.borrow_mut() += &format!("{} {text}\n", self.0.elapsed().as_millis());
    }

    pub fn text(&self) -> String {
        self.1.take()
    }
}

/// Each dial uses the next entry of the script; the last entry is used for all further dials.
pub struct Peer {
    pub trace: Trace,
    script: RefCell<VecDeque<Dialled>>,
}

impl Peer {
    pub fn new(trace: &Trace, script: &[Dialled]) -> Peer {
        Peer { trace: trace.clone(), script: RefCell::new(script.iter().copied().collect()) }
    }
}

impl Dial for Peer {
    type Stream = DuplexStream;
    async fn dial(&self, to: SocketAddr) -> io::Result<DuplexStream> {
        let next = self.script.borrow_mut().pop_front().unwrap_or(Dialled::Refused);
        match next {
            Dialled::Refused => Err(io::ErrorKind::ConnectionRefused.into()),
            Dialled::Fails(errno) => Err(io::Error::from_raw_os_error(errno)),
            Dialled::Hangs => std::future::pending().await,
            Dialled::Up(script) => {
                let moved = if to == HOME { String::new() } else { format!(" to {to}") };
                self.trace.note(&format!("a connection{moved}"));
                let (ours, theirs) = tokio::io::duplex(1 << 20);
                spawn_local(act(theirs, script, self.trace.clone()));
                Ok(ours)
            }
        }
    }
}

async fn act(stream: DuplexStream, script: &'static [Then], trace: Trace) {
    let mut stream = BufReader::new(stream);
    for then in script {
        if let Then::Answer(_) | Then::Status(..) | Then::Silence | Then::Break | Then::Observed = then {
            match request(&mut stream).await {
                Some(request) => trace.note(&request),
                None => return trace.note("closed by the steward"),
            }
        }
        let (status, body) = match then {
            Then::Answer(body) => (200, *body),
            Then::Status(status, body) => (*status, *body),
            Then::Observed | Then::Say(_) => {
                let bytes = match then {
                    Then::Say(piece) => format!("{:x}\r\n{piece}\r\n", piece.len()),
                    _ => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
                };
                if stream.get_mut().write_all(bytes.as_bytes()).await.is_err() {
                    return trace.note("closed by the steward");
                }
                continue;
            }
            Then::Wait(ms) => {
                sleep(Duration::from_millis(*ms)).await;
                continue;
            }
            Then::Silence => continue,
            Then::Break | Then::Close => return,
        };
        let head = format!("HTTP/1.1 {status} said\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.get_mut().write_all((head + body).as_bytes()).await.is_err() {
            return;
        }
    }
    // Stays open and silent until the other side closes.
    while let Some(request) = request(&mut stream).await {
        trace.note(&request);
    }
    trace.note("closed by the steward");
}

/// The request line and the body; `None` at the end of the stream.
async fn request(stream: &mut BufReader<DuplexStream>) -> Option<String> {
    let (mut text, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if text.is_empty() {
            text = line.trim_end_matches(" HTTP/1.1").to_string();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(if body.len() > 300 { format!("{text} {} bytes", body.len()) } else { format!("{text} {body}") })
}

/// Delivers each item at its time, in ms from now. The receiver is kept afterwards, so that no channel closes.
pub fn feed<T: 'static>(script: Vec<(u64, T)>, mut give: impl AsyncFnMut(T) + 'static) {
    spawn_local(async move {
        let begun = Instant::now();
        for (when, one) in script {
            sleep_until(begun + Duration::from_millis(when)).await;
            give(one).await;
        }
        std::future::pending::<()>().await;
    });
}

/// The context of a task: an event loop that only records its messages, and counters.
pub fn ties(trace: &Trace) -> Ties {
    let (desk, mut heard) = mpsc::channel::<Heard>(64);
    let trace = trace.clone();
    spawn_local(async move {
        while let Some(heard) = heard.recv().await {
            trace.note(&format!("-> {heard:?}"));
        }
    });
    Ties {
        desk,
        counters: Rc::new(Counters::default()),
        signs: Rc::default(),
        log: Logger::root(Discard, o!()),
    }
}

/// Runs on a paused clock for this many of its milliseconds.
pub fn for_ms<F: std::future::Future>(ms: u64, run: impl FnOnce(Trace) -> F) -> String {
    let built = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&built.expect("a runtime"), async {
        let trace = Trace::new();
        let _ = tokio::time::timeout(Duration::from_millis(ms), run(trace.clone())).await;
        trace.text()
    })
}
