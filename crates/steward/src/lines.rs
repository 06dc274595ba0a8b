//! The lines that collectors and others send to the steward's address, and reading them.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};
use tokio::time::timeout;

use amberarch_core::LoadReport;

/// The protocol page: a message holds at most 1 MiB.
pub const MOST_BYTES: u64 = 1 << 20;
/// The wire page: the longest time that anything there may have, 71 minutes.
const LONGEST_MS: f64 = 71.0 * 60e3;

/// What a line says; words of the wire that nothing needs are passed over.
#[derive(Debug, PartialEq)]
pub enum Said {
    Ping,
    Source { zone: String },
    Load { zone: String, host: String, tries: u32, voided: u32, mean: f64, over: f64, report: LoadReport },
    Rate { proxy: u16, product: String, txns: u32, voided: u32, over: f64 },
}

pub fn read(line: &[u8]) -> Result<Said, Bad> {
    let shown = || Bad::Unreadable(String::from_utf8_lossy(line).chars().take(20).collect());
    let text = std::str::from_utf8(line).map_err(|_| shown())?;
    said(text).transpose().ok_or_else(shown)?.map_err(Bad::Spoilt)
}

/// None where it is no message of the page. A message counts whole or not at all, so each figure is
/// checked here.
fn said(text: &str) -> Result<Option<Said>, String> {
    let mut words = text.split_ascii_whitespace();
    let kind = words.next().unwrap_or("");
    let pairs: Vec<(&str, &str)> = words.filter_map(|word| word.split_once('=')).collect();
    let word = |name: &str| {
        let found = pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
        found.ok_or_else(|| format!("{kind} without {name}"))
    };
    let count = |name: &str| number::<u32>(name, word(name)?);
    let time = |name: &str| match figure(name, word(name)?)? {
        time if time <= LONGEST_MS => Ok(time),
        time => Err(format!("{name}={time} is too long")),
    };
    Ok(Some(match kind {
        "PING" => Said::Ping,
        "SOURCE" => Said::Source { zone: word("zone")?.into() },
        "LOAD" => {
            let (tries, voided) = (count("tries")?, count("failed")?);
            if voided > tries {
                return Err(format!("failed={voided} of {tries}"));
            }
            Said::Load {
                zone: word("zone")?.into(),
                host: word("server")?.into(),
                tries,
                voided,
                mean: time("mean_ms")?,
                over: time("span_ms")?,
                report: word("load").map_or(Ok(LoadReport::default()), report)?,
            }
        }
        // What came before the span may have voided in it, so `failed` may be over `tries`.
        "RATE" => Said::Rate {
            proxy: number("proxy", word("proxy")?)?,
            product: word("class")?.into(),
            txns: count("tries")?,
            voided: count("failed")?,
            over: time("span_ms")?,
        },
        _ => return Ok(None),
    }))
}

fn number<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{name} is no number of its kind"))
}

/// A finite number from zero.
fn figure(name: &str, text: &str) -> Result<f64, String> {
    match number::<f64>(name, text)? {
        figure if figure.is_finite() && figure >= 0.0 => Ok(figure),
        figure => Err(format!("{name}={figure} is out of range")),
    }
}

fn report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once(':').ok_or("a load that is no pair")?;
        let into = match name {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.utilization,
            "latency_ms" => &mut report.latency,
            _ => continue,
        };
        *into = Some(figure(name, value)?);
    }
    Ok(report)
}

/// Why a line says nothing.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Bad {
    /// A message of the page with a word that is missing or can't be: the next may be good.
    #[error("{0}")]
    Spoilt(String),
    /// No message of the page at all: what follows can't be used either.
    #[error("what can't be read: {0:?}")]
    Unreadable(String),
}

/// Why no further line is read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    #[error("closed")]
    Closed,
    #[error("a line over {0} bytes")]
    TooLong(u64),
    #[error("a line that did not end in time")]
    Unfinished,
    #[error("its answer is not read")]
    Unread,
    #[error("had not joined in time")]
    NotJoined,
    #[error("no joining: {0}")]
    Refused(String),
    #[error("{0}")]
    Unreadable(Bad),
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

    /// The next line without its end, of `most` bytes at the most. It may take any time to begin, and
    /// `within` from there.
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

    /// Reads up to the end of a line, or to the first byte that is one too many. Guards against refusing a message of
    /// just the size that is allowed, whose CR and LF come on top of it.
    async fn read_line(&mut self, most: u64) -> io::Result<()> {
        let mut limited = (&mut self.stream).take(most + 1);
        limited.read_until(b'\n', &mut self.line).await?;
        if self.line.len() as u64 == most + 1 && self.line.ends_with(b"\r") {
            limited.set_limit(1);
            limited.read_until(b'\n', &mut self.line).await?;
        }
        Ok(())
    }
}
