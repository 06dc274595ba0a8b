//! Service levels in the daemon: builds the ladder of levels from the operator's file, wraps the controller with it, and
//! serves the current level on a unix socket. It makes no decisions itself.

use std::cell::RefCell;
use std::io;
use std::os::unix::fs::FileTypeExt;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use amberarch_core::{ClassId, Decide, ReportSettings, RequestClass, RetryPolicy};
use amberarch_operator::levels as file;
use amberarch_operator::Fault;
use amberarch_service_levels::{Condition, Keep, Ladder, Level, Levelled, ServiceLevels, Signal, Status};
use serde_json::{json, Value};
use slog::{warn, Logger};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::{timeout, Instant};

use crate::desk::Make;

/// The deployment settings that service levels need.
pub struct Facts {
    pub zones: Vec<String>,
    pub products: Vec<(String, RequestClass)>,
    pub sums: ReportSettings,
    /// Whether proxies support levels at all.
    pub taken: bool,
}

/// Builds the ladder that the section describes.
///
/// # Errors
/// The position of the invalid level or of the unknown request class.
pub fn ladder(
    section: &file::Levels,
    products: &[(String, RequestClass)],
    text: &str,
) -> Result<Ladder, Fault> {
    let mut levels = Vec::with_capacity(section.level.len());
    for spanned in &section.level {
        let mut level = Level {
            name: spanned.get_ref().name.clone(),
            keep: Default::default(),
            tries: match spanned.get_ref().tries {
                file::Tries::One => RetryPolicy::One,
                file::Tries::AfterProof => RetryPolicy::AfterProof,
                file::Tries::AfterAny => RetryPolicy::AfterAny,
                file::Tries::TwiceAfterAny => RetryPolicy::TwiceAfterAny,
            },
            enter: spanned
                .get_ref()
                .enter
                .iter()
                .map(|on| condition(on.signal, on.over, on.lasting))
                .collect(),
            leave: spanned
                .get_ref()
                .leave
                .iter()
                .map(|on| condition(on.signal, on.under, on.lasting))
                .collect(),
            stay: spanned.get_ref().stay.as_secs_f64() * 1e3,
            emergency: spanned.get_ref().emergency,
            force: spanned.get_ref().force,
        };
        for (name, keep) in &spanned.get_ref().keep {
            let place = products.iter().position(|(known, _)| known == name.get_ref());
            let place = place.ok_or_else(|| {
                let known: Vec<&str> = products.iter().map(|(name, _)| name.as_str()).collect();
                let what = format!("no product is named {}; there are {}", name.get_ref(), known.join(", "));
                Fault::at(text, name.span().start, what)
            })?;
            let keep = match *keep {
                file::Keep::Least(least) => Keep { least, most: 1.0 },
                file::Keep::Between { least, most } => Keep { least, most },
            };
            level.keep.insert(ClassId(place as u16), keep);
        }
        levels.push(level);
    }
    Ladder::new(levels, products).map_err(|unfit| {
        let at = section.level.get(unfit.level()).map_or(0, |level| level.span().start);
        Fault::at(text, at, unfit.to_string())
    })
}

fn condition(signal: file::Signal, value: f64, lasting: Duration) -> Condition {
    let signal = match signal {
        file::Signal::Pressure => Signal::Pressure,
        file::Signal::Voided => Signal::Voided,
        file::Signal::Late => Signal::Late,
        file::Signal::Out => Signal::Out,
        file::Signal::Unseen => Signal::Unseen,
        file::Signal::Load => Signal::Load,
    };
    Condition { signal, value, lasting: lasting.as_secs_f64() * 1e3 }
}

/// The service levels in force, shared by the controller and the socket.
pub type Shared = Rc<RefCell<ServiceLevels>>;

/// Wraps a controller factory so that service levels are applied before each decision. Every restart of the controller
/// also restarts the search for the level.
pub fn with_ladder(make: Make, ladder: Ladder, acts: bool, facts: &Facts) -> (Make, Shared) {
    let (zones, sums) = (facts.zones.len() as u16, facts.sums.clone());
    let products: Vec<RequestClass> = facts.products.iter().map(|(_, product)| product.clone()).collect();
    let acts = acts && facts.taken;
    let new_levels = move || ServiceLevels::new(ladder.clone(), zones, products.clone(), &sums, acts);
    let shared: Shared = Rc::new(RefCell::new(new_levels()));
    let levels = shared.clone();
    let make = Box::new(move |seed| -> Box<dyn Decide> {
        *levels.borrow_mut() = new_levels();
        Box::new(Levelled::new(make(seed), levels.clone()))
    });
    (make, shared)
}

/// Binds the socket. A stale socket of a former daemon is removed; a file of any other kind is not.
///
/// # Errors
/// Another daemon answers there, a file of another kind is there, or the path can't be written.
pub fn listen(socket: &Path) -> io::Result<UnixListener> {
    if let Ok(there) = std::fs::symlink_metadata(socket) {
        let taken = |what: &str| Err(io::Error::new(io::ErrorKind::AlreadyExists, what));
        if !there.file_type().is_socket() {
            return taken("something that is no socket is there");
        }
        if std::os::unix::net::UnixStream::connect(socket).is_ok() {
            return taken("another daemon answers there");
        }
        std::fs::remove_file(socket)?;
    }
    UnixListener::bind(socket)
}

/// Serves the socket; never returns. The requests `show`, `pin NAME SECONDS` and `unpin` are one line each and are answered
/// with one line of JSON.
pub async fn serve(listener: UnixListener, levels: Shared, facts: Rc<Facts>, start: Instant, log: Logger) {
    /// Connections that are served at a time; further ones wait.
    const AT_ONCE: usize = 8;
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(AT_ONCE));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(why) => {
                warn!(log, "could not accept a connection at the socket of [levels]"; "why" => %why);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let (levels, facts, log) = (levels.clone(), facts.clone(), log.clone());
        tokio::task::spawn_local(async move {
            let _place = place;
            if let Err(why) = answer(stream, &levels, &facts, start).await {
                warn!(log, "a request at the socket of [levels] was not answered"; "why" => %why);
            }
        });
    }
}

/// Serves one request. A line that does not end, or an answer that is not read, in time ends it.
async fn answer(stream: UnixStream, levels: &Shared, facts: &Facts, start: Instant) -> io::Result<()> {
    /// The longest request: room for the longest name of a level.
    const MOST: u64 = 1_024;
    const WITHIN: Duration = Duration::from_secs(2);
    let (reading, mut writing) = stream.into_split();
    let mut line = String::new();
    timeout(WITHIN, BufReader::new(reading.take(MOST)).read_line(&mut line)).await??;
    let now = start.elapsed().as_secs_f64() * 1e3;
    let response = response(line.trim(), now, &mut levels.borrow_mut(), facts);
    timeout(WITHIN, writing.write_all(format!("{response}\n").as_bytes())).await?
}

fn response(question: &str, now: f64, levels: &mut ServiceLevels, facts: &Facts) -> Value {
    let words: Vec<&str> = question.split_whitespace().collect();
    let fault = |why: String| json!({"fault": why});
    match words[..] {
        ["show"] => show(now, &levels.status(), levels.ladder(), facts),
        ["unpin"] => {
            levels.unpin();
            show(now, &levels.status(), levels.ladder(), facts)
        }
        ["pin", name, seconds] => match seconds.parse::<f64>() {
            Ok(seconds) if seconds > 0.0 && seconds <= 86_400.0 => {
                match levels.pin(now, name, now + seconds * 1e3) {
                    Ok(()) => show(now, &levels.status(), levels.ladder(), facts),
                    Err(why) => fault(why),
                }
            }
            _ => fault(format!("a level is pinned for over 0 and at most 86400 seconds, not '{seconds}'")),
        },
        _ => fault(format!("expected show, pin NAME SECONDS or unpin, found '{question}'")),
    }
}

fn show(now: f64, status: &Status, ladder: &Ladder, facts: &Facts) -> Value {
    let seconds = |ms: f64| (ms / 1e3).round() as i64;
    let ago = |at: f64| seconds(now - at);
    let name = |level: usize| &ladder.levels()[level].name;
    let zone_name = |zone: usize| facts.zones.get(zone).map_or("", String::as_str);
    let changes: Vec<Value> = status
        .changes
        .iter()
        .map(|change| {
            json!({"ago_s": ago(change.at), "from": name(change.from), "to": name(change.to), "why": change.why.to_string()})
        })
        .collect();
    let lifts: Vec<String> = status
        .lifts
        .iter()
        .map(|on| format!("{} under {} for {} s in all zones", on.signal, on.value, on.lasting / 1e3))
        .collect();
    let zones: Vec<Value> = status
        .zones
        .iter()
        .filter(|(_, seen)| seen.proxies > 0)
        .map(|(zone, seen)| {
            let signals: serde_json::Map<String, Value> =
                seen.values.iter().map(|(signal, value)| (signal.to_string(), json!(value))).collect();
            let shares: serde_json::Map<String, Value> = status
                .shares
                .range((*zone, ClassId(0))..=(*zone, ClassId(u16::MAX)))
                .filter_map(|((_, id), share)| {
                    Some((facts.products.get(usize::from(id.0))?.0.clone(), json!(share)))
                })
                .collect();
            json!({"zone": zone_name(usize::from(zone.0)), "signals": signals, "shares": shares})
        })
        .collect();
    let pinned =
        status.pinned.as_ref().map(|(name, until)| json!({"level": name, "for_s": seconds(until - now)}));
    json!({
        "level": status.level, "for_s": ago(status.since), "acts": status.acts, "pinned": pinned,
        "lifts": lifts, "zones": zones, "changes": changes,
    })
}

/// Queries a running daemon.
///
/// # Errors
/// Nothing answers at the socket, or not in time.
pub fn ask(socket: &Path, question: &str) -> Result<Value, String> {
    use std::io::{BufRead, Write};
    let fault = |why: io::Error| format!("{}: {why}", socket.display());
    let mut stream = std::os::unix::net::UnixStream::connect(socket).map_err(fault)?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(fault)?;
    writeln!(stream, "{question}").map_err(fault)?;
    let mut line = String::new();
    std::io::BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    serde_json::from_str(&line).map_err(|why| format!("{}: {why}", socket.display()))
}

/// Formats an answer for people.
pub fn format_answer(response: &Value) -> String {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), String::from);
    let mut out = match response["level"].as_str() {
        Some(level) => format!("level {level}, for {} s", response["for_s"]),
        None => "the level in force is not known yet: it is derived from proxy reports".to_string(),
    };
    if response["acts"] == json!(false) {
        out += "; nothing is bounded by it";
    }
    if let Some(pinned) = response["pinned"].as_object() {
        out += &format!("; {} is pinned for {} s more", text(&pinned["level"]), pinned["for_s"]);
    }
    out += "\n";
    let list = |name: &str| response[name].as_array().cloned().unwrap_or_default();
    for on in list("lifts") {
        out += &format!("  lifted by  {}\n", text(&on));
    }
    for zone in list("zones") {
        let pairs = |name: &str| -> String {
            let all = zone[name].as_object().into_iter().flatten();
            let shown = all.map(|(key, value)| format!("{key} {:.2}", value.as_f64().unwrap_or(f64::NAN)));
            shown.collect::<Vec<_>>().join(", ")
        };
        out += &format!(
            "  {:<10} {}\n             lets in {}\n",
            text(&zone["zone"]),
            pairs("signals"),
            pairs("shares")
        );
    }
    for change in list("changes").iter().rev().take(8) {
        let (from, to, why) = (text(&change["from"]), text(&change["to"]), text(&change["why"]));
        out += &format!("  {:>6} s ago {from} -> {to}: {why}\n", change["ago_s"].to_string());
    }
    out
}
