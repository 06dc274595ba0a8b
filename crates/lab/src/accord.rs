//! Consensus on one revision, in virtual time: how long a change takes, the message rate at rest, and randomized faults
//! by seed that are checked at each step. Only the replay of a long log is timed on this machine.

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use amberarch_accord::{Accord, Holds, Input, Length, RevisionNo};
use amberarch_worlds::figures::{behind, changes, long_log, rest, Down, Rate};
use amberarch_worlds::{begin, explore, small_plans, storm, Late, Shape, SmallPlan, Storm, Ways, World};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::chart::{keep, Series};
use crate::{close, Bound, Fault, How};

/// Numbers of voters and followers.
const FLEETS: [(usize, usize); 4] = [(3, 0), (5, 0), (3, 47), (3, 497)];
/// The longest wait for a change that an operator accepts without turning to something else, ms.
const MOST_ALL_UP: f64 = 1_000.0;
/// Longest change beyond the lease and the linger of the controller that is down, ms.
const MOST_OVER: f64 = 1_000.0;
const REVISIONS: u64 = 100_000;
/// Number of exhaustive explorations in a quick run; a full run does all of them.
const EXPLORATIONS_QUICK: usize = 3;
/// An exploration that has to be complete has fewer states than this; the largest has 664,902.
const MOST_STATES: usize = 1_000_000;
/// Time limit for all explorations, s, also on a shared machine: the whole run has to end within a quarter of an hour.
const MOST_EXPLORING_S: f64 = 600.0;
/// Number of explorations at once: the machines that this is meant for have four cores.
const THREADS: usize = 4;
/// A longer start would have the effect of a controller that is down, ms.
const MOST_REPLAY: f64 = 5_000.0;

#[derive(Serialize)]
struct Change {
    voters: usize,
    followers: usize,
    down: &'static str,
    /// How long a lease states what may be in force.
    knows_ms: f64,
    changes: u64,
    p50_ms: f64,
    p99_ms: f64,
    most_ms: f64,
}

#[derive(Serialize)]
struct Says {
    voters: usize,
    followers: usize,
    /// Messages and bytes per second.
    chair: (f64, f64),
    voter: (f64, f64),
    follower: (f64, f64),
}

#[derive(Serialize)]
struct Replay {
    revisions: u64,
    entries: usize,
    read_ms: f64,
    stands_ms: f64,
    /// Bytes sent to a voter that has none of the log, and the size of the log itself.
    base_bytes: usize,
    log_bytes: usize,
}

#[derive(Clone, Copy, Serialize, Default)]
struct Storms {
    storms: u64,
    proposed: u64,
    in_force: u64,
    refused: u64,
    unsure: u64,
    faults: u64,
    breaches: u64,
    /// Runs that did not converge on one stage within the bound after all faults had ended.
    unended: u64,
    /// A seed that reproduces a failure, if there was one.
    failing: Option<u64>,
}

fn late(why: Late) -> Fault {
    Fault::Other(format!("at {:.0} ms of virtual time: {}", why.now, why.why))
}

fn change(
    seed: u64,
    (voters, followers): (usize, usize),
    down: Down,
    knows_ms: f64,
    count: u64,
) -> Result<Change, Fault> {
    let mut shape = Shape::of(voters, followers);
    shape.length.knows = knows_ms;
    // In tenths of a ms, up to a minute; a longer time would be cut to that.
    let mut all =
        Histogram::<u64>::new_with_bounds(1, 600_000, 3).map_err(|why| Fault::Other(why.to_string()))?;
    changes(seed, shape, down, count)
        .map_err(late)?
        .into_iter()
        .for_each(|took| all.saturating_record((took * 10.0).round() as u64));
    let ms = |part| all.value_at_quantile(part) as f64 / 10.0;
    let (p50_ms, p99_ms, most_ms) = (ms(0.5), ms(0.99), ms(1.0));
    let down = match down {
        Down::Nobody => "all up",
        Down::Heard => "one down that heard of it",
        Down::Unheard => "one down that did not",
    };
    Ok(Change { voters, followers, down, knows_ms, changes: all.len(), p50_ms, p99_ms, most_ms })
}

fn says(seed: u64, (voters, followers): (usize, usize), seconds: f64) -> Result<Says, Fault> {
    let all = rest(seed, Shape::of(voters, followers), seconds).map_err(late)?;
    let pair = |rate: Rate| (rate.messages, rate.bytes);
    let (chair, voter, follower) = (pair(all.chair), pair(all.voter), pair(all.follower));
    Ok(Says { voters, followers, chair, voter, follower })
}

fn replay() -> Result<Replay, Fault> {
    let (facts, kept) = long_log(REVISIONS);
    let entries = kept.entries.len();
    let (base_bytes, log_bytes) = behind(REVISIONS, &kept.entries);
    let began = Instant::now();
    let mut accord = Accord::new(0.0, facts, kept).map_err(|why| Fault::Other(why.to_string()))?;
    let read_ms = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    accord.handle(2_000.0, Input::Tick);
    let stands_ms = began.elapsed().as_secs_f64() * 1e3;
    if accord.standing().1.stage.holds != Holds::Alone(RevisionNo(REVISIONS)) {
        return Err(Fault::Other("a start on a long log does not stand on its last revision".into()));
    }
    Ok(Replay { revisions: REVISIONS, entries, read_ms, stands_ms, base_bytes, log_bytes })
}

impl Storms {
    fn feed(mut self, seed: u64) -> Storms {
        let shape = Shape::by_turns(seed);
        let went = storm(&mut World::new(seed, shape), &Storm::of(&shape));
        if !went.breaches.is_empty() || went.ended.is_err() {
            self.failing = Some(seed);
        }
        self.storms += 1;
        self.proposed += went.proposed;
        self.in_force += went.in_force;
        self.refused += went.refused;
        self.unsure += went.unsure;
        self.faults += went.faults.values().sum::<u64>();
        self.breaches += went.breaches.len() as u64;
        self.unended += u64::from(went.ended.is_err());
        self
    }

    fn with(self, other: Storms) -> Storms {
        Storms {
            storms: self.storms + other.storms,
            proposed: self.proposed + other.proposed,
            in_force: self.in_force + other.in_force,
            refused: self.refused + other.refused,
            unsure: self.unsure + other.unsure,
            faults: self.faults + other.faults,
            breaches: self.breaches + other.breaches,
            unended: self.unended + other.unended,
            failing: self.failing.or(other.failing),
        }
    }
}

/// Each thread takes every n-th seed, with n the number of threads, so that all threads get all sizes.
fn storms(from: u64, count: u64) -> Result<Storms, Fault> {
    // Sizes repeat every four seeds: an odd number of threads gives each thread every size.
    let hands = thread::available_parallelism().map_or(1, usize::from) | 1;
    thread::scope(|scope| {
        let work =
            |hand| (from..from + count).skip(hand).step_by(hands).fold(Storms::default(), Storms::feed);
        let hands: Vec<_> = (0..hands).map(|hand| scope.spawn(move || work(hand))).collect();
        hands.into_iter().try_fold(Storms::default(), |sum, hand| {
            let part = hand.join().map_err(|_| Fault::Other("a storm panicked".into()))?;
            Ok(sum.with(part))
        })
    })
}

#[derive(Serialize)]
struct Explored {
    what: &'static str,
    states: usize,
    /// Number of choices that lead to the deepest state.
    depth: usize,
    whole: bool,
    /// Limit on the states that are explored; with none the exploration has to be complete.
    most: Option<usize>,
    breach: bool,
    s: f64,
}

/// Runs the exhaustive explorations; returns them and the time that all of them took, s.
fn small_worlds(quick: bool) -> Result<(Vec<Explored>, f64), Fault> {
    let (begun, _) = begin(None).map_err(late)?;
    let began = Instant::now();
    let plans: Vec<_> = small_plans()
        .into_iter()
        .take(if quick { EXPLORATIONS_QUICK } else { usize::MAX })
        .enumerate()
        .collect();
    let next = Mutex::new(plans.into_iter());
    let explored = Mutex::new(vec![]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let taken = next.lock().unwrap_or_else(PoisonError::into_inner).next();
                let Some((place, SmallPlan { what, plan, most })) = taken else { return };
                let mut small = begun.clone();
                small.left = plan;
                let (began, went) = (Instant::now(), explore(&small, Ways::ALL, most.unwrap_or(MOST_STATES)));
                let s = began.elapsed().as_secs_f64();
                let (states, depth, whole) = (went.states, went.depth, went.whole);
                let one = Explored { what, states, depth, whole, most, breach: went.breach.is_some(), s };
                explored.lock().unwrap_or_else(PoisonError::into_inner).push((place, one));
            });
        }
    });
    let mut explored = explored.into_inner().unwrap_or_else(PoisonError::into_inner);
    explored.sort_by_key(|(place, _)| *place);
    let explored: Vec<Explored> = explored.into_iter().map(|(_, one)| one).collect();
    for Explored { what, states, depth, whole, s, .. } in &explored {
        println!("small world, {what}: {states} states to {depth} choices, whole: {whole}, {s:.2} s");
    }
    Ok((explored, began.elapsed().as_secs_f64()))
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let mut says_all = Vec::new();
    for fleet in FLEETS {
        let says = says(how.seed, fleet, if how.quick { 10.0 } else { 60.0 })?;
        let Says { voters, followers, chair, voter, follower } = &says;
        println!(
            "at rest {voters}+{followers}: messages and bytes a second: chair {:.1} {:.0}, voter {:.1} {:.0}, follower {:.1} {:.0}",
            chair.0, chair.1, voter.0, voter.1, follower.0, follower.1
        );
        says_all.push(says);
    }
    let mut all = Vec::new();
    for fleet in FLEETS {
        let length = Shape::of(3, 0).length;
        for (down, knows) in [
            (Down::Nobody, length.knows),
            (Down::Heard, length.knows),
            (Down::Unheard, length.knows),
            (Down::Unheard, length.acts),
        ] {
            let count = match (how.quick, fleet.1 > 100) {
                (true, true) => 4,
                (true, false) => 20,
                (false, true) => 20,
                (false, false) => 100,
            };
            let change = change(how.seed, fleet, down, knows, count)?;
            let Change { voters, followers, down, changes, p50_ms, p99_ms, most_ms, .. } = &change;
            println!("{changes} changes {voters}+{followers} {down}, knows {knows} ms: p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms, most {most_ms:.1} ms");
            all.push(change);
        }
    }
    let replay = replay()?;
    let Replay { revisions, entries, read_ms, stands_ms, base_bytes, log_bytes } = &replay;
    println!("replay of {revisions} revisions ({entries} entries): read {read_ms:.1} ms, stands {stands_ms:.1} ms; for one behind: {base_bytes} bytes, not {log_bytes}");
    let storms = storms(how.seed * 1_000_000, if how.quick { 200 } else { 10_000 })?;
    let Storms { storms: count, proposed, in_force, faults, breaches, unended, .. } = &storms;
    println!(
        "{count} storms, {faults} faults, {proposed} proposed, {in_force} in force, {breaches} breaches, {unended} not ended"
    );
    if let Some(seed) = storms.failing {
        println!("seed {seed} fails");
    }
    let (small, exploring) = small_worlds(how.quick)?;
    let Length { acts, knows } = Shape::of(3, 0).length;
    if let Some(dir) = &how.out {
        let line = |name: &str, down: &str, knows: f64, of: fn(&Change) -> f64| Series {
            name: name.into(),
            points: all
                .iter()
                .filter(|change| change.down == down && change.knows_ms == knows)
                .map(|change| ((change.voters + change.followers) as f64, of(change)))
                .collect(),
        };
        let series = [
            line("all up, p50", "all up", knows, |change| change.p50_ms),
            line("all up, p99", "all up", knows, |change| change.p99_ms),
            line("one down, p50", "one down that heard of it", knows, |change| change.p50_ms),
            line("one down, p99", "one down that heard of it", knows, |change| change.p99_ms),
            line("one down unheard, p50", "one down that did not", knows, |change| change.p50_ms),
            line("one down unheard, p99", "one down that did not", knows, |change| change.p99_ms),
            line("one down unheard, knows as long as acts, p99", "one down that did not", acts, |change| {
                change.p99_ms
            }),
        ];
        let worlds: Vec<Series> = (small.iter())
            .map(|one| Series { name: one.what.into(), points: vec![(one.states as f64, one.s)] })
            .collect();
        keep(dir, "accord-worlds", "Small worlds explored", "states", "s", &worlds)?;
        keep(dir, "accord", "From a proposal until it is in force, simulated", "members", "ms", &series)?;
    }
    let most = |down, knows| {
        let these = all.iter().filter(|change| change.down == down && change.knows_ms == knows);
        these.map(|change| change.p99_ms).fold(0.0, f64::max)
    };
    let one_down = acts + Shape::of(3, 0).linger + MOST_OVER;
    let bounds = [
        Bound::under("ms to in force with all up, the largest p99", most("all up", knows), MOST_ALL_UP),
        Bound::under("ms to in force with one down", most("one down that heard of it", knows), one_down),
        Bound::under(
            "ms with one down that did not hear, knows as acts",
            most("one down that did not", acts),
            one_down,
        ),
        Bound::under("breaches in small worlds", small.iter().filter(|one| one.breach).count() as f64, 0.5),
        Bound::under(
            "small worlds not whole that are to be",
            small.iter().filter(|one| !one.whole && one.most.is_none()).count() as f64,
            0.5,
        ),
        Bound::under("s to explore them", exploring, MOST_EXPLORING_S),
        Bound::under("ms to replay a long log", replay.read_ms + replay.stands_ms, MOST_REPLAY),
        Bound::under("breaches in storms", storms.breaches as f64, 0.5),
        Bound::under("storms that did not end in one stage", storms.unended as f64, 0.5),
        Bound::over("part of proposals in force", storms.in_force as f64 / storms.proposed as f64, 0.1),
    ];
    let figures = serde_json::json!({"rest": says_all, "changes": all, "replay": replay, "storms": storms, "small": small});
    close(how, figures, &bounds)
}
