//! History of what this member did, one JSON line per event, written at once: for tests and audits
//! (`docs/fleet-policy.md`, "Faults, and how they are judged"). Off unless the operator's file configures a path.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use amberarch_accord::{Boot, Digest, Holds, Name, Refusal, RevisionNo, StageNo};
use serde_json::{json, Value};

use crate::clock::machine_ns;

pub struct History {
    who: String,
    boot: Boot,
    file: Mutex<File>,
}

impl History {
    /// Appends to the file.
    ///
    /// # Errors
    /// It can't be written.
    pub fn open(path: &Path, name: &Name, boot: Boot) -> io::Result<History> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(History { who: format!("steward:{name}"), boot, file: Mutex::new(file) })
    }

    /// Writes each line with one call, so that a killed process leaves whole lines. Write errors are ignored: no
    /// decision depends on a history.
    fn write(&self, what: &str, fields: Value) {
        self.write_as(&self.who, what, fields);
    }

    fn write_as(&self, who: &str, what: &str, mut fields: Value) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that the lines of one process are in the order of their times.
        fields["at"] = machine_ns().into();
        fields["who"] = who.into();
        fields["what"] = what.into();
        let _ = file.write_all(format!("{fields}\n").as_bytes());
    }

    pub fn proposed(&self, id: u64, no: RevisionNo, digest: Digest) {
        self.write("proposed", json!({"id": id, "no": no.0, "digest": digest.to_string()}));
    }

    pub fn answered(&self, id: u64, no: RevisionNo, outcome: &Result<StageNo, Refusal>) {
        let (result, winner) = match outcome {
            Ok(_) => ("in_force", None),
            Err(Refusal::Unsure) => ("unsure", None),
            Err(Refusal::Taken { winner, .. }) => ("refused", Some(winner.0)),
            Err(_) => ("refused", None),
        };
        self.write("answered", json!({"id": id, "no": no.0, "outcome": result, "winner": winner}));
    }

    /// Records the policy in force; `until` is by the machine's monotonic clock, ns.
    pub fn holds(&self, stage: StageNo, holds: Holds, until: u64) {
        let held = match holds {
            Holds::Nothing => json!("nothing"),
            Holds::Alone(no) => json!({"alone": {"no": no.0}}),
            Holds::Joint { old, new } => json!({"joint": {"old": old.map(|no| no.0), "new": new.0}}),
        };
        let boot = self.boot.0;
        self.write("holds", json!({"boot": boot, "stage": stage.0, "holds": held, "until": until}));
    }

    pub fn let_go(&self) {
        self.write("let_go", json!({"boot": self.boot.0}));
    }

    /// Records that bytes of an order were written just now; `from` is the machine's monotonic clock before the write,
    /// ns.
    pub fn wrote(&self, stage: StageNo, from: u64) {
        self.write("wrote", json!({"boot": self.boot.0, "stage": stage.0, "from": from}));
    }

    /// Records a grant: the holder may admit this rate above its floor. Floors are recorded for holders of their own.
    pub fn granted(&self, to: &str, tenant: &str, zone: &str, per_s: f64, until: u64) {
        let fields = json!({"to": to, "tenant": tenant, "zone": zone, "per_s": per_s, "until": until});
        self.write("granted", fields);
    }

    /// Records that the holder now uses the grant with that expiry.
    pub fn took(&self, taker: &str, tenant: &str, zone: &str, until: u64) {
        self.write_as(taker, "took", json!({"tenant": tenant, "zone": zone, "until": until}));
    }

    pub fn capacity(&self, zone: &str, per_s: f64) {
        self.write("capacity", json!({"zone": zone, "per_s": per_s}));
    }

    /// `back_within` in ns.
    pub fn guarantee(&self, tenant: &str, zone: &str, per_s: f64, back_within: u64) {
        let fields = json!({"tenant": tenant, "zone": zone, "per_s": per_s, "back_within": back_within});
        self.write("guarantee", fields);
    }
}
