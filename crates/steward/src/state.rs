//! Persistent state: host membership and its snapshots on disk, where the operator's file names a folder for them.

use std::path::Path;
use std::time::Duration;

use amberarch_roster::{self as roster, Roster};
use amberarch_snapshot::{Fault, Held, Store, Writer};
use serde_json::{json, Value};
use slog::{error, info, warn, Logger};

use crate::heard::{Health, Listing, Row};

/// Host membership and the writer of its snapshots.
pub struct HostState {
    pub roster: Roster,
    pub writer: Writer,
}

/// Opens the folder and restores membership from it and from the configuration's host list.
///
/// # Errors
/// Another daemon uses the folder, or it can't be read.
pub fn open(
    folder: &Path,
    every: Duration,
    known: &Listing,
    now: f64,
    log: &Logger,
) -> Result<HostState, String> {
    let (store, held) = Store::open(folder).map_err(|why| format!("[state] folder: {why}"))?;
    if held.spoilt() {
        warn!(log, "some of what was kept is spoilt; the rest is used"; "found" => summary(&held));
    }
    info!(log, "what was kept"; "hosts" => held.members.len(), "generation" => held.generation);
    let mut roster = Roster::new(now);
    // The age of the configuration's list is unknown, so it does not confirm a host.
    let at = now - roster::CONFIRMED_FOR;
    let given = known.hosts.iter().map(|row| {
        let told =
            roster::Told { epoch: 0, seq: known.seq, at, source: roster::Source::Given, row: kept(row) };
        roster::Member::new(row.host.clone(), told)
    });
    roster.restore(held.members.into_values());
    roster.restore(given.collect::<Vec<_>>());
    roster.restore_stand(held.stand);
    let log = log.clone();
    let report = move |said: Result<(), Fault>| match said {
        Ok(()) => info!(log, "state is written again"),
        Err(why) => error!(log, "state can't be written; retrying"; "why" => %why),
    };
    let writer = Writer::start(store, every, report)
        .map_err(|why| format!("[state] could not start the thread of the writer: {why}"))?;
    Ok(HostState { roster, writer })
}

/// Converts a row of the host list into the stored form.
pub fn kept(row: &Row) -> roster::Row {
    roster::Row {
        dial: row.dial.clone(),
        zone: row.site.clone(),
        kind: row.class.clone(),
        pod: row.block,
        weight: row.share,
        born: row.born_ms,
        health: match row.health {
            Health::InService => roster::Health::On,
            Health::Terminating => roster::Health::Draining,
            Health::Terminated => roster::Health::Gone,
        },
    }
}

/// Converts a stored row back into a row of the host list.
pub fn listed(host: String, row: roster::Row) -> Row {
    Row {
        host,
        dial: row.dial,
        site: row.zone,
        class: row.kind,
        block: row.pod,
        health: match row.health {
            roster::Health::On => Health::InService,
            roster::Health::Draining => Health::Terminating,
            roster::Health::Gone => Health::Terminated,
        },
        share: row.weight,
        born_ms: row.born,
    }
}

/// Formats a row as discovery does.
pub fn exported(row: &Row) -> Value {
    let health = match row.health {
        Health::InService => "in_service",
        Health::Terminating => "terminating",
        Health::Terminated => "terminated",
    };
    json!({"host": row.host, "dial": row.dial, "site": row.site, "class": row.class, "block": row.block,
        "health": health, "share": row.share, "born_ms": row.born_ms})
}

fn summary(held: &Held) -> String {
    let each = held.found.iter().map(|found| {
        let how = found.spoilt.map_or("whole".into(), |spoilt| spoilt.to_string());
        format!("{}: {} records, {how}", found.file, found.records)
    });
    each.collect::<Vec<_>>().join("; ")
}

/// The output of `amberarch state show --json`: the hosts in a folder, with the age of each row.
pub fn show(held: &Held, now: f64) -> Value {
    let hosts: Vec<Value> = held.members.values().map(|member| {
        let roster::Told { row, seq, source, .. } = &member.told;
        json!({
            "host": member.host, "health": format!("{:?}", row.health), "zone": row.zone, "dial": row.dial,
            "weight": row.weight, "seq": seq, "told_by": format!("{source:?}"),
            "confirmed_s_ago": ((now - held.stand.confirmed(&member.told)) / 1e3).round() as i64,
            "learnt": member.current().and_then(|seen| seen.learnt).map(|l| json!({"part": l.part, "shut": l.shut})),
        })
    }).collect();
    json!({"generation": held.generation, "hosts": hosts, "spoilt": held.spoilt(), "files": files(held)})
}

/// The state of each file of a folder, in JSON.
pub fn files(held: &Held) -> Vec<Value> {
    let each = held.found.iter().map(|found| {
        json!({"file": found.file, "records": found.records, "good_bytes": found.bytes,
            "spoilt": found.spoilt.map(|spoilt| spoilt.to_string())})
    });
    each.collect()
}
