//! The line protocol: messages that collectors and health checks send to the daemon's address, and their parser.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};
use tokio::time::timeout;

use amberarch_core::LoadReport;

/// The longest message, 1 MiB, by the protocol page.
pub const MAX_LINE_BYTES: u64 = 1 << 20;
/// The longest duration in a message, 71 minutes, by the wire page.
const MAX_DURATION_MS: f64 = 71.0 * 60e3;

/// A parsed line. Fields of the line that the daemon does not need are ignored.
#[derive(Debug, PartialEq)]
pub enum Message {
    Ping,
    Source {
        zone: String,
    },
    Load {
        zone: String,
        host: String,
        tries: u32,
        failed: u32,
        mean_latency: f64,
        covered: f64,
        report: LoadReport,
    },
    Rate {
        proxy: u16,
        class: String,
        txns: u32,
        failed: u32,
        covered: f64,
    },
}

pub fn read(line: &[u8]) -> Result<Message, LineError> {
    let shown = || LineError::Unreadable(String::from_utf8_lossy(line).chars().take(20).collect());
    let text = std::str::from_utf8(line).map_err(|_| shown())?;
    parse(text).transpose().ok_or_else(shown)?.map_err(LineError::Malformed)
}

/// Parses a line; `None` if it is no message of the protocol page. A message is used whole or not at all, so every number
/// is checked here.
fn parse(text: &str) -> Result<Option<Message>, String> {
    let mut words = text.split_ascii_whitespace();
    let kind = words.next().unwrap_or("");
    let pairs: Vec<(&str, &str)> = words.filter_map(|word| word.split_once('=')).collect();
    let word = |name: &str| {
        let found = pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
        found.ok_or_else(|| format!("{kind} without {name}"))
    };
    let count = |name: &str| number::<u32>(name, word(name)?);
    let time = |name: &str| match non_negative(name, word(name)?)? {
        time if time <= MAX_DURATION_MS => Ok(time),
        time => Err(format!("{name}={time} is too long")),
    };
    Ok(Some(match kind {
        "PING" => Message::Ping,
        "SOURCE" => Message::Source { zone: word("zone")?.into() },
        "LOAD" => {
            let (tries, failed) = (count("tries")?, count("failed")?);
            if failed > tries {
                return Err(format!("failed={failed} of {tries}"));
            }
            Message::Load {
                zone: word("zone")?.into(),
                host: word("server")?.into(),
                tries,
                failed,
                mean_latency: time("mean_ms")?,
                covered: time("span_ms")?,
                report: word("load").map_or(Ok(LoadReport::default()), report)?,
            }
        }
        // Requests that started before the covered span may fail in it, so `failed` may exceed `tries`.
        "RATE" => Message::Rate {
            proxy: number("proxy", word("proxy")?)?,
            class: word("class")?.into(),
            txns: count("tries")?,
            failed: count("failed")?,
            covered: time("span_ms")?,
        },
        _ => return Ok(None),
    }))
}

fn number<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{name} is not a valid number"))
}

/// A finite number from zero.
fn non_negative(name: &str, text: &str) -> Result<f64, String> {
    match number::<f64>(name, text)? {
        value if value.is_finite() && value >= 0.0 => Ok(value),
        value => Err(format!("{name}={value} is out of range")),
    }
}

fn report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once(':').ok_or("a load entry is not name:value")?;
        let into = match name {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.utilization,
            "latency_ms" => &mut report.latency,
            _ => continue,
        };
        *into = Some(non_negative(name, value)?);
    }
    Ok(report)
}

/// Why a line can't be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum LineError {
    /// A known message with a missing or invalid field; the next line may be valid.
    #[error("{0}")]
    Malformed(String),
    /// Not a message of the protocol page; what follows can't be used either.
    #[error("unreadable line: {0:?}")]
    Unreadable(String),
}

/// Why reading from a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    #[error("closed")]
    Closed,
    #[error("a line over {0} bytes")]
    TooLong(u64),
    #[error("a line was not complete in time")]
    Unfinished,
    #[error("the peer did not read its answer in time")]
    Unread,
    #[error("not identified in time")]
    NotJoined,
    #[error("rejected before joining: {0}")]
    Refused(String),
    #[error("{0}")]
    Unreadable(LineError),
    #[error("{0}")]
    Broken(io::Error),
}

pub struct Lines<S> {
    stream: BufReader<S>,
    line: Vec<u8>,
}

impl<S: AsyncRead + Unpin> Lines<S> {
    pub fn new(stream: S) -> Lines<S> {
        Lines { stream: BufReader::new(stream), line: Vec::new() }
    }

    /// Reads the next line, without its line end and of at most `most` bytes. There is no limit on the time until it begins;
    /// from there it has to be complete within `within`.
    pub async fn next(&mut self, most: u64, within: Duration) -> Result<&[u8], Ended> {
        self.line.clear();
        if self.stream.fill_buf().await.map_err(Ended::Broken)?.is_empty() {
            return Err(Ended::Closed);
        }
        let read = timeout(within, self.read_line(most)).await;
        read.map_err(|_| Ended::Unfinished)?.map_err(Ended::Broken)?;
        let line = match self.line.strip_suffix(b"\n") {
            Some(line) => line.strip_suffix(b"\r").unwrap_or(line),
            None if self.line.len() as u64 > most => return Err(Ended::TooLong(most)),
            None => return Err(Ended::Closed),
        };
        match line.len() as u64 > most {
            true => Err(Ended::TooLong(most)),
            false => Ok(line),
        }
    }

    /// Reads up to a line end, or up to the first byte beyond the limit. The line end does not count: a message of exactly
    /// the allowed size, followed by CR and LF, is accepted.
    async fn read_line(&mut self, most: u64) -> io::Result<()> {
        let mut bounded = (&mut self.stream).take(most + 1);
        bounded.read_until(b'\n', &mut self.line).await?;
        if self.line.len() as u64 == most + 1 && self.line.ends_with(b"\r") {
            bounded.set_limit(1);
            bounded.read_until(b'\n', &mut self.line).await?;
        }
        Ok(())
    }
}
