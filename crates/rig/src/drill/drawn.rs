//! Random drills: each seed gives a different deployment and overlapping faults.

use amberarch_core::Channel;
use amberarch_histories::HostState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    CallFault, DrillPlan, FailedCalls, ListChange, ListHeld, LostMarks, Move, Settings, Silence, SilenceEnds,
    SilentCalls, Stopped, Unreachable,
};

/// No fault begins before this time, ms, so that all proxies join and are bound first.
pub(super) const CALM: u64 = 2_500;
/// Time that the drill runs after the last fault, ms: somewhat more than the longest grace.
const AFTER: u64 = 9_000;
/// Minimum fraction of hosts that stay in service.
const MIN_READY_FRACTION: f64 = 0.5;

impl DrillPlan {
    /// The plan of a seed, with faults over `faults` ms.
    pub fn drawn(seed: u64, faults: u64) -> DrillPlan {
        let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
        let settings = draw.settings(seed);
        let until = CALM + faults;
        let changes = draw.changes(settings.hosts, until);
        let silences = draw.silences(until);
        let unreachable = draw.unreachable(&settings, &silences, until);
        let (lost_marks, moves) = (draw.lost_marks(until), draw.moves(settings.proxies, until));
        let (failed_calls, stopped) = (draw.failed_calls(until), draw.stopped(until));
        let list_held = draw.list_held(until);
        let lasts = until + AFTER;
        DrillPlan {
            settings,
            changes,
            silences,
            unreachable,
            host_restarts: vec![],
            requests: None,
            lost_marks,
            moves,
            failed_calls,
            stopped,
            list_held,
            actions: vec![],
            crowds: vec![],
            lasts,
        }
    }
}

struct Draw(ChaCha8Rng);

impl Draw {
    fn settings(&mut self, seed: u64) -> Settings {
        let proxies = self.0.random_range(20..140);
        let lines_per_s = f64::from(proxies) * self.0.random_range(20.0..40.0);
        let backlog_ms = self.0.random_range(1_000.0..2_600.0);
        let typical_transit = self.0.random_range(100.0..300.0);
        let channel = Channel {
            lines_per_s,
            message_overhead: self.0.random_range(3..8u32).into(),
            max_backlog: lines_per_s * backlog_ms / 1e3,
            max_messages: 30,
            message_window: 10_000.0,
            typical_transit,
            max_transit: 2.5 * typical_transit,
        };
        let zones = self.0.random_range(1..5);
        Settings {
            zones: (0..zones).map(|zone| format!("zone-{zone}")).collect(),
            hosts: zones * self.0.random_range(4..12usize),
            proxies,
            requests_per_s: self.0.random_range(0.5..4.0),
            channel,
            drain_grace: backlog_ms + self.0.random_range(1_300.0..1_800.0),
            standing: self.0.random_range(3..8),
            failing: vec![],
            seed,
        }
    }

    fn changes(&mut self, hosts: usize, until: u64) -> Vec<ListChange> {
        use HostState::{Draining, Gone, Ready};
        let (mut states, mut changes, mut at) = (vec![Ready; hosts], Vec::new(), CALM);
        while at < until {
            let mut changed = Vec::new();
            for _ in 0..self.0.random_range(1..4) {
                let host = self.0.random_range(0..hosts);
                let ready = states.iter().filter(|state| **state == Ready).count();
                let next = match states[host] {
                    Ready if (ready as f64) <= MIN_READY_FRACTION * hosts as f64 => continue,
                    Ready if self.0.random_bool(0.8) => Draining,
                    Draining if self.0.random_bool(0.5) => Gone,
                    Ready => Gone,
                    Draining | Gone => Ready,
                };
                states[host] = next;
                changed.retain(|(other, _)| *other != host);
                changed.push((host, next));
            }
            changes.push(ListChange { at, hosts: changed });
            at += self.0.random_range(300..2_500);
        }
        changes
    }

    fn silences(&mut self, until: u64) -> Vec<Silence> {
        let (mut silences, mut at) = (Vec::new(), CALM);
        loop {
            let from = at + self.0.random_range(300..4_000);
            let ends = from + self.0.random_range(100..6_000);
            if ends >= until {
                return silences;
            }
            let calls = [SilentCalls::CarriedOut, SilentCalls::Lost, SilentCalls::InTurn];
            let calls = calls[self.0.random_range(0..calls.len())];
            let how = if self.0.random_bool(0.5) { SilenceEnds::Reset } else { SilenceEnds::Resume };
            silences.push(Silence { from, until: ends, calls, ends: how });
            at = ends;
        }
    }

    /// Half of the silences are partitions of a zone, in which the hosts of all other zones are unreachable.
    fn unreachable(&mut self, settings: &Settings, silences: &[Silence], until: u64) -> Vec<Unreachable> {
        let mut spans = Vec::new();
        for silence in silences {
            if self.0.random_bool(0.5) {
                let others = (0..settings.hosts).filter(|host| host % settings.zones.len() != 0);
                spans.push(Unreachable { from: silence.from, until: silence.until, hosts: others.collect() });
            }
        }
        let from = self.0.random_range(CALM..until);
        let some = (0..settings.hosts).filter(|_| self.0.random_bool(0.15)).collect();
        spans.push(Unreachable { from, until: until.min(from + 3_000), hosts: some });
        spans
    }

    fn lost_marks(&mut self, until: u64) -> Vec<LostMarks> {
        let from = self.0.random_range(CALM..until);
        vec![LostMarks { from, until: until.min(from + self.0.random_range(500..5_000)) }]
    }

    /// A period that begins during the fault phase; its duration is drawn from `lasts`, in ms.
    fn span(&mut self, until: u64, lasts: std::ops::Range<u64>) -> (u64, u64) {
        let from = self.0.random_range(CALM..until);
        (from, until.min(from + self.0.random_range(lasts)))
    }

    fn failed_calls(&mut self, until: u64) -> Vec<FailedCalls> {
        let hows = [
            CallFault::Reset { carried_out: true },
            CallFault::Reset { carried_out: false },
            CallFault::HalfAnswered,
            CallFault::Garbled,
            CallFault::Late,
            CallFault::Busy,
        ];
        let how = hows[self.0.random_range(0..hows.len())];
        let (from, until) = self.span(until, 100..2_500);
        vec![FailedCalls { from, until, how }]
    }

    fn stopped(&mut self, until: u64) -> Vec<Stopped> {
        let (from, until) = self.span(until, 50..1_000);
        vec![Stopped { from, until }]
    }

    fn list_held(&mut self, until: u64) -> Vec<ListHeld> {
        let (from, until) = self.span(until, 100..4_000);
        vec![ListHeld { from, until }]
    }

    fn moves(&mut self, proxies: u16, until: u64) -> Vec<Move> {
        let one = |_| {
            let leaves = self.0.random_range(CALM..until);
            let joins = (leaves + self.0.random_range(50..3_000)).min(until);
            Move { proxy: self.0.random_range(0..proxies), leaves, joins, fresh: self.0.random_bool(0.3) }
        };
        (0..proxies / 2).map(one).collect()
    }
}
