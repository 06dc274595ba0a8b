//! Readiness checks at the controller's address, and a collector that sends host and proxy reports.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, Instant};

use super::settings::Settings;
use super::traffic::{HostReport, ProxyReport, ReportSource};
use crate::Fault;

const READY_WITHIN: Duration = Duration::from_secs(30);
const POLL_EVERY: Duration = Duration::from_millis(20);
const REPORT_EVERY: Duration = Duration::from_secs(2);
/// The settings allow at most 120 reports a second.
const REPORTS_PER_PERIOD: usize = 240;

/// Waits until the controller answers a `PING`.
///
/// # Errors
/// Fails if there is no answer within 30 s.
pub async fn until_ready(at: SocketAddr) -> Result<(), Fault> {
    let until = Instant::now() + READY_WITHIN;
    while Instant::now() < until {
        if let Ok(Ok(true)) = timeout(Duration::from_millis(500), answers(at)).await {
            return Ok(());
        }
        sleep(POLL_EVERY).await;
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

/// Sends the traffic reports of each period, without end. Reports above the limit are queued and sent with those of the
/// next period.
pub async fn report(at: SocketAddr, settings: Settings, mut traffic: ReportSource) {
    let mut every = interval(REPORT_EVERY);
    every.tick().await;
    let mut waiting = VecDeque::new();
    loop {
        let Ok(mut stream) = TcpStream::connect(at).await else {
            sleep(POLL_EVERY).await;
            continue;
        };
        let source = format!("SOURCE zone={}\r\n", settings.zones[0]);
        if stream.write_all(source.as_bytes()).await.is_err() {
            continue;
        }
        loop {
            every.tick().await;
            let (host_report, proxy_report) = traffic.reports(REPORT_EVERY.as_secs_f64());
            if waiting.len() < 4 * REPORTS_PER_PERIOD {
                waiting.extend(host_report.iter().map(load_line).chain(proxy_report.iter().map(rate_line)));
            }
            let count = waiting.len().min(REPORTS_PER_PERIOD);
            let lines: String = waiting.drain(..count).collect();
            if stream.write_all(lines.as_bytes()).await.is_err() {
                break;
            }
        }
    }
}

fn load_line(host_report: &HostReport) -> String {
    let HostReport { zone, host, tries, failed, mean_ms } = host_report;
    let span = REPORT_EVERY.as_millis();
    format!(
        "LOAD zone={zone} server={host} tries={tries} failed={failed} mean_ms={mean_ms:.1} span_ms={span}\r\n"
    )
}

fn rate_line(proxy_report: &ProxyReport) -> String {
    let ProxyReport { proxy, class, tries } = proxy_report;
    format!(
        "RATE proxy={proxy} class={class} tries={tries} failed=0 span_ms={}\r\n",
        REPORT_EVERY.as_millis()
    )
}
