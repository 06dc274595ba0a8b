//! The verdicts of all checks over one history.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::{
    Answers, Everywhere, Exclude, Grants, Guarantees, Late, Line, OnceOnly, Reach, Reader, Register, Spoilt,
    What,
};

/// What has to be so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Proposals, their answers and what stewards hold fit one order of changes.
    Register,
    /// No two stewards act under revisions that exclude each other.
    Exclude,
    /// Once faults end, every steward holds the same.
    Everywhere,
    /// Hosts serve, and tables allow, only what is permitted.
    Reach,
    /// Grants never add up to more than there is.
    Grants,
    /// A tenant gets its guarantee back in time.
    Guarantee,
    /// A once-only txn is served once at the most.
    OnceOnly,
    /// Each txn has one final answer.
    Answers,
    /// A proxy may send to a host for longer than the grace after the notice of its drain.
    Drains,
    /// A proxy has no host to pick for too long while its controller lists one as ready.
    NoHost,
    /// A controller that was started again is ready too late.
    Ready,
    /// A controller's relay got a call after the controller's end.
    AfterEnd,
    /// A call was written after its lease was over. Counted apart: the note says why it can't be excluded.
    Late,
}

impl Rule {
    /// Those that [`Judge`] looks at. [`crate::Drains`], [`crate::NoHost`], [`crate::Readiness`] and
    /// [`crate::CallsAfterEnd`] are checks of their own, with bounds of their own.
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
            Rule::Ready => "ready",
            Rule::AfterEnd => "after the end",
            Rule::Late => "late calls",
        }
    }
}

/// What was found, with the lines that prove it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// When it showed, ns.
    pub at: u64,
    pub says: String,
    pub witness: Vec<Line>,
}

/// What a check has to say at the end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    /// Found beyond those that are kept.
    pub more: u64,
    /// How many cases were looked at; none: the history says nothing on this.
    pub looked: u64,
    /// Cases that could not be judged.
    pub open: u64,
}

/// A fleet that is wrong everywhere must not fill the memory with witnesses.
const KEPT: usize = 200;

impl Verdict {
    pub(crate) fn found(&mut self, rule: Rule, at: u64, says: String, witness: Vec<Line>) {
        match self.violations.len() < KEPT {
            true => self.violations.push(Violation { rule, at, says, witness }),
            false => self.more += 1,
        }
    }

    pub fn count(&self) -> u64 {
        self.violations.len() as u64 + self.more
    }
}

/// What the caller promises; ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From the end of faults, or from a proposal without any, until all stewards hold the same.
    pub everywhere: f64,
    /// From a proxy's choice of a host until the host begins to serve, or until a table that no longer holds is
    /// replaced.
    pub transit: f64,
    /// The longest time that a client waits; a txn asked in the last so many ms may have no answer.
    pub answer: f64,
    /// Until the one who grants has heard of a new capacity.
    pub heard: f64,
    /// The longest that a grant may be in force.
    pub runs_out: f64,
    /// Guarantees count while faults last too.
    pub guarantees_in_faults: bool,
}

impl Default for Bounds {
    fn default() -> Bounds {
        // The rig's leases last 1 s and its clients give up after 2 s; what runs slower says so.
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

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub events: u64,
    pub half_lines: u64,
    /// Lines of each kind.
    pub kinds: BTreeMap<&'static str, u64>,
    pub verdicts: BTreeMap<Rule, Verdict>,
}

impl Report {
    /// No rule is broken. Late calls are no breach.
    pub fn clean(&self) -> bool {
        self.violations() == 0
    }

    /// All breaches found, late calls apart.
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
            "{} events, {} half lines, {} breaches",
            self.events,
            self.half_lines,
            self.violations()
        )?;
        for (rule, of) in &self.verdicts {
            let (name, looked, open) = (rule.name(), of.looked, of.open);
            writeln!(f, "  {name:<11} found {:>4} in {looked} cases, {open} not judged", of.count())?;
        }
        /// Enough to see what is wrong; the whole stands in the JSON.
        const SHOWN: usize = 3;
        for violation in self.verdicts.values().flat_map(|of| of.violations.iter().take(SHOWN)) {
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

/// All checks at once over one history.
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

const KINDS: [&str; 25] = [
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
];

/// The place among the kinds, and its name.
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
    };
    (place, KINDS[place])
}

/// Judges lines that come in the order of `at`.
pub fn judge(lines: impl IntoIterator<Item = Line>, bounds: &Bounds) -> Report {
    let mut judge = Judge::new(bounds);
    lines.into_iter().for_each(|line| judge.feed(&line));
    judge.finish(0)
}

/// Judges files as they are read; what is spoilt ends it.
pub fn judge_files(paths: &[impl AsRef<Path>], bounds: &Bounds) -> Result<Report, Spoilt> {
    let mut reader = Reader::open(paths)?;
    let mut judge = Judge::new(bounds);
    for line in &mut reader {
        judge.feed(&line?);
    }
    Ok(judge.finish(reader.half_lines()))
}
