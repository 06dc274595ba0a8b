//! Actions on the simulated fleet: operators' proposals, and faults.

use std::collections::BTreeSet;

use amberarch_accord::{
    Accord, Act, Digest, Disk, Input, Kept, Length, Refusal, Revision, RevisionNo, Said, Wanted, Wish,
};
use rand::RngExt;

use super::{Event, World};
use crate::machine::Machine;
use crate::DiskIs;

impl World {
    // Actions of operators.

    pub fn revision(no: u64) -> Revision {
        let text = format!("revision {no}");
        Revision { no: RevisionNo(no), digest: Digest::of(&text), text: text.into() }
    }

    pub fn propose(&mut self, at: usize, no: u64) -> u64 {
        self.wish(at, Wish::Revision(World::revision(no)))
    }

    /// Sends a proposal and returns its number. A proposal sent to a controller that is down is never answered.
    pub fn wish(&mut self, at: usize, wish: Wish) -> u64 {
        let id = self.wishes.len() as u64 + 1;
        self.wishes.insert(id, (self.now, at, wish.clone()));
        self.feed(at, Input::Wish { id, wish });
        id
    }

    /// Requests another membership, by member numbers.
    pub fn want(&mut self, at: usize, voters: &[usize], followers: &[usize]) -> u64 {
        let names = |members: &[usize]| members.iter().map(|member| self.shape.name(*member)).collect();
        let wanted = Wanted { voters: names(voters), followers: names(followers) };
        self.wish(at, Wish::Members(wanted))
    }

    /// Starts an additional controller. It knows the initial members and is not one of them.
    pub fn add(&mut self, votes: bool) -> usize {
        let member = self.machines.len();
        let disk = votes.then(|| self.new_disk());
        let rate = 1.0 + self.chance.random_range(-1.0..=1.0) * self.shape.wander;
        self.machines.push(Machine::new(rate, 0.0, disk));
        self.names.insert(self.shape.name(member), member);
        self.talk.messages.push(0);
        self.talk.bytes.push(0);
        self.start(member, DiskIs::Kept);
        member
    }

    fn new_disk(&mut self) -> Disk {
        Disk(self.chance.random())
    }

    /// Ends the run: compares each answer with its actual outcome.
    pub fn close(&mut self) {
        let open: BTreeSet<RevisionNo> = (self.wishes.iter())
            .filter(|(id, _)| {
                let outcome = self.answers.get(id).map(|answer| &answer.outcome);
                outcome.is_none_or(|outcome| matches!(outcome, Ok(_) | Err(Refusal::Unsure)))
            })
            .filter_map(|(_, (_, _, wish))| match wish {
                Wish::Revision(revision) => Some(revision.no),
                _ => None,
            })
            .collect();
        self.judge.close(|no| open.contains(&no));
    }

    // Faults.

    /// Ends the process at once; its disk is kept.
    pub fn crash(&mut self, member: usize) {
        let machine = &mut self.machines[member];
        machine.accord = None;
        (machine.dies_after, machine.ending) = (None, None);
        machine.stopped = 0.0;
        self.release_proxies(member);
    }

    /// SIGTERM: the controller stops ordering, announces that it releases its lease, and is killed after this many ms
    /// unless it has ended by itself. With `hangs` it does not end by itself.
    pub fn end_in_order(&mut self, member: usize, within: f64, hangs: bool) {
        self.machines[member].ending = Some(hangs);
        let boot = self.machines[member].boot;
        self.at(self.now + within, Event::Ends { member, boot });
        self.feed(member, Input::LetGo);
    }

    /// Crashes the controller after this many further outputs: before or after a write, or between two messages.
    pub fn die_after(&mut self, member: usize, outputs: u64) {
        self.machines[member].dies_after = Some(outputs);
    }

    pub fn start(&mut self, member: usize, disk: DiskIs) {
        if self.machines[member].accord.is_some() {
            return;
        }
        if disk == DiskIs::Empty && self.machines[member].kept.disk.is_some() {
            let disk = Some(self.new_disk());
            self.machines[member].kept = Kept { disk, ..Kept::default() };
            self.machines[member].written.clear();
        }
        if let (DiskIs::Copy, Some(copy)) = (disk, self.machines[member].copy.clone()) {
            self.machines[member].kept = copy;
        }
        let (now, boot, seed) = (self.now, self.chance.random(), self.seed.wrapping_add(member as u64));
        let machine = &mut self.machines[member];
        let mut facts = self.shape.facts(member, boot, machine.kept.disk, seed);
        facts.length = machine.length.unwrap_or(facts.length);
        if member >= self.shape.members() {
            facts.followers.push(facts.me.clone());
        }
        machine.boot = boot;
        machine.tick = f64::INFINITY;
        match Accord::new(machine.local(now), facts, machine.kept.clone()) {
            #[cfg(feature = "seeded-bugs")]
            Ok(accord) if self.bug.is_some() => {
                machine.accord = self.bug.map(|bug| accord.with_bug(bug));
            }
            Ok(accord) => machine.accord = Some(accord),
            Err(unfit) => return self.logs.push((now, member, format!("{unfit}; {}", unfit.advice()))),
        }
        self.feed(member, Input::Tick);
    }

    /// From its next start on, its settings file has lease lengths that differ from the others', or the same again.
    pub fn set_length(&mut self, member: usize, length: Option<Length>) {
        self.machines[member].length = length;
    }

    /// Saves a copy of the disk, which may be restored later.
    pub fn copy_disk(&mut self, member: usize) {
        self.machines[member].copy = Some(self.machines[member].kept.clone());
    }

    /// SIGSTOP, and SIGCONT this many ms later.
    pub fn pause(&mut self, member: usize, ms: f64) {
        if self.machines[member].accord.is_none() {
            return;
        }
        let until = self.now + ms;
        self.machines[member].stopped = until.max(self.machines[member].stopped);
        self.release_proxies(member);
        self.at(until, Event::Wakes { member });
    }

    /// Moves a clock ahead by this many ms.
    pub fn jump(&mut self, member: usize, ms: f64) {
        self.machines[member].offset += ms;
        self.feed(member, Input::Tick);
    }

    pub fn set_rate(&mut self, member: usize, rate: f64) {
        let machine = &mut self.machines[member];
        machine.offset += (machine.rate - rate) * self.now;
        machine.rate = rate;
    }

    pub fn set_unusable(&mut self, member: usize, no: u64) {
        self.machines[member].cannot_use.insert(no);
    }

    pub fn set_deaf_proxies(&mut self, member: usize, deaf: bool) {
        self.machines[member].deaf_proxies = deaf;
        if let (false, Some(accord)) = (deaf, &self.machines[member].accord) {
            let (stage, boot) =
                (accord.status(self.machines[member].local(self.now)).act, self.machines[member].boot);
            for linger in &mut self.machines[member].lingers {
                linger.1 = linger.1.min(self.now + self.shape.transit);
            }
            self.at(self.now + self.shape.transit, Event::Gone { member });
            if let Act::On { stage, .. } | Act::Within { stage, .. } = stage {
                self.at(self.now + self.shape.transit, Event::Settled { member, boot, stage: stage.no });
            }
        }
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub fn cut_both(&mut self, one: usize, other: usize) {
        self.cuts.extend([(one, other), (other, one)]);
    }

    /// Cuts the links between these members and the others in both directions.
    pub fn isolate(&mut self, members: &[usize]) {
        for inside in members {
            for outside in (0..self.members()).filter(|other| !members.contains(other)) {
                self.cut_both(*inside, outside);
            }
        }
    }

    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    /// Ends all faults: cuts, losses and pauses; members that are down restart with their disks.
    pub fn heal(&mut self) {
        self.mend();
        (self.shape.net.lost, self.shape.net.twice) = (0.0, 0.0);
        for member in 0..self.members() {
            self.machines[member].dies_after = None;
            if self.machines[member].ending.is_some() {
                self.crash(member);
            }
            self.set_deaf_proxies(member, false);
            if self.machines[member].stopped > self.now {
                self.machines[member].stopped = self.now;
                self.feed(member, Input::Tick);
            }
            self.start(member, DiskIs::Kept);
        }
    }

    /// Injects a forged message with that member as its sender.
    pub fn inject(&mut self, from: usize, to: usize, said: Said) {
        self.at(self.now, Event::Arrives { from, to, said });
    }
}
