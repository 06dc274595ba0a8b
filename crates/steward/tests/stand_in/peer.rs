//! An HTTP/1.1 server whose every answer, byte by byte, is the test's own.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use crate::stand_in::BOUND;

/// One side of a connection that the daemon opened.
pub struct Connection {
    stream: TcpStream,
    /// Counts the connections of its peer, from zero.
    pub number: usize,
}

impl Connection {
    /// One that a test accepted itself.
    pub fn on(stream: TcpStream, number: usize) -> Connection {
        Connection { stream, number }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        // The daemon may have closed it already, which is then what the test looks for.
        let _ = self.stream.write_all(bytes).and_then(|()| self.stream.flush());
    }

    /// A whole answer.
    pub fn answer(&mut self, status: u16, body: &str) {
        let length = body.len();
        self.write(format!("HTTP/1.1 {status} said\r\ncontent-length: {length}\r\n\r\n{body}").as_bytes());
    }

    /// The head of an answer that comes in chunks.
    pub fn begin_chunked(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    }

    pub fn chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// FIN behind what was written; what the daemon writes is still read.
    pub fn finish(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// RST behind what was written.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Only ends the thread that reads; ending what is written would send a FIN ahead of the RST.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Both directions; the thread that reads ends too.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn another(&self) -> Connection {
        Connection { stream: self.stream.try_clone().expect("a descriptor"), number: self.number }
    }
}

/// A request, read whole, and the connection to answer it on.
pub struct Exchange {
    /// `GET /v1/servers?after=41&wait_ms=5000`
    pub line: String,
    pub body: String,
    pub connection: Connection,
}

impl Exchange {
    pub fn answer(mut self, status: u16, body: &str) -> Connection {
        self.connection.answer(status, body);
        self.connection
    }
}

/// What a peer sees.
pub enum Seen {
    Connected(usize),
    Request(Exchange),
    /// The daemon closed it; so many bytes of a request that is not whole had come.
    Closed {
        number: usize,
        in_part: usize,
    },
}

/// Listens at an address of its own and hands each request to the test.
pub struct Peer {
    pub address: SocketAddr,
    listener: TcpListener,
    seen: Receiver<Seen>,
    /// Seen and not asked for yet.
    aside: RefCell<VecDeque<Seen>>,
}

impl Peer {
    pub fn listening() -> Peer {
        Peer::on(TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address"))
    }

    /// At an address that was kept or was let go.
    pub fn on(listener: TcpListener) -> Peer {
        let address = listener.local_addr().expect("an address");
        let kept = listener.try_clone().expect("a descriptor");
        let (tell, seen) = channel();
        std::thread::spawn(move || {
            let stands = |stream: &std::io::Result<TcpStream>| {
                // So it is answered once nothing listens any more.
                !stream.as_ref().is_err_and(|why| why.kind() == ErrorKind::InvalidInput)
            };
            for (number, stream) in listener.incoming().take_while(stands).flatten().enumerate() {
                let tell = tell.clone();
                if tell.send(Seen::Connected(number)).is_err() {
                    return;
                }
                std::thread::spawn(move || read(stream, number, &tell));
            }
        });
        Peer { address, listener: kept, seen, aside: RefCell::default() }
    }

    /// From now on its address refuses connections, until something listens there again; those that stand go on.
    pub fn refuse(&self) {
        socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both).expect("it listened");
    }

    /// The first thing seen that `wanted` makes something of; what is passed over stays for later calls.
    pub fn find<T>(
        &self,
        what: &str,
        within: Duration,
        mut wanted: impl FnMut(Seen) -> Result<T, Seen>,
    ) -> Option<T> {
        let until = Instant::now() + within;
        let passed_over = self.aside.borrow().len();
        for place in 0..passed_over {
            let seen = self.aside.borrow_mut().remove(place).expect("as many as were counted");
            match wanted(seen) {
                Ok(found) => return Some(found),
                Err(seen) => self.aside.borrow_mut().insert(place, seen),
            }
        }
        loop {
            match self.seen.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(seen) => match wanted(seen) {
                    Ok(found) => return Some(found),
                    Err(seen) => self.aside.borrow_mut().push_back(seen),
                },
                Err(RecvTimeoutError::Timeout) => return None,
                Err(RecvTimeoutError::Disconnected) => panic!("the listener is gone: {what}"),
            }
        }
    }

    /// The next request whose line begins so.
    pub fn request(&self, prefix: &str) -> Exchange {
        let found = self.request_within(prefix, BOUND);
        found.unwrap_or_else(|| panic!("no request {prefix} in {BOUND:?}"))
    }

    pub fn request_within(&self, prefix: &str, within: Duration) -> Option<Exchange> {
        self.find(prefix, within, |seen| match seen {
            Seen::Request(exchange) if exchange.line.starts_with(prefix) => Ok(exchange),
            other => Err(other),
        })
    }

    /// Waits until the daemon has closed that connection; gives how many bytes of a further request had come.
    pub fn closed(&self, number: usize) -> usize {
        let found = self.find("closed", BOUND, |seen| match seen {
            Seen::Closed { number: closed, in_part } if closed == number => Ok(in_part),
            other => Err(other),
        });
        found.unwrap_or_else(|| panic!("connection {number} still stands after {BOUND:?}"))
    }

    /// Waits for the next connection that has not been asked for.
    pub fn connected(&self) -> usize {
        let found = self.find("connected", BOUND, |seen| match seen {
            Seen::Connected(number) => Ok(number),
            other => Err(other),
        });
        found.expect("a connection")
    }
}

/// An address that refuses connections until something listens there.
pub fn nobody() -> SocketAddr {
    let listener = TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address");
    listener.local_addr().expect("an address")
}

fn read(stream: TcpStream, number: usize, tell: &Sender<Seen>) {
    let _ = stream.set_nodelay(true);
    let mut reading = BufReader::new(stream.try_clone().expect("a descriptor"));
    loop {
        let (mut line, mut length, mut in_part) = (String::new(), 0, 0);
        let whole = loop {
            let mut header = String::new();
            match reading.read_line(&mut header) {
                Ok(count @ 1..) => in_part += count,
                _ => break false,
            }
            let header = header.trim_end();
            if header.is_empty() {
                break true;
            }
            if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
            if line.is_empty() {
                line = header.trim_end_matches(" HTTP/1.1").to_string();
            }
        };
        let mut body = vec![0; length];
        let mut read = 0;
        while whole && read < length {
            match reading.read(&mut body[read..]) {
                Ok(count @ 1..) => read += count,
                _ => break,
            }
        }
        if !whole || read < length {
            let _ = tell.send(Seen::Closed { number, in_part: in_part + read });
            return;
        }
        let stream = stream.try_clone().expect("a descriptor");
        let body = String::from_utf8(body).expect("text");
        let exchange = Exchange { line, body, connection: Connection { stream, number } };
        if tell.send(Seen::Request(exchange)).is_err() {
            return;
        }
    }
}
