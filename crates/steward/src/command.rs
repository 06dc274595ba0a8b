//! The command line, and the operator's file that it names.

use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use amberarch_operator::Operator;
use clap::{Args, Parser, Subcommand};
use serde_json::json;

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
}

#[derive(Clone, Debug, Default, Args)]
pub struct Run {
    /// The operator's file. Without it, deploy/amberarch.toml is read where it is there.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// Where operators keep their file, from the root that `run` is started in.
const USUAL: &str = "deploy/amberarch.toml";

impl Line {
    pub fn command(self) -> Command {
        self.command.unwrap_or(Command::Run(self.run))
    }
}

impl Run {
    /// What the operator has switched on.
    ///
    /// # Errors
    /// A file that was named and is not there, one that can't be read, or its first fault with its place.
    pub fn operator(&self) -> Result<Operator, String> {
        match &self.operator {
            Some(file) => read(file),
            None => match fs::exists(USUAL) {
                Ok(true) => read(Path::new(USUAL)),
                _ => Ok(Operator::default()),
            },
        }
    }
}

fn read(file: &Path) -> Result<Operator, String> {
    let shown = file.display();
    let text = fs::read_to_string(file).map_err(|why| match why.kind() {
        ErrorKind::InvalidData => format!("{shown}: not UTF-8"),
        _ => format!("{shown}: {why}"),
    })?;
    Operator::parse(&text).map_err(|fault| format!("{shown}:{fault}"))
}

/// Says on standard output what a file switches on, or on standard error what is wrong with it.
pub fn check(file: &Path, as_json: bool) -> ExitCode {
    let found = read(file);
    match (&found, as_json) {
        (Ok(operator), true) => println!("{}", json!({"fine": true, "on": operator.sections()})),
        (Err(why), true) => println!("{}", json!({"fine": false, "fault": why})),
        (Ok(operator), false) if operator.sections().is_empty() => println!("fine, nothing is switched on"),
        (Ok(operator), false) => println!("fine, on: {}", operator.sections().join(", ")),
        (Err(why), false) => eprintln!("amberarch: {why}"),
    }
    if found.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(2)
    }
}
