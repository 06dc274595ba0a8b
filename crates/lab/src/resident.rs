//! Checks that the memory of one daemon that steers 1,600 proxies stays constant while its hosts are replaced over and
//! over. Relay, discovery, hosts and collectors are threads that send only what the protocol requires.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{json, Value};

use crate::chart::{keep, Series};
use crate::process::{daemon_with, figure, free_port};
use crate::{close, Bound, Fault, How};

const PROXIES: usize = 1_600;
const HOSTS: usize = 120;
const ZONES: [&str; 2] = ["east", "west"];
const CLASSES: [&str; 2] = ["look", "pay"];
/// This many hosts leave and as many join at each replacement, so that all hosts have been replaced after 20 s.
const REPLACED: usize = 12;
const REPLACE_EVERY: Duration = Duration::from_secs(2);
const REPORT_EVERY: Duration = Duration::from_secs(2);
/// Time from a call to the answers of its proxies.
const TRANSIT: Duration = Duration::from_millis(100);

/// A row of the host list with the version in which it changed last.
#[derive(Clone)]
struct Row {
    name: String,
    zone: &'static str,
    health: &'static str,
    born_ms: f64,
    seq: u64,
}

struct List {
    seq: u64,
    rows: Vec<Row>,
    named: usize,
    /// Rows that last changed in this version have been dropped: a request from an earlier version gets the whole list.
    dropped: u64,
}

impl List {
    fn new() -> List {
        let mut list = List { seq: 1, rows: vec![], named: 0, dropped: 0 };
        (0..HOSTS).for_each(|_| list.comes(0.0));
        list
    }

    fn comes(&mut self, born_ms: f64) {
        let (name, zone) = (format!("s-{}", self.named), ZONES[self.named % ZONES.len()]);
        self.rows.push(Row { name, zone, health: "in_service", born_ms, seq: self.seq });
        self.named += 1;
    }

    /// Removes the drained hosts, starts to drain the oldest, and adds new ones.
    fn replace(&mut self) {
        self.seq += 1;
        let seq = self.seq;
        let gone = self.rows.iter().filter(|row| row.health == "terminated");
        self.dropped = gone.map(|row| row.seq).max().unwrap_or(self.dropped);
        self.rows.retain(|row| row.health != "terminated");
        let drained = self.rows.iter_mut().filter(|row| row.health == "terminating");
        drained.for_each(|row| (row.health, row.seq) = ("terminated", seq));
        let oldest = self.rows.iter_mut().filter(|row| row.health == "in_service").take(REPLACED);
        oldest.for_each(|row| (row.health, row.seq) = ("terminating", seq));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |at| at.as_secs_f64() * 1e3);
        (0..REPLACED).for_each(|_| self.comes(now));
    }

    fn tells(&self, after: Option<u64>, dial: &str) -> Value {
        let after = after.filter(|after| *after >= self.dropped);
        let new = self.rows.iter().filter(|row| after.is_none_or(|after| row.seq > after));
        let rows: Vec<Value> = new
            .map(|row| {
                json!({"host": row.name, "dial": dial, "site": row.zone, "class": "plain", "block": 0,
                "health": row.health, "share": 1.0, "born_ms": row.born_ms})
            })
            .collect();
        json!({"seq": self.seq, "whole": after.is_none(), "hosts": rows})
    }
}

/// Reads the next request on a connection: its first line and its body.
fn request(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut first, mut length) = (String::new(), 0);
    from.read_line(&mut first).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first, body))
}

fn answer(to: &mut TcpStream, body: &Value) -> Option<()> {
    let body = body.to_string();
    write!(to, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).ok()
}

/// Serves a port with one thread for each accepted connection.
fn serve(each: impl Fn(TcpStream) -> Option<()> + Send + Sync + 'static) -> Result<u16, Fault> {
    let io = |why| Fault::Io("cannot open a stand-in's address", why);
    let listener = TcpListener::bind("127.0.0.1:0").map_err(io)?;
    let port = listener.local_addr().map_err(io)?.port();
    let each = Arc::new(each);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            spawn(move || each(stream));
        }
    });
    Ok(port)
}

/// The open relay watches, to which updates are sent.
type News = Arc<Mutex<Vec<TcpStream>>>;

fn say(news: &News, lines: &str) {
    let mut watches = news.lock().expect("the watches");
    watches.retain_mut(|watch| watch.write_all(lines.as_bytes()).is_ok());
}

/// Answers each mark for all proxies.
fn answers(news: News) -> Sender<(Instant, u64)> {
    let (to, marks) = channel::<(Instant, u64)>();
    spawn(move || {
        for (at, mark) in marks {
            sleep((at + TRANSIT).saturating_duration_since(Instant::now()));
            let line = |proxy| {
                let object = json!({"proxy": proxy, "mark": mark, "took_ms": 100.0});
                json!({"type": "ACK", "object": object}).to_string() + "\n"
            };
            say(&news, &(0..PROXIES).map(line).collect::<String>());
        }
    });
    to
}

fn relay() -> Result<u16, Fault> {
    let news = News::default();
    let (signs, marks) = (news.clone(), Mutex::new(answers(news.clone())));
    spawn(move || loop {
        sleep(Duration::from_secs(1));
        say(&signs, "{}\n");
    });
    serve(move |mut stream| {
        let mut from = BufReader::new(stream.try_clone().ok()?);
        while let Some((first, body)) = request(&mut from) {
            if first.starts_with("GET /watch") {
                let joins = |proxy: usize| {
                    let zone = ZONES[proxy % ZONES.len()];
                    let object = json!({"proxy": proxy, "zone": zone, "weight": 4.0, "fresh": true});
                    json!({"type": "SUBSCRIBE", "object": object}).to_string() + "\n"
                };
                let stands: String = (0..PROXIES).map(joins).collect();
                write!(stream, "HTTP/1.1 200 OK\r\n\r\n{stands}{{}}\n").ok()?;
                news.lock().expect("the watches").push(stream);
                return Some(());
            }
            let call: Value = serde_json::from_slice(&body).ok()?;
            let changes = call["changes"].as_array()?;
            answer(&mut stream, &json!({"taken": changes.len()}))?;
            let marks = marks.lock().expect("the marks");
            let told = changes.iter().filter_map(|change| change["nonce_out"].as_u64());
            for mark in told {
                marks.send((Instant::now(), mark)).ok()?;
            }
        }
        Some(())
    })
}

fn discovery(list: Arc<Mutex<List>>, dial: String) -> Result<u16, Fault> {
    serve(move |mut stream| {
        let mut from = BufReader::new(stream.try_clone().ok()?);
        while let Some((first, _)) = request(&mut from) {
            let query = first.split([' ', '?', '&']).filter_map(|word| word.split_once('='));
            let word = |name: &str| query.clone().find(|pair| pair.0 == name)?.1.parse::<u64>().ok();
            let (after, until) = (word("after"), Duration::from_millis(word("wait_ms").unwrap_or(0)));
            let asked = Instant::now();
            while Some(list.lock().expect("the list").seq) == after && asked.elapsed() < until {
                sleep(Duration::from_millis(20));
            }
            let told = list.lock().expect("the list").tells(after, &dial);
            answer(&mut stream, &told)?;
        }
        Some(())
    })
}

/// A collector that sends traffic reports of its zone, with as many successful tries as there are hosts.
fn collect(zone: usize, port: u16, list: Arc<Mutex<List>>) {
    let talk = move |mut to: TcpStream| -> Option<()> {
        write!(to, "SOURCE zone={}\r\n", ZONES[zone]).ok()?;
        loop {
            sleep(REPORT_EVERY);
            let over = REPORT_EVERY.as_millis();
            let hosts = list.lock().expect("the list").rows.clone();
            let load = |row: &Row| {
                let (zone, host) = (ZONES[zone], &row.name);
                format!("LOAD zone={zone} server={host} tries=24 failed=0 mean_ms=90.0 span_ms={over}\r\n")
            };
            let rate = |proxy| {
                let of =
                    |class| format!("RATE proxy={proxy} class={class} tries=4 failed=0 span_ms={over}\r\n");
                CLASSES.map(of).concat()
            };
            let loads = hosts.iter().filter(|row| row.health == "in_service").map(load);
            let rates = (zone..PROXIES).step_by(ZONES.len()).map(rate);
            to.write_all(loads.chain(rates).collect::<String>().as_bytes()).ok()?;
        }
    };
    spawn(move || loop {
        if let Ok(to) = TcpStream::connect(("127.0.0.1", port)) {
            talk(to);
        }
        sleep(Duration::from_millis(200));
    });
}

#[derive(Serialize)]
struct Figures {
    proxies: usize,
    hosts: usize,
    seconds: f64,
    hosts_replaced: usize,
    /// Means of the first and the last fifth after settling, and the maximum.
    resident_kib_first: f64,
    resident_kib_last: f64,
    resident_kib_most: f64,
    /// The highest number of open descriptors over all checks.
    descriptors_most: usize,
    cores: f64,
    timers: f64,
    orders: f64,
    calls: f64,
    probes: f64,
    applied: f64,
    panics: f64,
    probes_unsent: f64,
    probes_merged: f64,
    replies_lost: f64,
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let dir = tempfile::tempdir().map_err(|why| Fault::Io("cannot create a folder", why))?;
    let (settle, lasts) = if how.quick { (12.0, 23.0) } else { (60.0, 600.0) };
    let list = Arc::new(Mutex::new(List::new()));
    // The probes of all hosts go to this one address.
    let probed = serve(|mut stream| {
        let mut from = BufReader::new(stream.try_clone().ok()?);
        while request(&mut from).is_some() {
            answer(&mut stream, &json!({"inflight": 1, "queue": 0, "util": 0.2}))?;
        }
        Some(())
    })?;
    let dial = format!("127.0.0.1:{probed}");
    let (relay, discovery, listen) = (relay()?, discovery(list.clone(), dial.clone())?, free_port()?);
    let known = list.lock().expect("the list").tells(None, &dial);
    let mut controller = daemon_with(dir.path(), "resident", "", |config| {
        let address = |port: u16| json!(format!("127.0.0.1:{port}"));
        config["listen"] = address(listen);
        config["discovery"] = address(discovery);
        config["relay"]["address"] = address(relay);
        config["known"] = known;
        let family = &mut config["settings"]["familyInfo"];
        family["agents"] = json!(PROXIES);
        // As many lines per proxy as in a fleet of 200 on the usual channel, and reports of all in each period.
        (family["egressPerS"], family["backlog"]) = (json!(16_000.0), json!(16_000.0));
        family["reportsPerS"] = json!(4_000.0);
    })?;
    (0..ZONES.len()).for_each(|zone| collect(zone, listen, list.clone()));
    let (start, mut replaced, mut memory) = (Instant::now(), Duration::ZERO, Vec::new());
    let (mut core, mut descriptors) = (None, 0);
    while start.elapsed().as_secs_f64() < settle + lasts {
        sleep(Duration::from_millis(250));
        if controller.ended() {
            return Err(Fault::Other(format!("the daemon ended:\n{}", controller.log())));
        }
        if start.elapsed() >= replaced + REPLACE_EVERY {
            replaced += REPLACE_EVERY;
            list.lock().expect("the list").replace();
        }
        let at = start.elapsed().as_secs_f64();
        memory.push((at, controller.resident_kib()));
        descriptors = descriptors.max(controller.descriptors());
        if at >= settle {
            core.get_or_insert((at, controller.core_s()));
        }
    }
    let (from, core_s) = core.unwrap_or_default();
    let settled: Vec<f64> = memory.iter().filter(|row| row.0 >= settle).map(|row| row.1).collect();
    let fifth = settled.len() / 5;
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len().max(1) as f64;
    let counters = controller.asked("counters: ")?;
    let count = |name: &str| figure(&counters, name, 0);
    let figures = Figures {
        proxies: PROXIES,
        hosts: HOSTS,
        seconds: lasts,
        hosts_replaced: list.lock().expect("the list").named - HOSTS,
        resident_kib_first: mean(&settled[..fifth]),
        resident_kib_last: mean(&settled[settled.len() - fifth..]),
        resident_kib_most: settled.iter().copied().fold(0.0, f64::max),
        cores: (controller.core_s() - core_s) / (start.elapsed().as_secs_f64() - from),
        descriptors_most: descriptors,
        timers: count("timers"),
        orders: count("orders"),
        calls: count("calls"),
        probes: count("probes"),
        applied: count("applied"),
        panics: count("panics"),
        probes_unsent: count("probes_unsent"),
        probes_merged: count("probes_merged"),
        replies_lost: count("replies_lost"),
    };
    println!("{counters}");
    println!("{}", serde_json::to_string_pretty(&figures).map_err(|why| Fault::Other(why.to_string()))?);
    if let Some(dir) = &how.out {
        let points = memory.iter().map(|(at, kib)| (*at, kib / 1_024.0)).collect();
        let series = [Series { name: "resident".into(), points }];
        keep(
            dir,
            "resident",
            "Memory of a daemon with 1,600 proxies while hosts are replaced",
            "s",
            "MiB",
            &series,
        )?;
    }
    let grown = figures.resident_kib_last - figures.resident_kib_first;
    // The state kept for each proxy, about 4 KiB, is still growing in the first half minute.
    let most = if how.quick { 4.0 * PROXIES as f64 } else { 1_024.0 };
    let bounds = [
        Bound::under("memory grown from the first fifth to the last, KiB", grown, most),
        Bound::over("answers to marks", figures.applied, PROXIES as f64),
        Bound::over("orders for each host replaced", figures.orders / figures.hosts_replaced as f64, 1.0),
        Bound::under(
            "starts anew and what was not handed on",
            figures.panics + figures.probes_unsent + figures.replies_lost,
            1.0,
        ),
    ];
    close(how, figures, &bounds)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(told: &Value) -> Vec<&str> {
        let rows = told["hosts"].as_array().expect("rows");
        rows.iter()
            .filter(|row| row["health"] == "in_service")
            .filter_map(|row| row["host"].as_str())
            .collect()
    }

    /// A client that is sent only the latest changes, and asks after two of them, never learns of the hosts that left in
    /// between: a daemon on a slow machine went on to steer and probe thousands of them.
    #[test]
    fn who_asks_for_the_list_after_rows_were_let_go_of_is_told_it_whole() {
        let mut list = List::new();
        let known = list.seq;
        list.replace();
        let soon = list.tells(Some(known), "");
        assert_eq!((&soon["whole"], names(&soon).len()), (&json!(false), REPLACED));
        (0..3).for_each(|_| list.replace());
        let late = list.tells(Some(known), "");
        assert_eq!((&late["whole"], names(&late).len()), (&json!(true), HOSTS));
        assert!(!names(&late).contains(&"s-0"));
    }
}
