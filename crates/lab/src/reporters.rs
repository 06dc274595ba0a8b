//! Stand-in reporters: agents that each report for some hosts, follow the report rates they are sent, and answer each
//! rate message at once.

use std::time::{Duration, Instant};

use amberarch_intake_grpc::wire::load_intake_client::LoadIntakeClient;
use amberarch_intake_grpc::wire::{Batch, Hello, Load, Report};
use clap::Args;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant as Due};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

use crate::process::host_name;
use crate::Fault;

#[derive(Args, Clone)]
pub struct Crowd {
    #[arg(long)]
    pub to: String,
    #[arg(long)]
    pub reporters: usize,
    #[arg(long)]
    pub hosts_each: usize,
    #[arg(long)]
    pub connections: usize,
    #[arg(long)]
    pub seconds: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Used until the agent is sent a rate.
const FIRST: Duration = Duration::from_millis(1_000);

pub fn run(crowd: Crowd) -> Result<(), Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|why| Fault::Io("cannot start the async runtime", why))?.block_on(async {
        let endpoint = Endpoint::from_shared(format!("http://{}", crowd.to));
        let endpoint = endpoint.map_err(|why| Fault::Other(why.to_string()))?;
        let channels: Vec<Channel> = (0..crowd.connections).map(|_| endpoint.connect_lazy()).collect();
        let mut all = tokio::task::JoinSet::new();
        for number in 0..crowd.reporters {
            let channel = channels[number % channels.len()].clone();
            let crowd = crowd.clone();
            all.spawn(async move {
                // An agent whose stream broke reconnects, as real agents do.
                let until = Instant::now() + Duration::from_secs(crowd.seconds);
                while Instant::now() < until {
                    if let Err(status) = reporter(number, channel.clone(), &crowd, until).await {
                        eprintln!("reporter {number}: {status}");
                    }
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            });
        }
        while all.join_next().await.is_some() {}
        Ok(())
    })
}

async fn reporter(
    number: usize,
    channel: Channel,
    crowd: &Crowd,
    until: Instant,
) -> Result<(), tonic::Status> {
    let mut chance = StdRng::seed_from_u64(crowd.seed.wrapping_mul(1_000_003) + number as u64);
    let start = Instant::now();
    let skew: f64 = chance.random_range(0.0..1e9);
    let clock = || skew + start.elapsed().as_secs_f64() * 1e3;
    let first = number * crowd.hosts_each;
    let hosts = (first..first + crowd.hosts_each).map(host_name).collect();
    let hello = Hello { reporter: format!("agent-{number}"), boot: chance.random(), hosts };
    let (to, batches) = mpsc::channel(4);
    let send = |batch: Batch| async {
        to.send(batch).await.map_err(|_| tonic::Status::cancelled("the stream is gone"))
    };
    send(Batch { hello: Some(hello), sent_ms: clock(), echo: 0, reports: vec![] }).await?;
    let mut client = LoadIntakeClient::new(channel);
    let mut paces = client.report(ReceiverStream::new(batches)).await?.into_inner();
    let mut every = vec![FIRST; crowd.hosts_each];
    let spread = FIRST.mul_f64(chance.random());
    let mut due = vec![Due::now() + spread; crowd.hosts_each];
    let mut loads: Vec<f64> = (0..crowd.hosts_each).map(|_| chance.random_range(0.3..0.8)).collect();
    let (mut seq, mut echo) = (0u32, 0);
    while Instant::now() < until {
        let next = due.iter().copied().min().unwrap_or_else(|| Due::now() + FIRST);
        tokio::select! {
            message = paces.message() => {
                let Some(message) = message? else { return Ok(()) };
                echo = message.echo;
                for pace in message.paces {
                    let place = pace.host as usize;
                    let told = Duration::from_secs_f64(pace.every_ms / 1e3);
                    due[place] = due[place].min(Due::now() + told);
                    every[place] = told;
                }
                send(Batch { hello: None, sent_ms: clock(), echo, reports: vec![] }).await?;
            }
            () = sleep_until(next) => {
                let (now, at_ms) = (Due::now(), clock());
                let mut reports = Vec::new();
                for place in 0..crowd.hosts_each {
                    if due[place] > now {
                        continue;
                    }
                    due[place] = (due[place] + every[place]).max(now);
                    loads[place] = (loads[place] + chance.random_range(-0.01..0.01)).clamp(0.2, 0.9);
                    seq = seq.wrapping_add(1);
                    let load = Load { cpu_utilization: loads[place], ..Load::default() };
                    reports.push(Report { host: place as u32, seq, at_ms, load: Some(load) });
                }
                send(Batch { hello: None, sent_ms: at_ms, echo, reports }).await?;
            }
        }
    }
    Ok(())
}
