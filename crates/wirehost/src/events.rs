//! Lines of a batch as events.

use amberarch_core::*;
use amberarch_facts::{Given, Names};
use base64::prelude::{Engine, BASE64_STANDARD};

use crate::fields::Fields;

pub enum Line {
    End,
    Enlist { who: u64, steward: Box<dyn Decide> },
    Destroy { who: u64 },
    List { who: u64, news: ListNews, rows: usize },
    Event { who: u64, event: Event },
}

/// Reads one line of a batch; `names` finds the names of the instance that it concerns.
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
            let steward = Given::from_pairs(f.remaining())?.steward(seed)?;
            return Ok(Line::Enlist { who, steward: Box::new(steward) });
        }
        "DESTROY" => return Ok(Line::Destroy { who }),
        _ => {}
    }
    let names = names(who)?;
    let event = match word {
        "FLEET" => {
            let _version: u64 = f.number("gen")?;
            let news = match f.text("how")? {
                "update" => ListNews::Changes,
                "replace" => ListNews::Whole,
                "restored" => ListNews::Restored,
                "unavailable" => ListNews::Failed,
                other => {
                    return Err(format!("expected update, replace, restored or unavailable, found '{other}'"))
                }
            };
            let rows = f.number("number of entries")?;
            return Ok(Line::List { who, news, rows });
        }
        "TOOK_EFFECT" => Event::Applied {
            proxy: ProxyId(f.number("sidecar")?),
            mark: MarkId(f.number("gen")?),
            took: f.time("costTime")?,
        },
        "OFFERED_LOAD" => Event::Came {
            proxy: ProxyId(f.number("sidecar")?),
            product: ProductId(f.number("tierClass")?),
            txns: f.number("n")?,
            voided: f.number("failed")?,
            over: f.time("covers")?,
        },
        "SUBSCRIBED" => {
            let txns_per_s = f.real("weight")?;
            Event::Joined {
                proxy: ProxyId(f.number("sidecar")?),
                zone: ZoneId(f.number("site")?),
                txns_per_s,
                fresh: f.flag("set")?,
            }
        }
        "TALLY" => Event::Met {
            host: names.id(f.text("host")?),
            over: f.time("covers")?,
            zone: ZoneId(f.number("site")?),
            tries: f.number("n")?,
            mean: f.time("costTime")?,
            voided: f.number("failed")?,
            report: report(f.text("report")?)?,
        },
        "STANDING_LINE" => {
            let weight = f.real("weight")?;
            Event::SliceLine {
                slice: SliceId(f.number("routeTable")?),
                host: names.id(f.text("host")?),
                weight,
            }
        }
        "MAIL" => Event::Peer {
            from: PeerId(f.number("from")?),
            blob: match f.text("blob")? {
                "-" => Vec::new(),
                text => BASE64_STANDARD
                    .decode(text)
                    .map_err(|_| format!("expected base64 for blob, found '{text}'"))?,
            },
        },
        "HANDED" => Event::SliceGiven { slice: SliceId(f.number("routeTable")?), ours: f.flag("set")? },
        "ELAPSED" => Event::Due { timer: TimerId(f.number("ctx")?) },
        "CHECK_RESULT" => {
            let outcome = match f.number::<u8>("result")? {
                0 => Outcome::Errored,
                1 => Outcome::Answered,
                2 => Outcome::Full,
                3 => Outcome::TimedOut,
                4 => Outcome::Unreachable,
                5 => Outcome::Reset,
                _ => Outcome::Unknown,
            };
            Event::Probed {
                outcome,
                host: names.id(f.text("host")?),
                took: f.time("costTime")?,
                report: report(f.text("report")?)?,
            }
        }
        "HOTNESS" => {
            let voided = f.number("failed")?;
            let slice = SliceId(f.number("routeTable")?);
            let over = f.time("covers")?;
            Event::SliceCame {
                slice,
                voided,
                over,
                product: ProductId(f.number("tierClass")?),
                txns: f.number("n")?,
            }
        }
        _ => Event::Left { proxy: ProxyId(f.number("sidecar")?) },
    };
    Ok(Line::Event { who, event })
}

pub fn row(text: &str, names: &mut Names) -> Result<Listed, String> {
    let mut f = Fields::new(text);
    match f.word() {
        "ROW" => {}
        other => return Err(format!("expected ROW, found '{other}'")),
    }
    let weight = f.real("weight")?;
    Ok(Listed {
        weight,
        zone: ZoneId(f.number("site")?),
        pod: PodId(f.number("stripe")?),
        kind: KindId(f.number("type")?),
        host: names.id(f.text("host")?),
        born: f.maybe_time("born")?.filter(|born| *born != 0.0),
        standing: match f.text("availability")? {
            "on" => Standing::On,
            "fading" => Standing::Draining,
            "off" => Standing::Gone,
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
            "inflight" => report.in_hand = Some(value),
            "queue" => report.waiting = Some(value),
            "util" => report.busy = Some(value),
            "latency_ms" => report.service = Some(value),
            _ => {}
        }
    }
    Ok(report)
}
