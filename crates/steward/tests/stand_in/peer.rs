//! An HTTP/1.1 server whose answers are written byte by byte by the test.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use crate::stand_in::TEST_TIMEOUT;

/// The server's side of a connection that the daemon opened.
pub struct Connection {
    stream: TcpStream,
    /// The number of the connection at its server, from zero.
    pub number: usize,
}

impl Connection {
    /// Wraps a connection that the test accepted itself.
    pub fn on(stream: TcpStream, number: usize) -> Connection {
        Connection { stream, number }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        // Errors are ignored: the daemon may have closed the connection already, and then the test
        // checks that.
        let _ = self.stream.write_all(bytes).and_then(|()| self.stream.flush());
    }

    /// Writes a complete answer.
    pub fn answer(&mut self, status: u16, body: &str) {
        let length = body.len();
        self.write(format!("HTTP/1.1 {status} said\r\ncontent-length: {length}\r\n\r\n{body}").as_bytes());
    }

    /// Writes the head of an answer in chunked transfer encoding.
    pub fn begin_chunked(&mut self) {
        self.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    }

    pub fn chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Sends FIN after the bytes that were written; what the daemon writes is still read.
    pub fn half_close(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Sends RST after the bytes that were written.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Ends the reading thread only; a shutdown of the writing side would send a FIN before the
        // RST.
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Closes both directions, which ends the reading thread too.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn duplicate(&self) -> Connection {
        Connection { stream: self.stream.try_clone().expect("a descriptor"), number: self.number }
    }
}

/// A request that was read completely, and the connection to answer it on.
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

/// What a server observes on its connections.
pub enum PeerEvent {
    Connected(usize),
    Request(Exchange),
    /// The daemon closed the connection; `partial_bytes` bytes of an incomplete request had been
    /// received.
    Closed {
        number: usize,
        partial_bytes: usize,
    },
}

/// Listens at its own address and hands each request to the test.
pub struct Peer {
    pub address: SocketAddr,
    listener: TcpListener,
    receiver: Receiver<PeerEvent>,
    /// Events that were received and that no call has consumed yet.
    unclaimed: RefCell<VecDeque<PeerEvent>>,
}

impl Peer {
    pub fn listening() -> Peer {
        Peer::from_listener(TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address"))
    }

    /// Serves on a listener that the test bound itself.
    pub fn from_listener(listener: TcpListener) -> Peer {
        let address = listener.local_addr().expect("an address");
        let listener_copy = listener.try_clone().expect("a descriptor");
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            let still_listens = |stream: &std::io::Result<TcpStream>| {
                // `accept` fails with EINVAL once the socket no longer listens.
                !stream.as_ref().is_err_and(|why| why.kind() == ErrorKind::InvalidInput)
            };
            for (number, stream) in listener.incoming().take_while(still_listens).flatten().enumerate() {
                let sender = sender.clone();
                if sender.send(PeerEvent::Connected(number)).is_err() {
                    return;
                }
                std::thread::spawn(move || read(stream, number, &sender));
            }
        });
        Peer { address, listener: listener_copy, receiver, unclaimed: RefCell::default() }
    }

    /// Makes the address refuse connections until something listens there again; open connections
    /// continue.
    pub fn refuse(&self) {
        socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both).expect("it listened");
    }

    /// Waits for the first event that `wanted` accepts; events that are passed over stay for later
    /// calls.
    pub fn find<T>(
        &self,
        what: &str,
        within: Duration,
        mut wanted: impl FnMut(PeerEvent) -> Result<T, PeerEvent>,
    ) -> Option<T> {
        let until = Instant::now() + within;
        let unclaimed_count = self.unclaimed.borrow().len();
        for place in 0..unclaimed_count {
            let event = self.unclaimed.borrow_mut().remove(place).expect("as many as were counted");
            match wanted(event) {
                Ok(found) => return Some(found),
                Err(event) => self.unclaimed.borrow_mut().insert(place, event),
            }
        }
        loop {
            match self.receiver.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(event) => match wanted(event) {
                    Ok(found) => return Some(found),
                    Err(event) => self.unclaimed.borrow_mut().push_back(event),
                },
                Err(RecvTimeoutError::Timeout) => return None,
                Err(RecvTimeoutError::Disconnected) => panic!("the listener is gone: {what}"),
            }
        }
    }

    /// The next request whose line begins with the prefix.
    pub fn request(&self, prefix: &str) -> Exchange {
        let found = self.request_within(prefix, TEST_TIMEOUT);
        found.unwrap_or_else(|| panic!("no request {prefix} in {TEST_TIMEOUT:?}"))
    }

    pub fn request_within(&self, prefix: &str, within: Duration) -> Option<Exchange> {
        self.find(prefix, within, |event| match event {
            PeerEvent::Request(exchange) if exchange.line.starts_with(prefix) => Ok(exchange),
            other => Err(other),
        })
    }

    /// Waits until the daemon has closed that connection; returns how many bytes of a further request
    /// had been received.
    pub fn closed(&self, number: usize) -> usize {
        let found = self.find("closed", TEST_TIMEOUT, |event| match event {
            PeerEvent::Closed { number: closed, partial_bytes } if closed == number => Ok(partial_bytes),
            other => Err(other),
        });
        found.unwrap_or_else(|| panic!("connection {number} is still open after {TEST_TIMEOUT:?}"))
    }

    /// Waits for the next new connection; returns its number.
    pub fn connected(&self) -> usize {
        let found = self.find("connected", TEST_TIMEOUT, |event| match event {
            PeerEvent::Connected(number) => Ok(number),
            other => Err(other),
        });
        found.expect("a connection")
    }
}

/// An address that refuses connections until something listens there.
pub fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind((crate::stand_in::address::own(), 0)).expect("an address");
    listener.local_addr().expect("an address")
}

fn read(stream: TcpStream, number: usize, sender: &Sender<PeerEvent>) {
    let _ = stream.set_nodelay(true);
    let mut reading = BufReader::new(stream.try_clone().expect("a descriptor"));
    loop {
        let (mut line, mut length, mut partial_bytes) = (String::new(), 0, 0);
        let whole = loop {
            let mut header = String::new();
            match reading.read_line(&mut header) {
                Ok(count @ 1..) => partial_bytes += count,
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
            let _ = sender.send(PeerEvent::Closed { number, partial_bytes: partial_bytes + read });
            return;
        }
        let stream = stream.try_clone().expect("a descriptor");
        let body = String::from_utf8(body).expect("text");
        let exchange = Exchange { line, body, connection: Connection { stream, number } };
        if sender.send(PeerEvent::Request(exchange)).is_err() {
            return;
        }
    }
}
