//! Minimal HTTP/1.1 for the relay of a drill, which writes every response itself or withholds it.

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// A request with its complete body.
pub struct Request {
    /// `POST /txn HTTP/1.1`
    pub line: String,
    pub body: Vec<u8>,
}

/// Reads the next request. `None`: the connection ended.
pub async fn read(reads: &mut BufReader<OwnedReadHalf>) -> Option<Request> {
    let (mut line, mut length) = (String::new(), 0);
    loop {
        let mut header = String::new();
        if reads.read_line(&mut header).await.ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if line.is_empty() {
            line = header.to_string();
        }
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reads.read_exact(&mut body).await.ok()?;
    Some(Request { line, body })
}

/// Writes a complete response. `None`: the connection ended.
pub async fn reply(writes: &mut OwnedWriteHalf, status: u16, body: &str) -> Option<()> {
    let head = format!("HTTP/1.1 {status} said\r\ncontent-length: {}\r\n\r\n", body.len());
    writes.write_all((head + body).as_bytes()).await.ok()
}
