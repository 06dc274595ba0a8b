//! Randomized faults and proposals by seed, followed by a time without faults in which every change in progress has to
//! complete at all members or at none.

use std::collections::BTreeMap;

use amberarch_accord::{Disk, Entry, Kept, MemberChange, Name, Refusal, RevisionNo, Wish};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::{Breach, DiskIs, Late, Net, Shape, World};

/// Maximum duration of a graceful shutdown, ms.
const ENDS_WITHIN: f64 = 500.0;
/// Time by which a process that hangs in its shutdown is killed, ms.
const HANGS_UP_TO: f64 = 10_000.0;

/// Which disks are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loses {
    None,
    /// Disks of fewer than half of the voters at a time, in the committed membership and in every older one that a voter
    /// still uses. If more are lost, the fleet may never have a leader again.
    FewerThanHalf,
    /// Any disks, as long as one voter named in the settings files still has a written disk; otherwise the voters would
    /// found a new fleet. In this case only safety is guaranteed, not that changes complete.
    Any,
}

/// Kinds and rates of the randomized faults. Times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Storm {
    pub lasts: f64,
    /// Mean time between two faults.
    pub faults_every: f64,
    pub proposes_every: f64,
    /// The network without faults.
    pub calm: Net,
    /// Time within which changes have to complete after all faults have ended.
    pub ends_within: f64,
    pub loses: Loses,
    pub changes_members: bool,
    /// Clocks change their rate to 1 % fast or 0.8 % slow at some time; together this is just within a drift of 2 %.
    pub bends_clocks: bool,
    /// Controllers are also shut down gracefully, and some hang in the shutdown.
    pub ends_in_order: bool,
}

impl Storm {
    pub fn of(shape: &Shape) -> Storm {
        Storm {
            lasts: 60_000.0,
            faults_every: 1_500.0,
            proposes_every: 4_000.0,
            calm: shape.net,
            ends_within: Storm::bound(shape),
            loses: Loses::FewerThanHalf,
            changes_members: true,
            bends_clocks: true,
            ends_in_order: true,
        }
    }

    /// Time for several elections, the checks of a revision, and two waits for members that do not answer.
    fn bound(shape: &Shape) -> f64 {
        let silent = shape.length.knows * (1.0 + shape.drift) + shape.slack + shape.linger;
        10.0 * shape.election + shape.check_within + 2.0 * silent + shape.length.acts
    }
}

/// Result of a run with randomized faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Stormed {
    pub faults: BTreeMap<&'static str, u64>,
    pub proposed: u64,
    pub in_force: u64,
    pub refused: u64,
    /// Proposals without a definite answer: the member that was asked went down, or found no leader in time.
    pub unsure: u64,
    /// Time from the end of all faults until all members acted on one stage and no change was in progress, ms.
    pub ended: Result<f64, Late>,
    pub breaches: Vec<Breach>,
    /// For each proposal answered as in force, the time until the answer, ms.
    pub through: Vec<f64>,
    pub steps: u64,
}

/// Runs a simulated fleet with randomized faults.
pub fn storm(world: &mut World, storm: &Storm) -> Stormed {
    let mut chance = {
        use rand::SeedableRng;
        ChaCha8Rng::seed_from_u64(world.chance.next_u64())
    };
    // In one run of five the fleet has to form while faults happen.
    if chance.random::<f64>() < 0.8 {
        let bound = storm.ends_within;
        if let Err(late) = world.run_till("the fleet comes together", bound, World::all_on_one_stage) {
            return summarize(world, BTreeMap::new(), &[], Err(late));
        }
    }
    let ends = world.now() + storm.lasts;
    let mut faults = BTreeMap::new();
    let (mut asked, mut no) = (vec![], 0);
    let after = |chance: &mut ChaCha8Rng, mean: f64| -mean * (1.0 - chance.random::<f64>()).ln();
    let mut fault_at = world.now() + after(&mut chance, storm.faults_every);
    let mut propose_at = world.now() + after(&mut chance, storm.proposes_every);
    while fault_at.min(propose_at) < ends {
        world.run_until(fault_at.min(propose_at));
        if propose_at <= fault_at {
            propose_at = world.now() + after(&mut chance, storm.proposes_every);
            // Some proposals come in pairs, as a retry, or with an old number.
            for _ in 0..chance.random_range(1..=2) {
                no = if chance.random::<f64>() < 0.8 { no + 1 } else { no.max(1) };
                asked.push(world.propose(chance.random_range(0..world.members()), no));
            }
        } else {
            fault_at = world.now() + after(&mut chance, storm.faults_every);
            let fault = inject_fault(world, storm, &mut chance, no);
            *faults.entry(fault).or_default() += 1;
        }
    }
    world.run_until(ends);
    world.heal();
    world.shape.net = storm.calm;
    let ended = world.run_till("one stage everywhere", storm.ends_within, World::all_on_one_stage);
    summarize(world, faults, &asked, ended)
}

fn summarize(
    world: &mut World,
    faults: BTreeMap<&'static str, u64>,
    asked: &[u64],
    ended: Result<f64, Late>,
) -> Stormed {
    world.close();
    let answers: Vec<_> = asked.iter().map(|id| world.answer(*id)).collect();
    let held = answers.iter().flatten().filter(|answer| answer.outcome.is_ok());
    let unsure = |answer: &Option<&crate::Answered>| {
        answer.is_none_or(|answer| answer.outcome == Err(Refusal::Unsure))
    };
    let through: Vec<f64> = held.map(|answer| answer.at - answer.told).collect();
    let unsure = answers.iter().filter(|answer| unsure(answer)).count() as u64;
    Stormed {
        faults,
        proposed: asked.len() as u64,
        in_force: through.len() as u64,
        refused: asked.len() as u64 - through.len() as u64 - unsure,
        unsure,
        ended,
        breaches: world.breaches().to_vec(),
        through,
        steps: world.steps(),
    }
}

fn one(chance: &mut ChaCha8Rng, of: &[usize]) -> Option<usize> {
    of.choose(chance).copied()
}

/// Injects one random fault and returns its name.
fn inject_fault(world: &mut World, storm: &Storm, chance: &mut ChaCha8Rng, no: u64) -> &'static str {
    let all: Vec<usize> = (0..world.members()).collect();
    let (up, down): (Vec<usize>, Vec<usize>) =
        all.iter().partition(|member| world.steward(**member).is_some());
    let any = chance.random_range(0..all.len());
    // Faults and repairs are about equally likely, so that changes can complete in between.
    match chance.random_range(0..if storm.ends_in_order { 30 } else { 24 }) {
        0 | 1 => match one(chance, &up) {
            Some(member) => world.crash(member),
            None => return "nothing",
        },
        2 => match world.chair() {
            Some(chair) => {
                world.crash(chair);
                return "chair crashed";
            }
            None => return "nothing",
        },
        3 | 4 => {
            world.die_after(any, chance.random_range(0..12));
            return "death at an output";
        }
        24 | 25 => match one(chance, &up) {
            Some(member) => {
                world.end_in_order(member, chance.random_range(5.0..ENDS_WITHIN), false);
                return "ended in good order";
            }
            None => return "nothing",
        },
        26 => match world.chair() {
            Some(chair) => {
                world.end_in_order(chair, chance.random_range(5.0..ENDS_WITHIN), false);
                return "chair ended in good order";
            }
            None => return "nothing",
        },
        27 => match one(chance, &up) {
            Some(member) => {
                world.end_in_order(member, chance.random_range(5.0..HANGS_UP_TO), true);
                return "hung at its end";
            }
            None => return "nothing",
        },
        5..=8 | 20 | 21 | 28 | 29 => match one(chance, &down) {
            Some(member) if may_lose(world, storm.loses, member) && chance.random::<f64>() < 0.3 => {
                world.start(member, DiskIs::Empty);
                return "start on an empty disk";
            }
            Some(member) => {
                world.start(member, DiskIs::Kept);
                return "start";
            }
            None => return "nothing",
        },
        9 => {
            world.pause(any, chance.random_range(50.0..10_000.0));
            return "pause";
        }
        10 => match world.chair() {
            Some(chair) => {
                world.pause(chair, chance.random_range(50.0..10_000.0));
                return "chair paused";
            }
            None => return "nothing",
        },
        11 => {
            world.cut(any, chance.random_range(0..all.len()));
            return "cut one way";
        }
        12 => {
            let (mut inside, size) = (all.clone(), chance.random_range(1..=all.len().div_ceil(2)));
            while inside.len() > size {
                inside.swap_remove(chance.random_range(0..inside.len()));
            }
            world.isolate(&inside);
            return "set cut off";
        }
        13 => match world.chair() {
            Some(chair) => {
                world.isolate(&[chair]);
                return "chair cut off";
            }
            None => return "nothing",
        },
        14 | 15 | 22 | 23 => {
            world.mend();
            world.shape.net = storm.calm;
            return "cuts mended";
        }
        16 => {
            let net = &mut world.shape.net;
            net.delay = (0.5, chance.random_range(1.0..300.0));
            (net.lost, net.twice) = (chance.random_range(0.0..0.3), chance.random_range(0.0..0.1));
            return "bad network";
        }
        17 => match chance.random_range(0..if storm.bends_clocks { 4 } else { 3 }) {
            0 => {
                world.set_unusable(any, no + 1);
                return "revision unusable";
            }
            1 => {
                world.set_deaf_proxies(any, chance.random());
                return "proxies deaf or not";
            }
            3 => {
                let rate = *[0.992, 1.0, 1.01].choose(chance).unwrap_or(&1.0);
                world.set_rate(any, rate);
                return if rate > 1.0 { "clock 1 % fast" } else { "clock as fast as others, or slow" };
            }
            _ => {
                world.jump(any, chance.random_range(0.0..20_000.0));
                return "clock jumped";
            }
        },
        18 => {
            let no = RevisionNo(no.saturating_sub(chance.random_range(0..2)));
            world.wish(any, Wish::Withdraw(no));
            return "withdrawal";
        }
        _ if storm.changes_members => {
            change_members(world, any, chance);
            return "other members";
        }
        _ => return "nothing",
    }
    "crash"
}

/// Whether this member's disk may be lost.
fn may_lose(world: &World, loses: Loses, member: usize) -> bool {
    let Some((_, base)) = world.newest() else { return false };
    let machine = |name: &Name| (0..world.members()).find(|machine| world.shape.name(*machine) == *name);
    let kept = |machine: usize| &world.machines[machine].kept;
    let on_known = |(name, known): &(&Name, &Option<Disk>)| {
        known.is_some() && machine(name).is_some_and(|other| other != member && kept(other).disk == **known)
    };
    let most =
        |voters: &BTreeMap<Name, Option<Disk>>| 2 * voters.iter().filter(on_known).count() > voters.len();
    let newest: BTreeMap<Name, Option<Disk>> = base.voters.iter().cloned().collect();
    match loses {
        Loses::None => false,
        Loses::FewerThanHalf => {
            let go_by = newest.keys().filter_map(machine).filter(|other| *other != member);
            most(&newest) && go_by.flat_map(|other| voters_of(kept(other))).all(|voters| most(&voters))
        }
        Loses::Any => {
            let wrote = |other: usize| kept(other).base.is_some() || !kept(other).entries.is_empty();
            let founded = newest.values().all(Option::is_some);
            founded && (0..world.shape.voters).any(|other| other != member && wrote(other))
        }
    }
}

/// The sets of voters on a disk: that of its snapshot, and one after each later change. The member may not know whether
/// a change that it wrote is committed.
fn voters_of(kept: &Kept) -> Vec<BTreeMap<Name, Option<Disk>>> {
    let Some((_, base)) = &kept.base else { return vec![] };
    let mut all = vec![base.voters.iter().cloned().collect::<BTreeMap<_, _>>()];
    for logged in &kept.entries {
        let Entry::Members(change) = &logged.entry else { continue };
        let mut voters = all.last().cloned().unwrap_or_default();
        match change {
            // A new disk counts only once its entry is committed; then it is in a snapshot.
            MemberChange::Votes { name, disk } => drop(voters.entry(name.clone()).or_insert(Some(*disk))),
            MemberChange::Follows { name } | MemberChange::Leaves { name } => drop(voters.remove(name)),
        }
        all.push(voters);
    }
    all
}

/// Requests a membership in which some voters become followers and some followers leave, or the original membership.
fn change_members(world: &mut World, at: usize, chance: &mut ChaCha8Rng) {
    let first = world.shape.voters;
    let mut voters: Vec<usize> = (0..first).collect();
    let mut followers: Vec<usize> = (first..world.members()).collect();
    for _ in 0..chance.random_range(0..=2) {
        if voters.len() > 2 && chance.random() {
            let rests = voters.swap_remove(chance.random_range(0..voters.len()));
            if chance.random() {
                followers.push(rests);
            }
        } else if !followers.is_empty() {
            followers.swap_remove(chance.random_range(0..followers.len()));
        }
    }
    world.want(at, &voters, &followers);
}
