//! The simulated fleet: members, messages in transit, and true time.

mod front;
mod hands;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use amberarch_accord::{
    Accord, Act, Base, Bug, Digest, Disk, Holds, Input, Name, Place, Refusal, RevisionNo, Said, StageNo,
    Status, Wish,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::judge::Judge;
use crate::machine::Machine;
use crate::{Breach, DiskIs, Shape};

/// Limit of steps without time advancing; more mean an endless loop.
const STEPS_AT_ONCE: u64 = 1_000_000;

enum Event {
    /// Latest end of a process in a graceful shutdown.
    Ends {
        member: usize,
        boot: u64,
    },
    Tick {
        member: usize,
        boot: u64,
    },
    Arrives {
        from: usize,
        to: usize,
        said: Said,
    },
    Checked {
        member: usize,
        boot: u64,
        no: RevisionNo,
        digest: Digest,
    },
    Settled {
        member: usize,
        boot: u64,
        stage: StageNo,
    },
    /// The linger of a member's earlier orders at its proxies has expired.
    Gone {
        member: usize,
    },
    Wakes {
        member: usize,
    },
}

struct At(f64, u64, Event);

impl PartialEq for At {
    fn eq(&self, other: &At) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &At) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// A condition that was not met in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Late {
    pub now: f64,
    pub why: String,
}

/// Counts of the messages between members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Talk {
    /// Messages by sender.
    pub messages: Vec<u64>,
    /// Bytes by sender, in a compact encoding without the overhead of the transport; counted only after
    /// [`World::weigh`].
    pub bytes: Vec<u64>,
}

/// An operator's proposal and its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    pub told: f64,
    pub at: f64,
    pub by: usize,
    pub outcome: Result<StageNo, Refusal>,
}

pub struct World {
    pub shape: Shape,
    seed: u64,
    /// Read only with the feature `seeded-bugs`.
    #[cfg_attr(not(feature = "seeded-bugs"), expect(dead_code))]
    bug: Option<Bug>,
    now: f64,
    steps: u64,
    queue: BinaryHeap<Reverse<At>>,
    sent: u64,
    pub(crate) machines: Vec<Machine>,
    names: BTreeMap<Name, usize>,
    /// Links, from the first to the second member, on which messages are lost.
    cuts: BTreeSet<(usize, usize)>,
    pub(crate) chance: ChaCha8Rng,
    pub(crate) judge: Judge,
    wishes: BTreeMap<u64, (f64, usize, Wish)>,
    answers: BTreeMap<u64, Answered>,
    talk: Talk,
    weighed: bool,
    logs: Vec<(f64, usize, String)>,
}

impl World {
    /// All members start at once, on empty disks.
    pub fn new(seed: u64, shape: Shape) -> World {
        World::of(seed, shape, None)
    }

    /// The same with controllers that contain a deliberate bug.
    #[cfg(feature = "seeded-bugs")]
    pub fn with_bug(seed: u64, shape: Shape, bug: Bug) -> World {
        World::of(seed, shape, Some(bug))
    }

    fn of(seed: u64, shape: Shape, bug: Option<Bug>) -> World {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let machines = (0..shape.members()).map(|member| {
            let rate = 1.0 + chance.random_range(-1.0..=1.0) * shape.wander;
            let offset = chance.random_range(0.0..1e6);
            Machine::new(rate, offset, (member < shape.voters).then_some(Disk(member as u64 + 1)))
        });
        let machines: Vec<Machine> = machines.collect();
        let count = machines.len();
        let mut world = World {
            shape,
            seed,
            bug,
            now: 0.0,
            steps: 0,
            queue: BinaryHeap::new(),
            sent: 0,
            names: (0..count).map(|member| (shape.name(member), member)).collect(),
            machines,
            cuts: BTreeSet::new(),
            chance,
            judge: Judge::default(),
            wishes: BTreeMap::new(),
            answers: BTreeMap::new(),
            talk: Talk { messages: vec![0; count], bytes: vec![0; count] },
            weighed: false,
            logs: vec![],
        };
        (0..count).for_each(|member| world.start(member, DiskIs::Kept));
        world
    }

    /// True time, ms since the start of the simulation.
    pub fn now(&self) -> f64 {
        self.now
    }

    pub fn members(&self) -> usize {
        self.machines.len()
    }

    pub fn breaches(&self) -> &[Breach] {
        &self.judge.breaches
    }

    pub fn steps(&self) -> u64 {
        self.steps
    }

    pub fn steward(&self, member: usize) -> Option<&Accord> {
        self.machines[member].accord.as_ref()
    }

    pub fn status(&self, member: usize) -> Option<Status> {
        let machine = &self.machines[member];
        machine.accord.as_ref().map(|accord| accord.status(machine.local(self.now)))
    }

    /// What a controller may act on now; nothing while it is down or paused.
    pub fn act(&self, member: usize) -> Act {
        let machine = &self.machines[member];
        match &machine.accord {
            Some(accord) if machine.stopped <= self.now => accord.act(machine.local(self.now)),
            _ => Act::Unknown,
        }
    }

    pub fn is_up(&self, member: usize) -> bool {
        self.machines[member].accord.is_some() && self.machines[member].stopped <= self.now
    }

    /// The running leader of the highest term.
    pub fn chair(&self) -> Option<usize> {
        let up = (0..self.members()).filter(|member| self.is_up(*member));
        let chairs = up.filter_map(|member| {
            let (term, chair) = self.steward(member)?.chair();
            (chair == Some(&self.shape.name(member))).then_some((term, member))
        });
        chairs.max().map(|(_, member)| member)
    }

    pub fn answer(&self, id: u64) -> Option<&Answered> {
        self.answers.get(&id)
    }

    /// Log lines of controllers for operators: time, member, text.
    pub fn logs(&self) -> &[(f64, usize, String)] {
        &self.logs
    }

    /// Counts bytes as well from now on.
    pub fn weigh(&mut self) {
        self.weighed = true;
    }

    pub fn talk(&self) -> &Talk {
        &self.talk
    }

    /// The newest committed state that any running member knows.
    pub fn newest(&self) -> Option<(Place, &Base)> {
        self.machines
            .iter()
            .filter_map(|machine| machine.accord.as_ref())
            .map(Accord::standing)
            .max_by_key(|(place, _)| *place)
    }

    /// The state of each member, one line each, for debugging a seed.
    pub fn show(&self) -> String {
        let line = |member: usize| {
            let Some(status) = self.status(member) else { return format!("s{member} down") };
            let chair = status.chair.map_or_else(|| "-".into(), |name| name.to_string());
            let waits: Vec<String> = (status.waits.iter())
                .map(|wait| format!("{}/{:?} {:?} {:.0}", wait.name, wait.boot, wait.what, wait.until))
                .collect();
            format!(
                "s{member} {:?} term {} chair {chair} log {}/{} {:?} refused {:?} waits {waits:?}",
                status.part,
                status.term.0,
                status.stands.0,
                status.last.0,
                self.act(member),
                status.refused
            )
        };
        let newest = self.newest().map(|(_, base)| {
            format!("voters {:?} followers {:?} wanted {:?}", base.voters, base.followers, base.wanted)
        });
        let lines: Vec<String> = (0..self.members()).map(line).chain(newest).collect();
        lines.join("\n")
    }

    fn at(&mut self, at: f64, event: Event) {
        self.sent += 1;
        self.queue.push(Reverse(At(at.max(self.now), self.sent, event)));
    }

    /// Runs the next event. Returns false if there is none.
    pub fn step(&mut self) -> bool {
        let Some(Reverse(At(at, _, event))) = self.queue.pop() else { return false };
        self.now = at;
        self.steps += 1;
        match event {
            Event::Tick { member, boot } => {
                let machine = &mut self.machines[member];
                if machine.boot == boot && machine.tick <= at {
                    machine.tick = f64::INFINITY;
                    if machine.stopped <= at {
                        self.feed(member, Input::Tick);
                    }
                }
            }
            Event::Arrives { from, to, said } => {
                let stopped = self.machines[to].stopped;
                match stopped > at {
                    true => self.at(stopped, Event::Arrives { from, to, said }),
                    false => self.feed(to, Input::Heard { from: self.shape.name(from), said }),
                }
            }
            Event::Checked { member, boot, no, digest } => {
                let machine = &self.machines[member];
                if machine.boot == boot {
                    match machine.stopped > at {
                        true => self.at(machine.stopped, Event::Checked { member, boot, no, digest }),
                        false => {
                            let verdict = machine.checks(no.0);
                            self.feed(member, Input::Checked { no, digest, verdict });
                        }
                    }
                }
            }
            Event::Settled { member, boot, stage } => {
                let machine = &self.machines[member];
                let lingers = machine.lingers.iter().map(|(_, until)| *until).fold(machine.stopped, f64::max);
                if machine.boot == boot && !machine.deaf_proxies {
                    match lingers > at {
                        true => self.at(lingers, Event::Settled { member, boot, stage }),
                        false => self.feed(member, Input::Settled { stage, settled: true }),
                    }
                }
            }
            Event::Gone { member } => {
                let judge = &mut self.judge;
                self.machines[member].lingers.retain(|(bounds, until)| {
                    if *until <= at {
                        judge.release(bounds);
                    }
                    *until > at
                });
            }
            Event::Ends { member, boot } => {
                if self.machines[member].boot == boot {
                    self.crash(member);
                }
            }
            Event::Wakes { member } => {
                if self.machines[member].stopped <= at {
                    self.feed(member, Input::Tick);
                }
            }
        }
        true
    }

    pub fn run_until(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|Reverse(At(at, ..))| *at <= until) {
            self.step();
        }
        self.now = self.now.max(until);
    }

    pub fn run_for(&mut self, ms: f64) {
        self.run_until(self.now + ms);
    }

    /// Runs until the condition is met and returns how long that took, ms. Returns `Late` if it is not met within the
    /// bound.
    pub fn run_till(
        &mut self,
        what: &str,
        within: f64,
        mut so: impl FnMut(&World) -> bool,
    ) -> Result<f64, Late> {
        let (begun, mut steps, mut at) = (self.now, 0, self.now);
        while !so(self) {
            let next = self.queue.peek().map_or(f64::INFINITY, |Reverse(At(at, ..))| *at);
            steps = if self.now > at { 0 } else { steps + 1 };
            at = self.now;
            if next > begun + within || steps > STEPS_AT_ONCE {
                let why = format!("not within {within} ms: {what}");
                return Err(Late { now: self.now, why });
            }
            self.step();
        }
        Ok(self.now - begun)
    }

    /// Whether every running member acts on the same stage, or on none if it cannot use it, and no change is in progress.
    pub fn all_on_one_stage(&self) -> bool {
        let newest = self.judge.newest();
        let under_way = newest.staged.is_some() || matches!(newest.holds, Holds::Joint { .. });
        let Some((_, base)) = self.newest().filter(|_| !under_way) else { return false };
        let stays = |name: &&Name| match &base.wanted {
            Some(wanted) => wanted.voters.iter().chain(&wanted.followers).any(|kept| kept == *name),
            None => true,
        };
        let members = base.voters.iter().map(|(name, _)| name).chain(&base.followers).filter(stays);
        let members = members.filter_map(|name| self.names.get(name)).filter(|member| self.is_up(**member));
        let acts = |member: &usize| {
            let cannot = newest.revisions().any(|no| self.machines[*member].cannot_use.contains(&no.0));
            match self.act(*member) {
                Act::On { stage, .. } => stage == newest,
                _ => cannot,
            }
        };
        let mut count = 0;
        members.inspect(|_| count += 1).all(acts) && count > 0
    }
}
