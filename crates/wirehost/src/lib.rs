//! Adapter from the simulator's line protocol to `amberarch-policy`, for any number of instances.
//!
//! It converts units and names and takes no decisions. Each instance has its own names and its own
//! decision module, and receives its own events only.

mod events;
mod fields;
mod orders;

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

use amberarch_core::{Decide, Event};
use amberarch_facts::Names;
use events::Line;
use fields::Fields;

/// Why serving ended before the end of input.
#[derive(Debug)]
pub enum Fault {
    Malformed { line: u64, what: String },
    Io(io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Malformed { line, what } => write!(f, "line {line}: {what}"),
            Fault::Io(error) => write!(f, "input or output failed: {error}"),
        }
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Fault::Io(error)
    }
}

struct Instance {
    decisions: Box<dyn Decide>,
    names: Names,
    events: Vec<Event>,
}

struct Reader<R> {
    input: R,
    line: u64,
    text: String,
}

impl<R: BufRead> Reader<R> {
    /// Reads the next line; false at the end of input.
    fn next(&mut self) -> Result<bool, Fault> {
        self.text.clear();
        self.line += 1;
        let read = self.input.read_line(&mut self.text);
        let count = read.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => self.fault("expected UTF-8 text".into()),
            _ => Fault::Io(error),
        })?;
        let end = self.text.trim_end_matches(['\n', '\r']).len();
        self.text.truncate(end);
        Ok(count > 0)
    }

    fn fault(&self, what: String) -> Fault {
        Fault::Malformed { line: self.line, what }
    }
}

/// Answers batches until the end of input.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut reader = Reader { input, line: 0, text: String::new() };
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut reply = String::new();
    while reader.next()? {
        let (now, turn) = turn(&reader.text).map_err(|what| reader.fault(what))?;
        read_batch(&mut reader, &mut instances)?;
        reply.clear();
        instances.retain(|who, instance| answer(*who, instance, now, &mut reply));
        reply.push_str(&format!("FINISHED {turn}\n"));
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

fn turn(text: &str) -> Result<(f64, u64), String> {
    let mut fields = Fields::new(text);
    match fields.word() {
        "TURN" => Ok((fields.time("clock")?, fields.number("batch number")?)),
        other => Err(format!("expected TURN, found '{other}'")),
    }
}

fn read_batch<R: BufRead>(
    reader: &mut Reader<R>,
    instances: &mut BTreeMap<u64, Instance>,
) -> Result<(), Fault> {
    loop {
        if !reader.next()? {
            return Err(reader.fault("expected EOF_BATCH, found the end of input".into()));
        }
        let parsed = events::line(&reader.text, |who| {
            instances
                .get_mut(&who)
                .map(|instance| &mut instance.names)
                .ok_or_else(|| format!("expected an enlisted instance, found {who}"))
        });
        match parsed.map_err(|what| reader.fault(what))? {
            Line::End => return Ok(()),
            Line::Enlist { who, decisions } => {
                let instance = Instance { decisions, names: Names::default(), events: Vec::new() };
                instances.insert(who, instance);
            }
            Line::Destroy { who } => {
                instances.remove(&who);
            }
            Line::Event { who, event } => {
                if let Some(instance) = instances.get_mut(&who) {
                    instance.events.push(event);
                }
            }
            Line::List { who, update, rows } => {
                let mut entries = Vec::with_capacity(rows.min(4096));
                for _ in 0..rows {
                    if !reader.next()? {
                        return Err(reader.fault("expected ROW, found the end of input".into()));
                    }
                    if let Some(instance) = instances.get_mut(&who) {
                        let row = events::row(&reader.text, &mut instance.names);
                        entries.push(row.map_err(|what| reader.fault(what))?);
                    }
                }
                if let Some(instance) = instances.get_mut(&who) {
                    instance.events.push(Event::List { update, entries });
                }
            }
        }
    }
}

/// Passes an instance its events, if any, and writes its orders; false if it panicked and is dropped.
fn answer(who: u64, instance: &mut Instance, now: f64, reply: &mut String) -> bool {
    if instance.events.is_empty() {
        return true;
    }
    let events = std::mem::take(&mut instance.events);
    let decisions = &mut instance.decisions;
    match catch_unwind(AssertUnwindSafe(|| decisions.decide(now, &events))) {
        Ok(decided) => {
            for order in &decided {
                orders::write(who, order, &mut instance.names, reply);
            }
            true
        }
        Err(panic) => {
            let text = panic
                .downcast_ref::<String>()
                .cloned()
                .or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()))
                .unwrap_or_else(|| "panicked".into());
            reply.push_str(&format!("FATAL {who} {}\n", text.replace('\n', " ")));
            false
        }
    }
}
