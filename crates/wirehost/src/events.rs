//! Parses the lines of a batch into events.

use amberarch_core::*;
use amberarch_facts::{Given, Names};
use base64::prelude::{Engine, BASE64_STANDARD};

use crate::fields::Fields;

pub enum Line {
    End,
    Enlist { who: u64, decisions: Box<dyn Decide> },
    Destroy { who: u64 },
    List { who: u64, update: ListUpdate, rows: usize },
    Event { who: u64, event: Event },
}

/// Parses one line of a batch; `names` returns the names of the instance that the line concerns.
pub fn line<'n>(
    text: &str,
    names: impl FnOnce(u64) -> Result<&'n mut Names, String>,
) -> Result<Line, String> {
    let mut f = Fields::new(text);
    let word = f.word();
    if word == "EOF_BATCH" {
        return Ok(Line::End);
    }
    const EVENTS: &[&str] = &[
        "ENLIST",
        "DESTROY",
        "FLEET",
        "TOOK_EFFECT",
        "OFFERED_LOAD",
        "SUBSCRIBED",
        "TALLY",
        "STANDING_LINE",
        "MAIL",
        "HANDED",
        "ELAPSED",
        "CHECK_RESULT",
        "HOTNESS",
        "DISCONNECTED",
    ];
    if !EVENTS.contains(&word) {
        return Err(format!("expected an event or EOF_BATCH, found '{word}'"));
    }
    let who: u64 = f.number("instance")?;
    match word {
        "ENLIST" => {
            let seed = f.number("randomSeed")?;
            let decisions = Given::from_pairs(f.remaining())?.steward(seed)?;
            return Ok(Line::Enlist { who, decisions: Box::new(decisions) });
        }
        "DESTROY" => return Ok(Line::Destroy { who }),
        _ => {}
    }
    let names = names(who)?;
    let event = match word {
        "FLEET" => {
            let _version: u64 = f.number("gen")?;
            let update = match f.text("how")? {
                "update" => ListUpdate::Changes,
                "replace" => ListUpdate::Whole,
                "restored" => ListUpdate::Restored,
                "unavailable" => ListUpdate::Failed,
                other => {
                    return Err(format!("expected update, replace, restored or unavailable, found '{other}'"))
                }
            };
            let rows = f.number("number of entries")?;
            return Ok(Line::List { who, update, rows });
        }
        "TOOK_EFFECT" => Event::MarkApplied {
            proxy: ProxyId(f.number("sidecar")?),
            mark: MarkId(f.number("gen")?),
            duration: f.time("costTime")?,
        },
        "OFFERED_LOAD" => Event::ProxyReport {
            proxy: ProxyId(f.number("sidecar")?),
            class: ClassId(f.number("tierClass")?),
            txns: f.number("n")?,
            failed: f.number("failed")?,
            covered: f.time("covers")?,
        },
        "SUBSCRIBED" => {
            let txns_per_s = f.real("weight")?;
            Event::ProxyJoined {
                proxy: ProxyId(f.number("sidecar")?),
                zone: ZoneId(f.number("site")?),
                txns_per_s,
                without_table: f.flag("set")?,
            }
        }
        "TALLY" => Event::HostReport {
            host: names.id(f.text("host")?),
            covered: f.time("covers")?,
            zone: ZoneId(f.number("site")?),
            tries: f.number("n")?,
            mean_latency: f.time("costTime")?,
            failed: f.number("failed")?,
            load: report(f.text("report")?)?,
        },
        "STANDING_LINE" => {
            let weight = f.real("weight")?;
            Event::SliceEntry {
                slice: SliceId(f.number("routeTable")?),
                host: names.id(f.text("host")?),
                weight,
            }
        }
        "MAIL" => Event::PeerMessage {
            from: PeerId(f.number("from")?),
            payload: match f.text("blob")? {
                "-" => Vec::new(),
                text => BASE64_STANDARD
                    .decode(text)
                    .map_err(|_| format!("expected base64 for blob, found '{text}'"))?,
            },
        },
        "HANDED" => Event::SliceAssigned { slice: SliceId(f.number("routeTable")?), owned: f.flag("set")? },
        "ELAPSED" => Event::TimerExpired { timer: TimerId(f.number("ctx")?) },
        "CHECK_RESULT" => {
            let outcome = match f.number::<u8>("result")? {
                0 => ProbeOutcome::Errored,
                1 => ProbeOutcome::Answered,
                2 => ProbeOutcome::Full,
                3 => ProbeOutcome::TimedOut,
                4 => ProbeOutcome::Unreachable,
                5 => ProbeOutcome::Reset,
                _ => ProbeOutcome::Unknown,
            };
            Event::ProbeResult {
                outcome,
                host: names.id(f.text("host")?),
                duration: f.time("costTime")?,
                load: report(f.text("report")?)?,
            }
        }
        "HOTNESS" => {
            let failed = f.number("failed")?;
            let slice = SliceId(f.number("routeTable")?);
            let covered = f.time("covers")?;
            Event::SliceReport {
                slice,
                failed,
                covered,
                class: ClassId(f.number("tierClass")?),
                txns: f.number("n")?,
            }
        }
        _ => Event::ProxyLeft { proxy: ProxyId(f.number("sidecar")?) },
    };
    Ok(Line::Event { who, event })
}

pub fn row(text: &str, names: &mut Names) -> Result<HostEntry, String> {
    let mut f = Fields::new(text);
    match f.word() {
        "ROW" => {}
        other => return Err(format!("expected ROW, found '{other}'")),
    }
    let weight = f.real("weight")?;
    Ok(HostEntry {
        weight,
        zone: ZoneId(f.number("site")?),
        pod: PodId(f.number("stripe")?),
        instance_type: InstanceTypeId(f.number("type")?),
        host: names.id(f.text("host")?),
        started_at: f.maybe_time("born")?.filter(|born| *born != 0.0),
        availability: match f.text("availability")? {
            "on" => Availability::InService,
            "fading" => Availability::Draining,
            "off" => Availability::Removed,
            other => return Err(format!("expected on, fading or off, found '{other}'")),
        },
    })
}

fn report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    if text == "-" {
        return Ok(report);
    }
    for pair in text.split(',') {
        let bad = || format!("expected name:value in the load report, found '{pair}'");
        let (name, value) = pair.split_once(':').ok_or_else(bad)?;
        let value: f64 = value.parse().map_err(|_| bad())?;
        match name {
            "inflight" => report.in_flight = Some(value),
            "queue" => report.queued = Some(value),
            "util" => report.utilization = Some(value),
            "latency_ms" => report.latency = Some(value),
            _ => {}
        }
    }
    Ok(report)
}
