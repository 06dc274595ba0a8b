//! The part of a front: passes inputs to the consensus, carries out its outputs in order, and orders by the stage in force.

use amberarch_accord::{Act, Input, Name, Output, Refusal, Said, StageNo, Wish};
use rand::RngExt;

use super::{Answered, Event, World};
use crate::judge::bounds_of;
use crate::machine::Bounds;

impl World {
    pub(super) fn feed(&mut self, member: usize, input: Input) {
        let machine = &mut self.machines[member];
        let now = machine.local(self.now);
        let Some(accord) = &mut machine.accord else { return };
        let outputs = accord.handle(now, input);
        for output in outputs {
            match &mut self.machines[member].dies_after {
                Some(0) => return self.crash(member),
                Some(left) => *left -= 1,
                None => {}
            }
            self.carry_out(member, output);
        }
        let machine = &mut self.machines[member];
        let Some(accord) = &machine.accord else { return };
        self.judge.check(self.now, member, machine);
        // Rounding: the floating-point clock may reach a time slightly late.
        let due = machine.true_time(accord.due()).max(self.now) + 1e-6;
        if due < machine.tick {
            machine.tick = due;
            let boot = machine.boot;
            self.at(due, Event::Tick { member, boot });
        }
        self.orders(member);
    }

    fn carry_out(&mut self, member: usize, output: Output) {
        let boot = self.machines[member].boot;
        match output {
            Output::Last(lasting) => self.machines[member].last(&lasting),
            Output::Send { to, said } => self.send(member, &to, said),
            Output::Check(revision) => {
                let (no, digest) = (revision.no, revision.digest);
                let checks = self.shape.checks * self.chance.random_range(0.5..=1.0);
                self.at(self.now + checks, Event::Checked { member, boot, no, digest });
            }
            Output::Act { .. } => {}
            Output::Answer { id, outcome } => self.answered(member, id, outcome),
            Output::Gone if self.machines[member].ending == Some(true) => {}
            // The shutdown is complete: the process ends.
            Output::Gone => self.crash(member),
            Output::Log(line) => self.logs.push((self.now, member, line)),
        }
    }

    fn answered(&mut self, by: usize, id: u64, outcome: Result<StageNo, Refusal>) {
        let Some((told, _, wish)) = self.wishes.get(&id) else { return };
        if let (Wish::Revision(revision), false) = (wish, matches!(outcome, Err(Refusal::Unsure))) {
            let stage = outcome.as_ref().ok().copied();
            self.judge.told(self.now, by, revision.no, revision.digest, stage);
        }
        let answered = Answered { told: *told, at: self.now, by, outcome };
        self.answers.insert(id, answered);
    }

    fn send(&mut self, from: usize, to: &Name, said: Said) {
        self.talk.messages[from] += 1;
        if self.weighed {
            // A message that cannot be encoded would be a fault of the simulation; it counts as 0 bytes.
            self.talk.bytes[from] += postcard::to_stdvec(&said).map_or(0, |bytes| bytes.len() as u64);
        }
        let Some(&to) = self.names.get(to) else { return };
        let net = self.shape.net;
        if self.cuts.contains(&(from, to)) || (net.lost > 0.0 && self.chance.random::<f64>() < net.lost) {
            return;
        }
        let mut delay = || self.now + self.chance.random_range(net.delay.0..=net.delay.1);
        let (first, second) = (delay(), delay());
        if net.twice > 0.0 && self.chance.random::<f64>() < net.twice {
            self.at(second, Event::Arrives { from, to, said: said.clone() });
        }
        self.at(first, Event::Arrives { from, to, said });
    }

    /// Updates the set of revisions that the controller orders by, and those that its proxies may still use.
    fn orders(&mut self, member: usize) {
        let until = self.now + self.shape.transit;
        let act = self.act(member);
        let (bounds, stage) = match &act {
            Act::On { stage, .. } => (Some(bounds_of(stage.holds, None)), stage.no),
            Act::Within { stage, .. } => (Some(bounds_of(stage.holds, stage.staged)), stage.no),
            Act::Unknown => (None, StageNo(0)),
        };
        if let Act::On { stage, .. } | Act::Within { stage, .. } = &act {
            self.judge.acts_on(self.now, member, stage);
        }
        let machine = &mut self.machines[member];
        let turns = machine.stage != stage;
        if !matches!(act, Act::On { .. }) && machine.lingers.iter().any(|linger| linger.1 > until) {
            // Deaf proxies confirm nothing while their controller has a lease. After the lease, orders in transit
            // to them end within the linger: the operator guarantees this with that setting.
            machine.lingers.iter_mut().for_each(|linger| linger.1 = linger.1.min(until));
            self.at(until, Event::Gone { member });
        }
        let machine = &mut self.machines[member];
        machine.stage = stage;
        if machine.orders != bounds {
            let before = std::mem::replace(&mut machine.orders, bounds.clone());
            if let Some(bounds) = &bounds {
                self.judge.claim(self.now, member, bounds);
            }
            if let Some(before) = before {
                let deaf = self.machines[member].deaf_proxies && matches!(act, Act::On { .. });
                self.lingers(member, before, if deaf { f64::INFINITY } else { self.shape.transit });
            }
        }
        if turns && stage > StageNo(0) {
            let boot = self.machines[member].boot;
            self.at(self.now + self.shape.transit, Event::Settled { member, boot, stage });
        }
    }

    /// Moves a claim from the controller's orders to its proxies' tables.
    fn lingers(&mut self, member: usize, bounds: Bounds, ms: f64) {
        let until = self.now + ms;
        self.machines[member].lingers.push((bounds, until));
        if until.is_finite() {
            self.at(until, Event::Gone { member });
        }
    }

    /// The controller is down or paused: other controllers bind its proxies.
    pub(super) fn release_proxies(&mut self, member: usize) {
        let until = self.now + self.shape.transit;
        if let Some(orders) = self.machines[member].orders.take() {
            self.lingers(member, orders, self.shape.transit);
        }
        let machine = &mut self.machines[member];
        machine.stage = StageNo(0);
        machine.lingers.iter_mut().for_each(|linger| linger.1 = linger.1.min(until));
        self.at(until, Event::Gone { member });
    }
}
