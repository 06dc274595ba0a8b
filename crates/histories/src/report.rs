//! The verdicts of all checks over one history.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::{
    Answers, Everywhere, Exclude, Grants, Guarantees, Late, Line, OnceOnly, Reach, Reader, Register, Spoilt,
    What,
};

/// The rules that a history is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Proposals, their answers and what controllers hold are consistent with one order of changes.
    Register,
    /// No two controllers act under revisions that exclude each other.
    Exclude,
    /// After faults end, all controllers hold the same revision.
    Everywhere,
    /// Hosts serve, and tables allow, only what the revisions permit.
    Reach,
    /// The sum of grants never exceeds the capacity.
    Grants,
    /// A tenant gets its guaranteed rate back in time.
    Guarantee,
    /// A non-idempotent txn is served at most once.
    OnceOnly,
    /// Each txn has one final answer.
    Answers,
    /// No proxy may send to a host for longer than the grace after the drain notice.
    Drains,
    /// No proxy is without a usable host for too long while its controller lists one as ready.
    NoHost,
    /// No cold host is sent more than it survives.
    ColdLoad,
    /// A restarted controller is ready in time.
    Ready,
    /// A controller's relay receives no call after the controller's end.
    AfterEnd,
    /// A call was written after its lease had ended. Counted separately; the documentation of [`crate::Late`]
    /// says why such calls cannot be excluded.
    Late,
}

impl Rule {
    /// The rules that [`Judge`] checks. [`crate::Drains`], [`crate::NoHost`], [`crate::ColdLoad`], [`crate::Readiness`]
    /// and [`crate::CallsAfterEnd`] are separate checks with their own bounds.
    pub const ALL: [Rule; 9] = [
        Rule::Register,
        Rule::Exclude,
        Rule::Everywhere,
        Rule::Reach,
        Rule::Grants,
        Rule::Guarantee,
        Rule::OnceOnly,
        Rule::Answers,
        Rule::Late,
    ];

    fn name(self) -> &'static str {
        match self {
            Rule::Register => "register",
            Rule::Exclude => "exclude",
            Rule::Everywhere => "everywhere",
            Rule::Reach => "reach",
            Rule::Grants => "grants",
            Rule::Guarantee => "guarantee",
            Rule::OnceOnly => "once only",
            Rule::Answers => "answers",
            Rule::Drains => "drains",
            Rule::NoHost => "no host",
            Rule::ColdLoad => "cold load",
            Rule::Ready => "ready",
            Rule::AfterEnd => "after the end",
            Rule::Late => "late calls",
        }
    }
}

/// A violation of a rule, with the lines that prove it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// When the violation became visible, ns.
    pub at: u64,
    pub says: String,
    pub witness: Vec<Line>,
}

/// The result of one check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// Number of violations beyond those that are kept.
    pub more: u64,
    /// Number of cases examined; 0 means that the history has no evidence on this rule.
    pub looked: u64,
    /// Number of cases that could not be judged.
    pub open: u64,
}

/// Maximum number of violations kept for each check, so that a history full of violations does not fill the
/// memory.
const MAX_VIOLATIONS: usize = 200;

impl Verdict {
    pub(crate) fn found(&mut self, rule: Rule, at: u64, says: String, witness: Vec<Line>) {
        match self.violations.len() < MAX_VIOLATIONS {
            true => self.violations.push(Violation { rule, at, says, witness }),
            false => self.more += 1,
        }
    }

    pub fn count(&self) -> u64 {
        self.violations.len() as u64 + self.more
    }
}

/// Time limits that the system under test has to keep; ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the end of faults, or from a proposal if there are no faults, until all controllers hold the same
    /// revision.
    pub everywhere: f64,
    /// From a proxy's choice of a host until the host starts to serve, or until a table that is no longer
    /// permitted is replaced.
    pub transit: f64,
    /// The longest time that a client waits. A txn requested less than this before the end may have no
    /// answer.
    pub answer: f64,
    /// Until the lease holder that issues grants has received a new capacity.
    pub heard: f64,
    /// The longest time that a grant may be in force.
    pub runs_out: f64,
    /// Guarantees are checked during faults too.
    pub guarantees_in_faults: bool,
}

impl Default for Bounds {
    fn default() -> Bounds {
        // Leases in the fault-injection harness last 1 s and its clients time out after 2 s; slower systems
        // set larger bounds.
        Bounds {
            everywhere: 10_000.0,
            transit: 100.0,
            answer: 5_000.0,
            heard: 0.0,
            runs_out: 5_000.0,
            guarantees_in_faults: false,
        }
    }
}

pub(crate) fn ns(ms: f64) -> u64 {
    (ms * 1e6) as u64
}

/// The verdicts of all checks over one history; printed for people, serialized as JSON for programs.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub events: u64,
    pub half_lines: u64,
    /// Number of lines by kind.
    pub kinds: BTreeMap<&'static str, u64>,
    pub verdicts: BTreeMap<Rule, Verdict>,
}

impl Report {
    /// Whether no rule is violated. Late calls are not violations.
    pub fn clean(&self) -> bool {
        self.violations() == 0
    }

    /// Number of violations, not counting late calls.
    pub fn violations(&self) -> u64 {
        self.verdicts.iter().filter(|(rule, _)| **rule != Rule::Late).map(|(_, of)| of.count()).sum()
    }

    pub fn late_calls(&self) -> u64 {
        self.found(Rule::Late)
    }

    pub fn found(&self, rule: Rule) -> u64 {
        self.verdicts.get(&rule).map_or(0, Verdict::count)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} events, {} incomplete lines, {} violations",
            self.events,
            self.half_lines,
            self.violations()
        )?;
        for (rule, of) in &self.verdicts {
            let (name, looked, open) = (rule.name(), of.looked, of.open);
            writeln!(f, "  {name:<11} found {:>4} in {looked} cases, {open} not judged", of.count())?;
        }
        /// Violations printed for each rule; the JSON report has all that were kept.
        const SHOWN_PER_RULE: usize = 3;
        for violation in self.verdicts.values().flat_map(|of| of.violations.iter().take(SHOWN_PER_RULE)) {
            writeln!(
                f,
                "{}: at {:.3} ms: {}",
                violation.rule.name(),
                violation.at as f64 / 1e6,
                violation.says
            )?;
            for line in &violation.witness {
                writeln!(f, "    {}", serde_json::to_string(line).unwrap_or_default())?;
            }
        }
        Ok(())
    }
}

/// Runs all checks of [`Rule::ALL`] over one history.
pub struct Judge {
    events: u64,
    kinds: [u64; KINDS.len()],
    register: Register,
    exclude: Exclude,
    everywhere: Everywhere,
    reach: Reach,
    grants: Grants,
    guarantees: Guarantees,
    once: OnceOnly,
    answers: Answers,
    late: Late,
}

impl Judge {
    pub fn new(bounds: &Bounds) -> Judge {
        Judge {
            events: 0,
            kinds: [0; KINDS.len()],
            register: Register::default(),
            exclude: Exclude::default(),
            everywhere: Everywhere::new(bounds.everywhere),
            reach: Reach::new(bounds.transit),
            grants: Grants::new(bounds.heard, bounds.runs_out),
            guarantees: Guarantees::new(bounds.guarantees_in_faults),
            once: OnceOnly::default(),
            answers: Answers::new(bounds.answer),
            late: Late::default(),
        }
    }

    /// Lines have to come in the order of `at`, as [`Reader`] gives them.
    pub fn feed(&mut self, line: &Line) {
        self.events += 1;
        self.kinds[kind(&line.what).0] += 1;
        self.register.feed(line);
        self.exclude.feed(line);
        self.everywhere.feed(line);
        self.reach.feed(line);
        self.grants.feed(line);
        self.guarantees.feed(line);
        self.once.feed(line);
        self.answers.feed(line);
        self.late.feed(line);
    }

    pub fn finish(self, half_lines: u64) -> Report {
        let verdicts = [
            (Rule::Register, self.register.finish()),
            (Rule::Exclude, self.exclude.finish()),
            (Rule::Everywhere, self.everywhere.finish()),
            (Rule::Reach, self.reach.finish()),
            (Rule::Grants, self.grants.finish()),
            (Rule::Guarantee, self.guarantees.finish()),
            (Rule::OnceOnly, self.once.finish()),
            (Rule::Answers, self.answers.finish()),
            (Rule::Late, self.late.finish()),
        ];
        let kinds = KINDS.iter().zip(self.kinds).filter(|(_, count)| *count > 0);
        Report {
            events: self.events,
            half_lines,
            kinds: kinds.map(|(name, count)| (*name, count)).collect(),
            verdicts: verdicts.into(),
        }
    }
}

const KINDS: [&str; 28] = [
    "revision",
    "proposed",
    "answered",
    "holds",
    "let_go",
    "wrote",
    "tables",
    "asked",
    "served",
    "final",
    "granted",
    "capacity",
    "guarantee",
    "took",
    "died",
    "fault",
    "healed",
    "list_told",
    "limits_wait",
    "joined",
    "left",
    "may_send",
    "started",
    "ready",
    "called",
    "offered",
    "host_started",
    "start_told",
];

/// The index in `KINDS` and the name.
fn kind(what: &What) -> (usize, &'static str) {
    let place = match what {
        What::Revision { .. } => 0,
        What::Proposed { .. } => 1,
        What::Answered { .. } => 2,
        What::Holds { .. } => 3,
        What::LetGo { .. } => 4,
        What::Wrote { .. } => 5,
        What::Tables { .. } => 6,
        What::Asked { .. } => 7,
        What::Served { .. } => 8,
        What::Final { .. } => 9,
        What::Granted { .. } => 10,
        What::Capacity { .. } => 11,
        What::Guarantee { .. } => 12,
        What::Took { .. } => 13,
        What::Died => 14,
        What::Fault { .. } => 15,
        What::Healed => 16,
        What::ListTold { .. } => 17,
        What::LimitsWait { .. } => 18,
        What::Joined { .. } => 19,
        What::Left => 20,
        What::MaySend { .. } => 21,
        What::Started => 22,
        What::Ready => 23,
        What::Called => 24,
        What::Offered { .. } => 25,
        What::HostStarted { .. } => 26,
        What::StartTold { .. } => 27,
    };
    (place, KINDS[place])
}

/// Checks lines, which have to be in the order of `at`.
pub fn judge(lines: impl IntoIterator<Item = Line>, bounds: &Bounds) -> Report {
    let mut judge = Judge::new(bounds);
    lines.into_iter().for_each(|line| judge.feed(&line));
    judge.finish(0)
}

/// Checks files while reading them; stops at the first unreadable line.
pub fn judge_files(paths: &[impl AsRef<Path>], bounds: &Bounds) -> Result<Report, Spoilt> {
    let mut reader = Reader::open(paths)?;
    let mut judge = Judge::new(bounds);
    for line in &mut reader {
        judge.feed(&line?);
    }
    Ok(judge.finish(reader.half_lines()))
}
