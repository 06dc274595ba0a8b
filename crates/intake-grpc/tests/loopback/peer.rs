//! An intake on loopback, its host list, and a client that can violate the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amberarch_core::{HostId, ZoneId};
use amberarch_intake::{Believed, Echo, Line};
use amberarch_intake_grpc::wire::load_intake_client::LoadIntakeClient;
use amberarch_intake_grpc::wire::{Batch, Hello, Load, Paces, Report};
use amberarch_intake_grpc::{start, Basis, Bounds, Counts, NamedHost, Witness};
use slog::{o, Discard, Logger};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Status, Streaming};

pub struct Stood {
    pub at: SocketAddr,
    pub counts: Arc<Counts>,
    pub witness: Witness,
    pub told: mpsc::Receiver<Vec<Believed>>,
    pub start: Instant,
}

pub const BOUNDS: Bounds = Bounds {
    connections: 4,
    streams_per_connection: 8,
    reporters: 6,
    hosts_per_reporter: 20,
    reports_per_batch: 50,
    message_bytes: 8 * 1_024,
    window: 65_535,
};

pub fn stand(bounds: Bounds) -> Stood {
    let (out, told) = mpsc::channel(1);
    let (witness, start_at) = (Witness::default(), Instant::now());
    let line = Line { load: 1.5, beside: 2.0 };
    let basis = Basis { reports_per_s: 100.0, line, start: start_at, echo: Echo(1 << 30) };
    let any = "127.0.0.1:0".parse().expect("an address");
    let log = Logger::root(Discard, o!());
    let (at, counts) = start(any, bounds, basis, witness.clone(), out, log).expect("an intake");
    let stood = Stood { at, counts, witness, told, start: start_at };
    stood.list(10);
    stood
}

impl Stood {
    pub fn list(&self, hosts: u32) {
        let named = |number: u32| NamedHost {
            name: format!("s-{number}"),
            host: HostId(number),
            zone: ZoneId(0),
            born: None,
        };
        self.witness.list((0..hosts).map(named).collect());
    }

    pub async fn client(&self) -> LoadIntakeClient<Channel> {
        let to = Channel::from_shared(format!("http://{}", self.at)).expect("an address");
        LoadIntakeClient::new(to.connect().await.expect("a connection"))
    }

    /// The next believed load of the host, within five seconds.
    pub async fn believed(&mut self, host: u32) -> Option<Believed> {
        let until = tokio::time::Instant::now() + Duration::from_secs(5);
        while let Ok(Some(told)) = tokio::time::timeout_at(until, self.told.recv()).await {
            if let Some(found) = told.into_iter().find(|told| told.host == HostId(host)) {
                return Some(found);
            }
        }
        None
    }
}

pub struct Reporter {
    pub to: mpsc::Sender<Batch>,
    pub paces: Streaming<Paces>,
    pub echo: u64,
    pub seq: u32,
    start: Instant,
}

impl Reporter {
    pub async fn open(client: &mut LoadIntakeClient<Channel>, first: Batch) -> Result<Reporter, Status> {
        let (to, batches) = mpsc::channel(64);
        to.send(first).await.expect("room for the first message");
        let paces = client.report(ReceiverStream::new(batches)).await?.into_inner();
        Ok(Reporter { to, paces, echo: 0, seq: 0, start: Instant::now() })
    }

    /// A client that names hosts from `s-0` on and has answered its first message of paces.
    pub async fn proven(client: &mut LoadIntakeClient<Channel>, name: &str, hosts: u32) -> Reporter {
        let mut reporter = Reporter::open(client, hello(name, hosts)).await.expect("a stream");
        reporter.answer().await;
        reporter
    }

    pub fn clock(&self) -> f64 {
        4e8 + self.start.elapsed().as_secs_f64() * 1e3
    }

    pub async fn answer(&mut self) -> Paces {
        let paces = self.paces.message().await.expect("a stream that stands").expect("a message of paces");
        self.echo = paces.echo;
        self.send(vec![]).await;
        paces
    }

    pub fn report(&mut self, host: u32, load: f64) -> Report {
        self.seq += 1;
        let load = Some(Load { cpu_utilization: load, ..Load::default() });
        Report { host, seq: self.seq, at_ms: self.clock(), load }
    }

    pub async fn send(&mut self, reports: Vec<Report>) {
        let batch = Batch { hello: None, sent_ms: self.clock(), echo: self.echo, reports };
        let _ = self.to.send(batch).await;
    }

    /// The status with which the stream ended.
    pub async fn ended(&mut self) -> Status {
        loop {
            match self.paces.message().await {
                Ok(Some(_)) => {}
                Ok(None) => return Status::ok("ended"),
                Err(status) => return status,
            }
        }
    }
}

pub fn hello(name: &str, hosts: u32) -> Batch {
    let hosts = (0..hosts).map(|number| format!("s-{number}")).collect();
    let hello = Hello { reporter: name.into(), boot: 7, hosts };
    Batch { hello: Some(hello), sent_ms: 0.0, echo: 0, reports: vec![] }
}
