//! The command line and its subcommands, and loading of the operator's file.

use std::collections::BTreeSet;
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use amberarch_core::{ClassId, DedupScope, Idempotency, RequestClass};
use amberarch_operator::{Fault, Operator};
use amberarch_residency::Facts;
use amberarch_service_levels::Ladder;
use amberarch_snapshot::Store;
use clap::{Args, Parser, Subcommand, ValueEnum};
use serde_json::json;

use crate::fleet::CompileContext;
use crate::policy::Policy;
use crate::{config, fleet, levels, state};

/// Directs traffic for a fleet of sidecar proxies. Without a command it runs.
#[derive(Debug, Parser)]
#[command(name = "amberarch", version, args_conflicts_with_subcommands = true)]
pub struct Line {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the steward that GW_CONFIG describes, until a signal ends it.
    Run(Run),
    /// Reads an operator's file and says what it switches on, or the place of its first fault.
    Check {
        /// The operator's file.
        file: PathBuf,
        /// Answers in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Looks at a folder that [state] keeps.
    State {
        act: Act,
        /// The folder.
        folder: PathBuf,
        /// Answers in JSON.
        #[arg(long)]
        json: bool,
    },
    /// Asks a running daemon about its levels of reduced service.
    Levels {
        #[command(subcommand)]
        question: Option<Question>,
        #[command(flatten)]
        asked: Asked,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Act {
    /// Which hosts it holds, with the age of each row.
    Show,
    /// Whether each file is whole; exit code 1 where one is not.
    Verify,
    /// Writes all that can be read as a new generation; no daemon may use the folder meanwhile.
    Repair,
    /// The rows as discovery tells them, in JSON.
    Export,
}

/// Where a running daemon answers.
#[derive(Clone, Debug, Args)]
pub struct Asked {
    /// The socket, where it is not the one that the operator's file names.
    #[arg(long, global = true)]
    socket: Option<PathBuf>,
    /// The operator's file; without it, deploy/amberarch.toml.
    #[arg(long, global = true, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Answers in JSON.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Subcommand)]
pub enum Question {
    /// What is in force, since when, why, and what would lift it.
    Show,
    /// Holds a level for a time; deeper emergencies go before it.
    Pin {
        name: String,
        /// For how long, as 10m or 90s; a day at the most.
        #[arg(long = "for", value_name = "TIME", value_parser = humantime::parse_duration)]
        lasting: Duration,
    },
    /// Ends a pin.
    Unpin,
}

#[derive(Clone, Debug, Default, Args)]
pub struct Run {
    /// The operator's file. Without it, deploy/amberarch.toml is read where it is there.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// The default path of the operator's file, relative to the working directory.
const USUAL: &str = "deploy/amberarch.toml";

impl Line {
    pub fn command(self) -> Command {
        self.command.unwrap_or(Command::Run(self.run))
    }
}

impl Run {
    /// Loads the operator's file: the named one, or the default one if it exists.
    ///
    /// # Errors
    /// A named file is missing, the file can't be read, or it has a fault, which is reported with its position.
    pub fn operator(&self) -> Result<Read, String> {
        match &self.operator {
            Some(file) => read(file),
            None => match fs::exists(USUAL) {
                Ok(true) => read(Path::new(USUAL)),
                _ => Ok(Read::default()),
            },
        }
    }
}

/// A parsed operator's file, and its text, in which later faults have their positions.
#[derive(Default)]
pub struct Read {
    pub operator: Operator,
    file: PathBuf,
    text: String,
}

impl Read {
    /// The service levels of `[levels]`, if the file has this section.
    ///
    /// # Errors
    /// The file's name and the position of the fault.
    pub fn ladder(&self, products: &[(String, RequestClass)]) -> Result<Option<Ladder>, String> {
        let Some(section) = &self.operator.levels else { return Ok(None) };
        let ladder = levels::ladder(section, products, &self.text);
        ladder.map(Some).map_err(|fault| format!("{}:{fault}", self.file.display()))
    }

    /// The zones and request classes that a fleet policy may refer to, if the file has `[fleet]`.
    ///
    /// # Errors
    /// The file's name and the position of the fault: an unknown request class, or no member that matches this daemon.
    pub fn governs(
        &self,
        zones: &[String],
        products: &[String],
        name: &str,
    ) -> Result<Option<Facts>, String> {
        let Some(section) = &self.operator.fleet else { return Ok(None) };
        let at = |fault: Fault| format!("{}:{fault}", self.file.display());
        if section.name.is_none() {
            let own = section.own(name, section.id.span());
            own.map_err(|(span, what)| at(Fault::at(&self.text, span.start, what)))?;
        }
        fleet::facts(section, zones, products, &self.text).map(Some).map_err(at)
    }
}

fn read(file: &Path) -> Result<Read, String> {
    let shown = file.display();
    let text = fs::read_to_string(file).map_err(|why| match why.kind() {
        ErrorKind::InvalidData => format!("{shown}: not UTF-8"),
        _ => format!("{shown}: {why}"),
    })?;
    let operator = Operator::parse(&text).map_err(|fault| format!("{shown}:{fault}"))?;
    Ok(Read { operator, file: file.to_path_buf(), text })
}

/// The request classes of the deployment that GW_CONFIG describes, and whether they are known. Without GW_CONFIG, those that
/// the operator's file names, with default properties.
fn products(read: &Read) -> Result<(Vec<(String, RequestClass)>, bool), String> {
    if std::env::var_os("GW_CONFIG").is_some() {
        return Ok((config::read()?.level_facts()?.products, true));
    }
    let levels = read.operator.levels.iter().flat_map(|levels| &levels.level);
    let names: BTreeSet<String> =
        levels.flat_map(|level| level.get_ref().keep.keys()).map(|name| name.get_ref().clone()).collect();
    let unknown = RequestClass {
        latency_target: 1_000.0,
        deadline: 1_000.0,
        idempotency: Idempotency::Idempotent,
        scope: DedupScope::All,
        dedup_window: 0.0,
        value: 1.0,
        late_value_fraction: 0.0,
        home_zone_only: false,
        writes: false,
    };
    Ok((names.into_iter().map(|name| (name, unknown.clone())).collect(), false))
}

/// Queries a running daemon about its levels and prints the answer.
pub fn levels(question: Option<Question>, asked: &Asked) -> ExitCode {
    let socket = match (&asked.socket, Run { operator: asked.operator.clone() }.operator()) {
        (Some(socket), _) => Ok(socket.clone()),
        (None, Err(why)) => Err(why),
        (None, Ok(read)) => read.operator.levels.and_then(|levels| levels.socket).ok_or_else(|| {
            "the operator's file names no socket in [levels]; name one with --socket".to_string()
        }),
    };
    let question = match question.unwrap_or(Question::Show) {
        Question::Show => "show".to_string(),
        Question::Unpin => "unpin".to_string(),
        Question::Pin { name, lasting } => format!("pin {name} {}", lasting.as_secs_f64()),
    };
    let said = socket.and_then(|socket| levels::ask(&socket, &question));
    let said = said.and_then(|said| match said.get("fault").and_then(serde_json::Value::as_str) {
        Some(why) => Err(why.to_string()),
        None => Ok(said),
    });
    match said {
        Ok(said) if asked.json => println!("{said}"),
        Ok(said) => print!("{}", levels::format_answer(&said)),
        Err(why) => {
            eprintln!("amberarch: {why}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}

/// The configuration that GW_CONFIG names, if it is set.
fn deployment() -> Result<Option<config::Config>, String> {
    match std::env::var_os("GW_CONFIG").is_some() {
        true => config::read().map(Some),
        false => Ok(None),
    }
}

fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

/// Checks a policy file and returns its revision. Without a deployment only its syntax is checked.
fn check_policy(file: &Path, context: Option<&CompileContext>) -> Result<u64, String> {
    let shown = file.display();
    let text = fs::read_to_string(file).map_err(|why| format!("{shown}: {why}"))?;
    let no = match context {
        Some(context) => fleet::fit(&text, context, None, unix_ms()).map(|fit| fit.no),
        None => Policy::parse(&text).map(|policy| *policy.revision.get_ref()),
    };
    no.map_err(|fault| format!("{shown}:{fault}"))
}

/// Checks `[fleet]` and the policy file that it names; its path is relative to the working directory.
fn check_fleet(read: &Read) -> Result<(), String> {
    let Some(section) = &read.operator.fleet else { return Ok(()) };
    let levels = read.operator.levels.iter().flat_map(|levels| &levels.level);
    let levels = levels.map(|level| level.get_ref().name.clone()).collect();
    let context = match deployment()? {
        Some(config) => read
            .governs(&config.labels.zones, &config.labels.products, &config.name)?
            .map(|facts| CompileContext::of(section, facts, config.labels.proxies, levels)),
        None => None,
    };
    check_policy(section.policy.get_ref(), context.as_ref()).map(|_| ())
}

/// Checks a policy file alone. As no `[fleet]` names the governed request classes, all of the deployment may be governed.
fn check_policy_alone(file: &Path, as_json: bool) -> ExitCode {
    let found = deployment().and_then(|config| {
        let context = config.map(|config| {
            let govern = (0..config.labels.products.len() as u16).map(ClassId).collect();
            let facts = Facts { zones: config.labels.zones, products: config.labels.products, govern };
            CompileContext::alone(facts, config.labels.proxies)
        });
        Ok((check_policy(file, context.as_ref())?, context.is_some()))
    });
    match (&found, as_json) {
        (Ok((revision, known)), true) => {
            println!("{}", json!({"fine": true, "revision": revision, "products_known": known}));
        }
        (Err(why), true) => println!("{}", json!({"fine": false, "fault": why})),
        (Ok((revision, known)), false) => {
            println!("fine, revision {revision}");
            if !known {
                println!("names are checked where GW_CONFIG names the deployment's configuration");
            }
        }
        (Err(why), false) => eprintln!("amberarch: {why}"),
    }
    ExitCode::from(if found.is_ok() { 0 } else { 2 })
}

/// Prints the sections that a file enables, or its first fault on standard error.
pub fn check(file: &Path, as_json: bool) -> ExitCode {
    if fs::read_to_string(file).is_ok_and(|text| Policy::is_meant(&text)) {
        return check_policy_alone(file, as_json);
    }
    let found = read(file).and_then(|read| {
        let (products, known) = products(&read)?;
        read.ladder(&products)?;
        check_fleet(&read)?;
        Ok((read.operator, known))
    });
    match (&found, as_json) {
        (Ok((operator, known)), true) => {
            println!("{}", json!({"fine": true, "on": operator.sections(), "products_known": known}));
        }
        (Err(why), true) => println!("{}", json!({"fine": false, "fault": why})),
        (Ok((operator, _)), false) if operator.sections().is_empty() => {
            println!("fine, nothing is switched on");
        }
        (Ok((operator, known)), false) => {
            println!("fine, on: {}", operator.sections().join(", "));
            if (operator.levels.is_some() || operator.fleet.is_some()) && !known {
                println!("products are checked where GW_CONFIG names the deployment's configuration");
            }
        }
        (Err(why), false) => eprintln!("amberarch: {why}"),
    }
    if found.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}

/// Inspects or repairs a folder of `[state]`.
pub fn state(act: Act, folder: &Path, as_json: bool) -> ExitCode {
    let now = unix_ms();
    let held = match act {
        Act::Repair => Store::open(folder).and_then(|(mut store, held)| {
            store.keep(now, vec![], held.stand)?;
            Ok(held)
        }),
        Act::Show | Act::Verify | Act::Export => amberarch_snapshot::load(folder),
    };
    let held = match held {
        Ok(held) => held,
        Err(why) => {
            eprintln!("amberarch: {why}");
            return ExitCode::from(2);
        }
    };
    let files = || {
        for found in &held.found {
            let how = found.spoilt.map_or("whole".into(), |spoilt| spoilt.to_string());
            println!(
                "{:<12} {:>8} records, {:>10} good bytes, {how}",
                found.file, found.records, found.bytes
            );
        }
    };
    match (act, as_json) {
        (Act::Export, _) => {
            let rows = held.members.values().map(|member| (member.host.clone(), member.told.row.clone()));
            let rows: Vec<_> = rows.map(|(host, row)| state::exported(&state::listed(host, row))).collect();
            let seq = held.members.values().map(|member| member.told.seq).max().unwrap_or(0);
            println!("{}", json!({"seq": seq, "whole": true, "hosts": rows}));
        }
        (Act::Show, true) => println!("{}", state::show(&held, now)),
        (Act::Verify | Act::Repair, true) => {
            println!(
                "{}",
                json!({"whole": !held.spoilt(), "hosts": held.members.len(), "files": state::files(&held)})
            );
        }
        (Act::Show, false) => {
            println!("{} hosts, generation {}", held.members.len(), held.generation);
            for member in held.members.values() {
                let (row, age) = (&member.told.row, (now - held.stand.confirmed(&member.told)) / 1e3);
                let learnt = member.current().and_then(|seen| seen.learnt);
                let learnt = learnt.map_or(String::new(), |l| {
                    format!(", carried {:.2}{}", l.part, if l.shut { ", shut out" } else { "" })
                });
                let health = format!("{:?}", row.health);
                println!(
                    "{:<24} {health:<9} {:<10} {:<22} {age:>9.0} s ago{learnt}",
                    member.host, row.zone, row.dial
                );
            }
        }
        (Act::Verify, false) => files(),
        (Act::Repair, false) => {
            files();
            println!("{} hosts are in a new generation", held.members.len());
        }
    }
    match act == Act::Verify && held.spoilt() {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
