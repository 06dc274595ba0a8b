//! The lines that collectors and others send to the steward's address, and reading them.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};
use tokio::time::timeout;

use amberarch_core::LoadReport;

/// The protocol page: a message holds at most 1 MiB.
const MOST_BYTES: u64 = 1 << 20;

/// What a line says; words of the wire that nothing needs are passed over.
#[derive(Debug, PartialEq)]
pub enum Said {
    Ping,
    Source { zone: String },
    Load { zone: String, host: String, tries: u32, voided: u32, mean: f64, over: f64, report: LoadReport },
    Rate { proxy: u16, product: String, txns: u32, voided: u32, over: f64 },
}

pub fn read(line: &[u8]) -> Result<Said, String> {
    let text = std::str::from_utf8(line).map_err(|_| "not UTF-8".to_string())?;
    let mut words = text.split_ascii_whitespace();
    let kind = words.next().unwrap_or("");
    let pairs: Vec<(&str, &str)> = words.filter_map(|word| word.split_once('=')).collect();
    let word = |name: &str| {
        let found = pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
        found.ok_or_else(|| format!("{kind} without {name}"))
    };
    let count = |name: &str| number::<u32>(name, word(name)?);
    let span = |name: &str| match number::<f64>(name, word(name)?)? {
        time if time.is_finite() && time >= 0.0 => Ok(time),
        time => Err(format!("{name}={time} is no span of time")),
    };
    match kind {
        "PING" => Ok(Said::Ping),
        "SOURCE" => Ok(Said::Source { zone: word("zone")?.into() }),
        "LOAD" => Ok(Said::Load {
            zone: word("zone")?.into(),
            host: word("server")?.into(),
            tries: count("tries")?,
            voided: count("failed")?,
            // Where no try was good there is no mean.
            mean: word("mean_ms").map_or(Ok(0.0), |_| span("mean_ms"))?,
            over: span("span_ms")?,
            report: word("load").map_or(Ok(LoadReport::default()), report)?,
        }),
        "RATE" => Ok(Said::Rate {
            proxy: number("proxy", word("proxy")?)?,
            product: word("class")?.into(),
            txns: count("tries")?,
            voided: count("failed")?,
            over: span("span_ms")?,
        }),
        other => Err(format!("unknown kind {:?}", other.chars().take(20).collect::<String>())),
    }
}

fn number<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{name} is no number of its kind"))
}

fn report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once(':')) {
        let value = Some(number::<f64>(name, value)?);
        match name {
            "inflight" => report.in_hand = value,
            "queue" => report.waiting = value,
            "util" => report.busy = value,
            "latency_ms" => report.service = value,
            _ => {}
        }
    }
    Ok(report)
}

/// Why no further line is read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    #[error("closed")]
    Closed,
    #[error("a line over 1 MiB")]
    TooLong,
    #[error("a line that did not end in time")]
    Unfinished,
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

    /// The next line without its end. It may take any time to begin, and `within` from there.
    pub async fn next(&mut self, within: Duration) -> Result<&[u8], Ended> {
        self.line.clear();
        if self.stream.fill_buf().await.map_err(Ended::Broken)?.is_empty() {
            return Err(Ended::Closed);
        }
        let mut limited = (&mut self.stream).take(MOST_BYTES);
        let read = timeout(within, limited.read_until(b'\n', &mut self.line)).await;
        read.map_err(|_| Ended::Unfinished)?.map_err(Ended::Broken)?;
        match self.line.strip_suffix(b"\n") {
            Some(line) => Ok(line.strip_suffix(b"\r").unwrap_or(line)),
            None if self.line.len() as u64 >= MOST_BYTES => Err(Ended::TooLong),
            None => Err(Ended::Closed),
        }
    }
}
