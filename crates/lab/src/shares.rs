//! Fair quotas: the cost of a round compared with a plain allocation, its distance from an exact linear program, how
//! soon a guarantee is restored under a burst, and whether grants stay unchanged at steady load. Controllers and the
//! leader run in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Instant;

use amberarch_core::{ClassId, ZoneId, Zones};
use amberarch_shares::*;
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

use crate::chart::{keep, Series};
use crate::{close, Bound as Limit, Fault, How};

#[derive(Deserialize)]
struct File {
    shares: Section,
}

fn compiled(text: &str, facts: &Facts) -> Result<Arc<Plan>, Fault> {
    let file: File = toml::from_str(text).map_err(|why| Fault::Other(why.to_string()))?;
    Ok(Arc::new(compile(&file.shares, facts).map_err(|why| Fault::Other(why.to_string()))?))
}

/// Tenants under parents in ten zones, each tenant in one zone; a zone's txns may also go to its neighbour. Capacity
/// covers two thirds of the demand.
struct Large {
    plan: Arc<Plan>,
    asks: Vec<f64>,
    rooms: Vec<f64>,
    compile_ms: f64,
}

fn large(tenants: usize) -> Result<Large, Fault> {
    let zones = tenants.min(10);
    let parents = (tenants / 10).clamp(1, 100);
    let mut text = "[shares]\nsurvive = { zones = 1 }\nfloor = { part = 0.1, stewards = 500 }\n".to_string();
    for parent in 0..parents {
        let _ = write!(text, "[[shares.tenant]]\nname = \"g{parent}\"\nweight = {}\n", 1 + parent % 3);
    }
    for at in 0..tenants {
        let (parent, zone) = (at % parents, at % zones);
        let _ = write!(text, "[[shares.tenant]]\nname = \"t{at}\"\nparent = \"g{parent}\"\n");
        let _ = write!(text, "products = [\"p{}\"]\nzones = [\"z{zone}\"]\n", at / zones);
        let _ = writeln!(text, "guarantee_per_s = 20\nweight = {}", 1 + at % 5);
    }
    let each = 70.0 * tenants as f64 / zones as f64;
    let zone = |at| ZoneFact { name: format!("z{at}"), proxies: 9, capacity_per_s: each };
    let mut facts = Facts {
        zones: (0..zones).map(zone).collect(),
        products: (0..tenants.div_ceil(zones)).map(|at| format!("p{at}")).collect(),
        ..Facts::default()
    };
    for zone in 0..zones as u16 {
        let near: Zones = [zone, (zone + 1) % zones as u16].into_iter().map(ZoneId).collect();
        for class in 0..facts.products.len() as u16 {
            facts.permits.insert((ClassId(class), ZoneId(zone)), near);
        }
    }
    let begun = Instant::now();
    let plan = compiled(&text, &facts)?;
    let compile_ms = 1e3 * begun.elapsed().as_secs_f64();
    let asks = (0..tenants).map(|at| 40.0 + (at * 7_919 % 121) as f64).collect();
    Ok(Large { plan, asks, rooms: vec![each; zones], compile_ms })
}

fn middle(mut of: Vec<f64>) -> (f64, f64) {
    of.sort_by(f64::total_cmp);
    (of[of.len() / 2], of[of.len() * 99 / 100])
}

#[derive(Serialize)]
struct Cost {
    tenants: usize,
    compile_ms: f64,
    round_ms: f64,
    /// The shortest round, and the processor time of the median one, which other work on the machine affects little.
    round_least_ms: f64,
    round_processor_ms: f64,
    round_p99_ms: f64,
    plain_ms: f64,
    /// Time to receive all messages of a turn, issue the grants and answer; each tenant's txns arrive at five
    /// controllers, which acknowledge the grants that they apply.
    turn_5_stewards_ms: f64,
    turn_500_stewards_ms: f64,
    /// The same where no controller ever acknowledges, so that every grant counts until it expires.
    turn_5_untaken_ms: f64,
    turn_500_untaken_ms: f64,
    /// Processor time of the first two.
    turn_5_processor_ms: f64,
    turn_500_processor_ms: f64,
    /// Mean deviation of the grants from the plain allocation, as a fraction of all grants.
    off_plain: f64,
}

/// Processor time used by this thread, ms.
fn thread_processor_ms() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

fn apart(found: &[f64], exact: &[f64]) -> f64 {
    let off: f64 = found.iter().zip(exact).map(|(found, exact)| (found - exact).abs()).sum();
    off / exact.iter().sum::<f64>().max(1e-9)
}

fn cost(tenants: usize, how: &How, rng: &mut StdRng) -> Result<Cost, Fault> {
    let Large { plan, asks, rooms, compile_ms } = large(tenants)?;
    let mut round = Round::new(plan.clone());
    let times = if how.quick { 60 } else { 300 };
    let (mut took, mut processor) = (Vec::new(), Vec::new());
    for turn in 0..times {
        let asks: Vec<f64> = asks.iter().map(|ask| ask * rng.random_range(0.7..1.3)).collect();
        let (begun, before) = (Instant::now(), thread_processor_ms());
        round.deal(100.0 * f64::from(turn), &asks, &rooms, None);
        processor.push(thread_processor_ms() - before);
        took.push(1e3 * begun.elapsed().as_secs_f64());
    }
    let round_least_ms = took.iter().copied().fold(f64::INFINITY, f64::min);
    let (round_ms, round_p99_ms) = middle(took);
    let round_processor_ms = middle(processor).0;
    let begun = Instant::now();
    let plain = plainly(&plan, &asks, &rooms);
    let plain_ms = 1e3 * begun.elapsed().as_secs_f64();
    let off_plain = apart(round.fair(&asks, &rooms, None), &plain);
    let turn = |stewards: u16, takes: bool| -> (f64, f64) {
        let holders: BTreeSet<Holder> = (0..stewards).map(Holder).collect();
        let lengths = Lengths::new(5_000.0, 0.01, 100.0).expect("lengths");
        let mut chair = Chair::new(0.0, 1, 1, plan.clone(), holders, lengths);
        let (mut took, mut processor) = (Vec::new(), Vec::new());
        for turn in 0..if how.quick { 10u64 } else { 50 } {
            let words: Vec<Seen> = (0..stewards)
                .map(|at| {
                    let comes = |claim: u32| {
                        (0..5).any(|part| (claim * 13 + part * 101) % u32::from(stewards) == u32::from(at))
                    };
                    let here = plan.claims().filter(|(claim, ..)| comes(claim.0));
                    let part = 0.95 + 0.01 * (turn % 10) as f64;
                    let demand = here.map(|(claim, tenant, zone)| Grant {
                        tenant,
                        zone,
                        per_s: part * asks[claim.0 as usize] / 5.0,
                    });
                    let capacity =
                        rooms.iter().enumerate().map(|(zone, room)| (Zone(zone as u16), *room)).collect();
                    let round = (1 << 32) + turn + 1;
                    Seen {
                        round,
                        term: 1,
                        plan: 1,
                        lived: 1e6,
                        demand: demand.collect(),
                        capacity,
                        held: vec![],
                    }
                })
                .collect();
            let now = 200.0 * turn as f64;
            let (begun, before) = (Instant::now(), thread_processor_ms());
            for (at, seen) in words.into_iter().enumerate() {
                chair.handle(now, Input::Heard { from: Holder(at as u16), said: Said::Seen(seen) });
            }
            let out = chair.handle(now + 60.0, Input::Stood { since: now + 50.0 });
            let taken = out.into_iter().filter_map(|out| match out {
                Output::Send { to, said: Said::Dealt { round, term, .. } } if takes => {
                    Some(Input::Heard { from: to, said: Said::Taken { round, term } })
                }
                _ => None,
            });
            taken.for_each(|input| drop(chair.handle(now + 90.0, input)));
            processor.push(thread_processor_ms() - before);
            took.push(1e3 * begun.elapsed().as_secs_f64());
        }
        (middle(took).0, middle(processor).0)
    };
    let (turn_5_stewards_ms, turn_5_processor_ms) = turn(5, true);
    let (turn_500_stewards_ms, turn_500_processor_ms) = turn(500, true);
    let (turn_5_untaken_ms, turn_500_untaken_ms) = (turn(5, false).0, turn(500, false).0);
    Ok(Cost {
        tenants,
        compile_ms,
        round_ms,
        round_least_ms,
        round_processor_ms,
        round_p99_ms,
        plain_ms,
        turn_5_stewards_ms,
        turn_500_stewards_ms,
        turn_5_untaken_ms,
        turn_500_untaken_ms,
        turn_5_processor_ms,
        turn_500_processor_ms,
        off_plain,
    })
}

/// One tenant of the exact linear program.
struct One {
    reach: [bool; 4],
    ask: f64,
    weight: f64,
    guarantee: f64,
}

/// The highest common level, or the most that tenant `goal` can get, while each tenant gets at least `least`.
fn program(rooms: &[f64], ones: &[One], least: &[f64], stopped: &[bool], goal: Option<usize>) -> Option<f64> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let level = problem.add_var(f64::from(u8::from(goal.is_none())), (0.0, 1e6));
    let mut loads: Vec<Vec<(Variable, f64)>> = vec![vec![]; rooms.len()];
    for (at, one) in ones.iter().enumerate() {
        let zones = (0..rooms.len()).filter(|zone| one.reach[*zone]);
        let parts: Vec<(Variable, f64)> = zones
            .map(|zone| {
                let flow = problem.add_var(f64::from(u8::from(goal == Some(at))), (0.0, f64::INFINITY));
                loads[zone].push((flow, 1.0));
                (flow, 1.0)
            })
            .collect();
        problem.add_constraint(parts.clone(), ComparisonOp::Ge, (least[at] - 1e-7).max(0.0));
        if goal.is_none() && !stopped[at] {
            problem.add_constraint(parts.clone(), ComparisonOp::Le, one.ask);
            problem.add_constraint([parts, vec![(level, -one.weight)]].concat(), ComparisonOp::Ge, 0.0);
        }
    }
    for (room, load) in rooms.iter().zip(loads) {
        problem.add_constraint(load, ComparisonOp::Le, *room);
    }
    match problem.solve().ok()? {
        SolveOutcome::Solution(solution) => Some(solution.objective()),
        _ => None,
    }
}

/// Max-min fairness by repeated linear programs: raises the level as far as possible, fixes the tenants that can't get
/// more, and repeats.
fn exact(rooms: &[f64], ones: &[One]) -> Option<Vec<f64>> {
    let floor: Vec<f64> = ones.iter().map(|one| one.guarantee.min(one.ask)).collect();
    let (mut x, mut stopped) = (floor.clone(), vec![false; ones.len()]);
    while stopped.contains(&false) {
        let level = program(rooms, ones, &x, &stopped, None)?;
        for at in (0..ones.len()).filter(|at| !stopped[*at]) {
            x[at] = (ones[at].weight * level).max(floor[at]).min(ones[at].ask);
        }
        let before = stopped.clone();
        for at in (0..ones.len()).filter(|at| !before[*at]) {
            let can = program(rooms, ones, &x, &before, Some(at))?;
            stopped[at] = x[at] >= ones[at].ask - 1e-7 || can <= x[at] + 1e-5;
        }
        if stopped == before {
            return None;
        }
    }
    Some(x)
}

#[derive(Serialize)]
struct Fairness {
    instances: usize,
    /// Deviation as a fraction of all grants, worst and mean: of one round, and of rounds that converged after other
    /// demands.
    worst: f64,
    mean: f64,
    settled_worst: f64,
}

fn fairness(how: &How, rng: &mut StdRng) -> Result<Fairness, Fault> {
    let (tenants, wanted) = (16, if how.quick { 30 } else { 300 });
    let (mut off, mut settled) = (Vec::new(), Vec::new());
    while off.len() < wanted {
        let rooms: Vec<f64> = (0..4).map(|_| rng.random_range(100.0..300.0)).collect();
        let ones: Vec<One> = (0..tenants)
            .map(|_| {
                let mut reach = [(); 4].map(|()| rng.random_bool(0.4));
                reach[rng.random_range(0..4)] = true;
                let (ask, weight) = (rng.random_range(0.0..150.0), f64::from(rng.random_range(1..5u32)));
                One { reach, ask, weight, guarantee: rng.random_range(0.0..30.0) }
            })
            .collect();
        let mut text = "[shares]\nfloor = { part = 0.1, stewards = 5 }\n".to_string();
        let zone = |(at, room): (usize, &f64)| ZoneFact {
            name: format!("z{at}"),
            proxies: 9,
            capacity_per_s: *room,
        };
        let mut facts = Facts {
            zones: rooms.iter().enumerate().map(zone).collect(),
            products: (0..tenants).map(|at| format!("p{at}")).collect(),
            ..Facts::default()
        };
        for (at, one) in ones.iter().enumerate() {
            let _ = write!(
                text,
                "[[shares.tenant]]\nname = \"t{at}\"\nproducts = [\"p{at}\"]\nzones = [\"z0\"]\n"
            );
            let _ = writeln!(text, "weight = {}\nguarantee_per_s = {}", one.weight, one.guarantee);
            let reach = (0..4u16).filter(|zone| one.reach[usize::from(*zone)]).map(ZoneId).collect();
            facts.permits.insert((ClassId(at as u16), ZoneId(0)), reach);
        }
        let Ok(plan) = compiled(&text, &facts) else { continue };
        let Some(exact) = exact(&rooms, &ones) else { continue };
        let asks: Vec<f64> = ones.iter().map(|one| one.ask).collect();
        let mut round = Round::new(plan);
        off.push(apart(round.fair(&asks, &rooms, None), &exact));
        // Other demands are served first, then these until nothing changes.
        for turn in 0..60u32 {
            let other: Vec<f64> = asks.iter().map(|_| rng.random_range(0.0..150.0)).collect();
            let asks = if turn < 5 { &other } else { &asks };
            round.deal(1_000.0 * f64::from(turn), asks, &rooms, None);
        }
        settled.push(apart(round.rates(), &exact));
    }
    let worst = |of: &[f64]| of.iter().copied().fold(0.0, f64::max);
    let mean = off.iter().sum::<f64>() / off.len() as f64;
    Ok(Fairness { instances: off.len(), worst: worst(&off), mean, settled_worst: worst(&settled) })
}

/// Five controllers and a leader on one virtual clock. Messages take up to 40 ms, and a majority confirms every 50 ms.
struct Fleet {
    now: f64,
    plan: Arc<Plan>,
    chair: Chair,
    stewards: Vec<Held>,
    /// Messages in transit, with their arrival time, to the leader or to a controller.
    under_way: Vec<(f64, usize, bool, Said)>,
    cut: Option<usize>,
    rooms: Vec<f64>,
    over_grants: u64,
    gave: u64,
}

const STEWARDS: usize = 5;

impl Fleet {
    fn new(plan: Arc<Plan>, rooms: Vec<f64>, lengths: Lengths) -> Fleet {
        let holders: BTreeSet<Holder> = (0..STEWARDS as u16).map(Holder).collect();
        let chair = Chair::new(0.0, 1, 1, plan.clone(), holders, lengths);
        let (stewards, under_way) =
            ((0..STEWARDS).map(|_| Held::new(0.0, 1, 1, plan.clone())).collect(), vec![]);
        let mut fleet =
            Fleet { now: 0.0, plan, chair, stewards, under_way, cut: None, rooms, over_grants: 0, gave: 0 };
        let capacity: Vec<(ZoneId, f64)> =
            fleet.rooms.iter().enumerate().map(|(zone, room)| (ZoneId(zone as u16), *room)).collect();
        for at in 0..STEWARDS {
            fleet.steward(at, Heard::Capacity(capacity.clone()), 0.0);
            fleet.steward(at, Heard::Chair { term: 1 }, 10.0 * at as f64);
        }
        fleet
    }

    fn steward(&mut self, at: usize, heard: Heard, late: f64) {
        for out in self.stewards[at].handle(self.now, heard) {
            if let (Out::Say(said), false) = (out, self.cut == Some(at)) {
                self.under_way.push((self.now + 5.0 + late, at, true, said));
            }
        }
    }

    /// By claim, all that the controllers may admit.
    fn in_force(&self) -> Vec<f64> {
        let sum = |claim| self.stewards.iter().map(|steward| steward.may(self.now, claim)).sum();
        self.plan.claims().map(|(claim, ..)| sum(claim)).collect()
    }

    /// Advances in steps of 10 ms.
    fn live(&mut self, until: f64, rng: &mut StdRng) {
        while self.now < until {
            self.now += 10.0;
            let (due, rest) =
                std::mem::take(&mut self.under_way).into_iter().partition(|word| word.0 <= self.now);
            self.under_way = rest;
            for (_, at, to_chair, said) in due {
                let late = rng.random_range(5.0..40.0);
                if to_chair {
                    self.chair.handle(self.now, Input::Heard { from: Holder(at as u16), said });
                } else if self.cut != Some(at) {
                    self.steward(at, Heard::From(said), late);
                }
            }
            if ((self.now / 10.0) as u64).is_multiple_of(5) {
                for out in self.chair.handle(self.now, Input::Stood { since: self.now }) {
                    match out {
                        Output::Send { to, said } => {
                            let late = rng.random_range(5.0..40.0);
                            self.under_way.push((self.now + late, usize::from(to.0), false, said));
                        }
                        Output::Gave(tenants) => self.gave += tenants.len() as u64,
                        Output::Short(_) => {}
                    }
                }
            }
            for at in 0..STEWARDS {
                if self.stewards[at].due() <= self.now {
                    self.steward(at, Heard::Tick, rng.random_range(0.0..30.0));
                }
            }
            // Every zone's txns are served at home here, so the quotas in force add up zone by zone.
            let mut sums: BTreeMap<Zone, f64> = BTreeMap::new();
            for ((_, _, zone), per_s) in self.plan.claims().zip(self.in_force()) {
                *sums.entry(zone).or_default() += per_s;
            }
            self.over_grants +=
                sums.iter().filter(|(zone, sum)| **sum > self.rooms[usize::from(zone.0)] + 1e-6).count()
                    as u64;
        }
    }

    /// Reports to each controller the txns of the last second: a fifth each, with random variation.
    fn came(&mut self, rates: &[f64], rng: &mut StdRng) {
        let owned: Vec<(ZoneId, ClassId, Claim)> = self.plan.owned().collect();
        for at in 0..STEWARDS {
            let came = owned.iter().map(|(zone, class, claim)| {
                let mean = rates[claim.0 as usize] / STEWARDS as f64;
                // The sum of twelve uniform draws has a standard deviation of one.
                let chance = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
                (*zone, *class, (mean + chance * mean.sqrt()).max(0.0))
            });
            let came = came.collect();
            self.steward(at, Heard::Came(came), 0.0);
        }
    }
}

/// Twenty tenants in two zones; the first has a guarantee that the others borrow.
fn night() -> Result<(Arc<Plan>, Vec<f64>), Fault> {
    let mut text = "[shares]\nfloor = { part = 0.1, stewards = 5 }\n".to_string();
    for at in 0..20 {
        let _ = write!(
            text,
            "[[shares.tenant]]\nname = \"t{at}\"\nproducts = [\"p{at}\"]\nweight = {}\n",
            1 + at % 3
        );
        let _ =
            writeln!(text, "guarantee_per_s = {}\ngives_way = {}", if at == 0 { 600 } else { 40 }, at % 4);
    }
    let zone = |at| ZoneFact { name: format!("z{at}"), proxies: 9, capacity_per_s: 1_000.0 };
    let mut facts = Facts {
        zones: (0..2).map(zone).collect(),
        products: (0..20).map(|at| format!("p{at}")).collect(),
        ..Facts::default()
    };
    for zone in 0..2u16 {
        (0..20u16).for_each(|class| {
            facts.permits.insert((ClassId(class), ZoneId(zone)), Zones::one(ZoneId(zone)));
        });
    }
    Ok((compiled(&text, &facts)?, vec![1_000.0; 2]))
}

/// Demand of each claim while the first tenant is idle; the total exceeds the capacity.
fn crowd(plan: &Plan, rng: &mut StdRng) -> Vec<f64> {
    plan.claims()
        .map(|(_, tenant, _)| if tenant.0 == 0 { 0.0 } else { rng.random_range(40.0..120.0) })
        .collect()
}

#[derive(Serialize)]
struct Burst {
    nights: usize,
    /// Time from the second report that shows the burst, ms: median and worst, with all controllers up.
    back_ms: f64,
    back_worst_ms: f64,
    /// The same with one controller cut off that holds a fifth of what was lent.
    back_cut_worst_ms: f64,
    grant_longest_ms: f64,
    over_grants: u64,
}

fn burst(how: &How, rng: &mut StdRng, series: &mut Vec<Series>) -> Result<Burst, Fault> {
    let nights = if how.quick { 8 } else { 60 };
    let lengths = Lengths::new(3_000.0, 0.01, 300.0).map_err(|why| Fault::Other(why.to_string()))?;
    let (mut up, mut cut, mut over_grants) = (Vec::new(), Vec::new(), 0);
    for night_no in 0..nights {
        for cut_off in [false, true] {
            let (plan, rooms) = night()?;
            let mut fleet = Fleet::new(plan.clone(), rooms, lengths);
            let mut rates = crowd(&plan, rng);
            for second in 0..20 {
                fleet.came(&rates, rng);
                fleet.live(1_000.0 * f64::from(second + 1), rng);
            }
            fleet.cut = cut_off.then_some(STEWARDS - 1);
            plan.claims()
                .filter(|(_, tenant, _)| tenant.0 == 0)
                .for_each(|(claim, ..)| rates[claim.0 as usize] = 300.0);
            let begun = fleet.now;
            let (mut back, mut points) = (None, Vec::new());
            while fleet.now < begun + 15_000.0 {
                if ((fleet.now - begun) as u64).is_multiple_of(1_000) {
                    fleet.came(&rates, rng);
                }
                let next = fleet.now + 10.0;
                fleet.live(next, rng);
                let has: f64 = fleet
                    .plan
                    .claims()
                    .zip(fleet.in_force())
                    .filter(|((_, tenant, _), _)| tenant.0 == 0)
                    .map(|(_, per_s)| per_s)
                    .sum();
                if ((fleet.now - begun) as u64).is_multiple_of(50) {
                    points.push(((fleet.now - begun) / 1e3, has));
                }
                // The controller that is cut off applies nothing; the others get four fifths.
                let wanted = if cut_off { 0.8 } else { 1.0 } * 600.0 * 0.99;
                if back.is_none() && has >= wanted {
                    back = Some(fleet.now - begun);
                }
            }
            let back = back.unwrap_or(f64::INFINITY);
            if cut_off {
                cut.push(back)
            } else {
                up.push(back)
            }
            over_grants += fleet.over_grants;
            if night_no == 0 {
                let name = if cut_off { "one steward cut off" } else { "all stewards up" };
                series.push(Series { name: name.into(), points });
            }
        }
    }
    let worst = |of: &[f64]| of.iter().copied().fold(0.0, f64::max);
    let (back_worst_ms, back_cut_worst_ms) = (worst(&up), worst(&cut));
    let back_ms = middle(up).0;
    let grant_longest_ms = lengths.longest();
    Ok(Burst { nights, back_ms, back_worst_ms, back_cut_worst_ms, grant_longest_ms, over_grants })
}

#[derive(Serialize)]
struct Steady {
    fleets: usize,
    minutes: f64,
    /// Changes per minute of what a claim may admit over all controllers, from the second minute on: of all fleets, and
    /// of the worst fleet.
    changes_a_minute: f64,
    changes_a_minute_worst: f64,
    /// The same where each round issues the fair quotas for the last reports, without bands.
    plain_changes_a_minute: f64,
    /// Worst deviation, at the end of each minute, from the fair quotas for the demand with its bands, as a fraction of
    /// all grants.
    off_fair_worst: f64,
    /// The fraction not admitted of what an allocation by the average demand would admit on average: the room that bands
    /// keep, the last part of capacity, and the floors of idle tenants. Of the worst fleet.
    kept_worst: f64,
    over_grants: u64,
}

fn steady(how: &How, rng: &mut StdRng) -> Result<Steady, Fault> {
    let (fleets, minutes) = if how.quick { (1, 4) } else { (6, 20) };
    let counted = f64::from(minutes - 1);
    let (mut all, mut plain_all, mut offs, mut kept, mut over_grants) = (vec![], 0, vec![], vec![], 0);
    for _ in 0..fleets {
        let (plan, rooms) = night()?;
        let lengths = Lengths::new(3_000.0, 0.01, 300.0).map_err(|why| Fault::Other(why.to_string()))?;
        let mut fleet = Fleet::new(plan.clone(), rooms.clone(), lengths);
        // Capacity suffices for all but the busiest, so that many tenants stay close to the limit.
        let rates: Vec<f64> = crowd(&plan, rng).into_iter().map(|rate| 0.75 * rate).collect();
        let mut changes = 0u64;
        let (mut before, mut plain_before) = (fleet.in_force(), vec![0.0; rates.len()]);
        let mut plain = Round::new(plan);
        let ideal = plain.fair(&rates, &rooms, None).to_vec();
        let let_in = |may: &[f64]| -> f64 { may.iter().zip(&rates).map(|(may, came)| may.min(*came)).sum() };
        let mut least = f64::INFINITY;
        for second in 0..60 * minutes {
            fleet.came(&rates, rng);
            fleet.live(1_000.0 * f64::from(second + 1), rng);
            let now = fleet.in_force();
            let noisy: Vec<f64> = rates
                .iter()
                .map(|rate| (rate + rng.random_range(-1.7..1.7) * rate.sqrt()).max(0.0))
                .collect();
            let plain_now = plain.fair(&noisy, &rooms, None).to_vec();
            if second >= 60 {
                let differ = |a: &[f64], b: &[f64]| {
                    a.iter().zip(b).filter(|(a, b)| (*a - *b).abs() > 1e-6).count() as u64
                };
                changes += differ(&now, &before);
                plain_all += differ(&plain_now, &plain_before);
                if second % 60 == 59 {
                    let dealt: Vec<f64> = fleet.chair.rates().map(|(_, rate)| rate).collect();
                    offs.push(apart(&dealt, &fleet.chair.fair()));
                    least = least.min(let_in(&now) / let_in(&ideal));
                }
            }
            (before, plain_before) = (now, plain_now);
        }
        all.push(changes as f64 / counted);
        kept.push(1.0 - least);
        over_grants += fleet.over_grants;
    }
    let worst = |of: &[f64]| of.iter().copied().fold(0.0, f64::max);
    Ok(Steady {
        fleets,
        minutes: counted,
        changes_a_minute: all.iter().sum::<f64>() / fleets as f64,
        changes_a_minute_worst: worst(&all),
        plain_changes_a_minute: plain_all as f64 / counted / fleets as f64,
        off_fair_worst: worst(&offs),
        kept_worst: worst(&kept),
        over_grants,
    })
}

#[derive(Serialize)]
struct Fall {
    nights: usize,
    /// Time from the drop of both zones' hosts to a tenth of their capacity, which each controller sees within 200 ms,
    /// until no more than that is in force: median and worst, ms.
    within_ms: f64,
    within_worst_ms: f64,
}

fn fall(how: &How, rng: &mut StdRng) -> Result<Fall, Fault> {
    let nights = if how.quick { 8 } else { 60 };
    let lengths = Lengths::new(3_000.0, 0.01, 300.0).map_err(|why| Fault::Other(why.to_string()))?;
    let mut within = Vec::new();
    for _ in 0..nights {
        let (plan, rooms) = night()?;
        let mut fleet = Fleet::new(plan.clone(), rooms.clone(), lengths);
        let rates = crowd(&plan, rng);
        for second in 0..20 {
            fleet.came(&rates, rng);
            fleet.live(1_000.0 * f64::from(second + 1), rng);
        }
        fleet.came(&rates, rng);
        let begun = fleet.now;
        let tenth: Vec<(ZoneId, f64)> =
            rooms.iter().enumerate().map(|(zone, room)| (ZoneId(zone as u16), 0.1 * room)).collect();
        let mut sees: Vec<f64> = (0..STEWARDS).map(|_| begun + rng.random_range(0.0..200.0)).collect();
        let mut found = f64::INFINITY;
        while fleet.now < begun + 5_000.0 && found.is_infinite() {
            let now = fleet.now;
            for (at, due) in sees.iter_mut().enumerate().filter(|(_, due)| **due <= now) {
                fleet.steward(at, Heard::Capacity(tenth.clone()), rng.random_range(0.0..30.0));
                *due = f64::INFINITY;
            }
            let next = fleet.now + 10.0;
            fleet.live(next, rng);
            let mut sums = vec![0.0; rooms.len()];
            for ((_, _, zone), per_s) in plan.claims().zip(fleet.in_force()) {
                sums[usize::from(zone.0)] += per_s;
            }
            if sums.iter().zip(&rooms).all(|(sum, room)| *sum <= 0.1 * room + 1e-6) {
                found = fleet.now - begun;
            }
        }
        within.push(found);
    }
    let within_worst_ms = within.iter().copied().fold(0.0, f64::max);
    Ok(Fall { nights, within_ms: middle(within).0, within_worst_ms })
}

#[derive(Serialize)]
struct Figures {
    costs: Vec<Cost>,
    fairness: Fairness,
    burst: Burst,
    fall: Fall,
    steady: Steady,
}

pub fn run(how: &How) -> Result<bool, Fault> {
    let mut rng = StdRng::seed_from_u64(how.seed);
    let mut costs = Vec::new();
    for tenants in [10, 1_000, 10_000] {
        let cost = cost(tenants, how, &mut rng)?;
        println!(
            "{tenants:>6} tenants: compiled in {:.1} ms; a round {:.3} ms (least {:.3}, p99 {:.3}, processor {:.3}), plain {:.1} ms; a turn of 5 stewards {:.2} ms (processor {:.2}), of 500 {:.2} ms ({:.2})",
            cost.compile_ms,
            cost.round_ms,
            cost.round_least_ms,
            cost.round_p99_ms,
            cost.round_processor_ms,
            cost.plain_ms,
            cost.turn_5_stewards_ms,
            cost.turn_5_processor_ms,
            cost.turn_500_stewards_ms,
            cost.turn_500_processor_ms
        );
        costs.push(cost);
    }
    let fairness = fairness(how, &mut rng)?;
    println!(
        "off an exact program in {} instances: mean {:.6}, worst {:.6}; settled {:.6}",
        fairness.instances, fairness.mean, fairness.worst, fairness.settled_worst
    );
    let mut series = Vec::new();
    let burst = burst(how, &mut rng, &mut series)?;
    println!(
        "a guarantee is back in {:.0} ms (worst {:.0}), with a steward cut off {:.0}; over-grants {}",
        burst.back_ms, burst.back_worst_ms, burst.back_cut_worst_ms, burst.over_grants
    );
    let fall = fall(how, &mut rng)?;
    println!(
        "capacity that falls to a tenth is kept to in {:.0} ms (worst {:.0})",
        fall.within_ms, fall.within_worst_ms
    );
    let steady = steady(how, &mut rng)?;
    println!(
        "changes of a grant a minute at steady load: {:.2} (worst fleet {:.2}); {:.0} where nothing is held in bands; off fair {:.4}, kept as room {:.3}",
        steady.changes_a_minute,
        steady.changes_a_minute_worst,
        steady.plain_changes_a_minute,
        steady.off_fair_worst,
        steady.kept_worst
    );
    if let Some(dir) = &how.out {
        let title = "What a tenant with a guarantee of 600/s may let in after its burst";
        keep(dir, "shares", title, "s", "txns a second", &series)?;
        let line = |name: &str, of: fn(&Cost) -> f64| Series {
            name: name.into(),
            points: costs.iter().map(|cost| (cost.tenants as f64, of(cost))).collect(),
        };
        let lines = [
            line("a round", |cost| cost.round_ms),
            line("a turn of 5 stewards", |cost| cost.turn_5_stewards_ms),
            line("a turn of 500 stewards", |cost| cost.turn_500_stewards_ms),
        ];
        keep(dir, "shares-cost", "What a round and a whole turn of the chair cost", "tenants", "ms", &lines)?;
    }
    let largest = costs.last().map_or(f64::INFINITY, |cost| cost.round_processor_ms);
    let off = costs.iter().map(|cost| cost.off_plain).fold(0.0, f64::max);
    let bounds = [
        Limit::under("a round at 10,000 tenants, processor ms", largest, 5.0),
        Limit::under("off fair, of what is dealt", fairness.worst.max(off), 0.01),
        Limit::under("off fair once settled, of what is dealt", fairness.settled_worst, 0.01),
        Limit::under("a guarantee back, worst, ms", burst.back_worst_ms, 2_000.0),
        Limit::under(
            "the same, a steward cut off, ms",
            burst.back_cut_worst_ms,
            burst.grant_longest_ms + 1_000.0,
        ),
        Limit::under("a fall to a tenth kept to, worst, ms", fall.within_worst_ms, 1_000.0),
        Limit::under("changes of a grant a minute at steady load", steady.changes_a_minute, 1e-9),
        Limit::under("off fair at steady load, of what is dealt", steady.off_fair_worst, 0.01),
        Limit::under("over-grants", (burst.over_grants + steady.over_grants) as f64, 0.5),
    ];
    close(how, Figures { costs, fairness, burst, fall, steady }, &bounds)
}
