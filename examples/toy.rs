//! A toy deployment for trying out the controller: discovery, a relay with four proxies, four hosts and a
//! collector, all on loopback and at the addresses of `config.json` beside this file. It prints the
//! orders received. From 8 s to 16 s after the start one host fails its probes and its txns.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::time::sleep;

const CONTROLLER: &str = "127.0.0.1:3000";
const DISCOVERY: &str = "127.0.0.1:8500";
const RELAY: &str = "127.0.0.1:6400";
const ZONES: [&str; 2] = ["east", "west"];

type Body = BoxBody<Bytes, Infallible>;

fn full(body: Value) -> Response<Body> {
    Response::new(Full::new(Bytes::from(body.to_string())).boxed())
}

/// Serves HTTP/1.1 at an address; `answer` produces each response.
async fn serve<F, Fut>(address: String, answer: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: std::future::Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(&address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answer = answer(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn host(number: usize) -> Value {
    json!({"host": format!("s-{number}"), "dial": format!("127.0.0.1:310{number}"), "site": ZONES[number % 2],
        "class": "plain", "block": 0, "health": "in_service", "share": 1.0, "born_ms": 0})
}

/// The list never changes, so a watch waits until its timeout.
async fn discovery(request: Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or("");
    let wait = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms="));
    if query.contains("after=1&") {
        let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0);
        sleep(Duration::from_millis(wait)).await;
        return full(json!({"seq": 1, "whole": false, "hosts": []}));
    }
    full(json!({"seq": 1, "whole": true, "hosts": (0..4).map(host).collect::<Vec<_>>()}))
}

/// Sends the joined proxies first, then answers to marks and a heartbeat each second.
fn watch(mut events: broadcast::Receiver<String>) -> Response<Body> {
    let (to, body) = tokio::sync::mpsc::channel::<Result<Frame<Bytes>, Infallible>>(16);
    tokio::spawn(async move {
        for proxy in 0..4 {
            let zone = ZONES[proxy % 2];
            let joins = json!({"type": "SUBSCRIBE",
                "object": {"proxy": proxy, "zone": zone, "weight": 10.0, "fresh": true}});
            let _ = to.send(Ok(Frame::data(format!("{joins}\n").into()))).await;
        }
        loop {
            let line = tokio::select! {
                line = events.recv() => line.unwrap_or_default(),
                () = sleep(Duration::from_secs(1)) => "{}".to_string(),
            };
            if to.send(Ok(Frame::data(format!("{line}\n").into()))).await.is_err() {
                return;
            }
        }
    });
    let body = futures_util::stream::unfold(body, |mut body| async move { Some((body.recv().await?, body)) });
    Response::new(BodyExt::boxed(StreamBody::new(Box::pin(body))))
}

async fn relay(
    request: Request<Incoming>,
    events: broadcast::Sender<String>,
    start: Instant,
) -> Response<Body> {
    if request.uri().path() == "/watch" {
        return watch(events.subscribe());
    }
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    let orders = call["changes"].as_array().cloned().unwrap_or_default();
    for order in &orders {
        println!("{:6.1} s {order}", start.elapsed().as_secs_f64());
        if order["op"] == "mark" {
            let acks = (0..4).map(|proxy| {
                json!({"type": "ACK", "object": {"proxy": proxy, "mark": order["nonce_out"], "took_ms": 200.0}})
            });
            let events = events.clone();
            let acks: Vec<String> = acks.map(|ack| ack.to_string()).collect();
            tokio::spawn(async move {
                sleep(Duration::from_millis(200)).await;
                acks.into_iter().for_each(|ack| drop(events.send(ack)));
            });
        }
    }
    full(json!({"taken": orders.len()}))
}

fn fails(number: usize, start: Instant) -> bool {
    number == 3 && (8..16).contains(&start.elapsed().as_secs())
}

async fn health(number: usize, start: Instant) -> Response<Body> {
    let mut answer = full(Value::Null);
    if fails(number, start) {
        *answer.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

/// Waits until the controller answers, then sends traffic reports.
async fn collector(start: Instant) -> std::io::Result<()> {
    let mut stream = loop {
        match TcpStream::connect(CONTROLLER).await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(200)).await,
        }
    };
    stream.write_all(b"PING\r\n").await?;
    let mut pong = [0; 6];
    stream.read_exact(&mut pong).await?;
    println!("the controller answers");
    loop {
        stream.write_all(b"SOURCE zone=east\r\n").await?;
        for number in 0..4 {
            let zone = ZONES[number % 2];
            let failed = if fails(number, start) { 20 } else { 0 };
            let reports = format!(
                "LOAD zone={zone} server=s-{number} tries=20 failed={failed} mean_ms=180.0 span_ms=2000.0\r\n\
                 RATE proxy={number} class=look tries=20 failed=0 span_ms=2000.0\r\n"
            );
            stream.write_all(reports.as_bytes()).await?;
        }
        sleep(Duration::from_secs(2)).await;
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let start = Instant::now();
    let (events, _) = broadcast::channel(64);
    for number in 0..4 {
        let address: SocketAddr = ([127, 0, 0, 1], 3100 + number as u16).into();
        tokio::spawn(serve(address.to_string(), move |_| health(number, start)));
    }
    tokio::spawn(async move {
        // A controller that exits closes its connection; the collector connects to the next one.
        while let Err(why) = collector(start).await {
            println!("lost the connection to the controller: {why}");
            sleep(Duration::from_secs(1)).await;
        }
    });
    let relay = serve(RELAY.to_string(), move |request| relay(request, events.clone(), start));
    println!("a toy deployment: relay {RELAY}, discovery {DISCOVERY}, hosts 127.0.0.1:3100 to 3103");
    tokio::try_join!(relay, serve(DISCOVERY.to_string(), discovery))?;
    Ok(())
}
