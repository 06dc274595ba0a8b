//! Signs of life at the controller's address, and a collector that reports what proxies met and were asked for.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, Instant};

use super::settings::Settings;
use super::traffic::{Came, Met, Traffic};
use crate::Fault;

const READY_WITHIN: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);
const EVERY: Duration = Duration::from_secs(2);
/// 120 a second at the most, as the settings have it.
const REPORTS_PER_PERIOD: usize = 240;

/// Waits until the controller answers a `PING`.
///
/// # Errors
/// It does not in time.
pub async fn until_ready(at: SocketAddr) -> Result<(), Fault> {
    let until = Instant::now() + READY_WITHIN;
    while Instant::now() < until {
        if let Ok(Ok(true)) = timeout(Duration::from_millis(500), answers(at)).await {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    Err(Fault::NotSeen { what: "an answer to PING", within_s: READY_WITHIN.as_secs() })
}

async fn answers(at: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"PING\r\n").await?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).await?;
    Ok(answer == "PONG\r\n")
}

/// Reports for good what the traffic comes to. Where that is more than is taken in, the rest of it follows with the next
/// period's.
pub async fn report(at: SocketAddr, settings: Settings, mut traffic: Traffic) {
    let mut every = interval(EVERY);
    every.tick().await;
    let mut waiting = VecDeque::new();
    loop {
        let Ok(mut stream) = TcpStream::connect(at).await else {
            sleep(LOOK).await;
            continue;
        };
        let source = format!("SOURCE zone={}\r\n", settings.zones[0]);
        if stream.write_all(source.as_bytes()).await.is_err() {
            continue;
        }
        loop {
            every.tick().await;
            let (met, came) = traffic.reports(EVERY.as_secs_f64());
            if waiting.len() < 4 * REPORTS_PER_PERIOD {
                waiting.extend(met.iter().map(load_line).chain(came.iter().map(rate_line)));
            }
            let taken = waiting.len().min(REPORTS_PER_PERIOD);
            let lines: String = waiting.drain(..taken).collect();
            if stream.write_all(lines.as_bytes()).await.is_err() {
                break;
            }
        }
    }
}

fn load_line(met: &Met) -> String {
    let Met { zone, host, tries, failed, mean_ms } = met;
    let span = EVERY.as_millis();
    format!(
        "LOAD zone={zone} server={host} tries={tries} failed={failed} mean_ms={mean_ms:.1} span_ms={span}\r\n"
    )
}

fn rate_line(came: &Came) -> String {
    let Came { proxy, class, tries } = came;
    format!("RATE proxy={proxy} class={class} tries={tries} failed=0 span_ms={}\r\n", EVERY.as_millis())
}
