//! Inserts faults into a correct history, each of which a check has to find.

// All functions that insert a fault have one type; some need only a slice.
#![allow(clippy::ptr_arg)]

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Chance, Made};
use crate::{End, Held, Line, Outcome, Rule, What};

/// One way to corrupt a history.
pub struct Spoil {
    pub name: &'static str,
    /// The check that has to find the fault; others may find it too.
    pub rule: Rule,
    plant: fn(&mut Vec<Line>, &mut Chance) -> Option<()>,
}

impl Spoil {
    /// Inserts the fault; false if this history has no place for it.
    pub fn plant(&self, lines: &mut Vec<Line>, chance: &mut Chance) -> bool {
        let planted = (self.plant)(lines, chance).is_some();
        lines.sort_by_key(|line| line.at);
        planted
    }
}

const MS: u64 = 1_000_000;

macro_rules! spoils {
    ($($rule:ident $plant:ident),* $(,)?) => {
        /// All corruptions, at least two for each rule.
        pub const SPOILS: &[Spoil] =
            &[$(Spoil { name: stringify!($plant), rule: Rule::$rule, plant: $plant }),*];
    };
}

spoils! {
    Register refused_and_yet_in_force,
    Register the_winner_was_never_under_way,
    Register nobody_proposed_what_holds,
    Register in_force_before_it_could_be,
    Register the_one_before_is_held_again,
    Exclude another_run_goes_on_with_the_old_one,
    Exclude one_steward_is_ahead_of_joint,
    Everywhere one_is_left_behind,
    Everywhere one_lease_is_never_renewed,
    Everywhere one_stays_between_the_two,
    Reach a_host_serves_what_is_not_permitted,
    Reach a_table_allows_too_much,
    Reach a_table_is_not_narrowed,
    Grants one_grant_above_the_capacity,
    Grants given_before_it_was_taken_back,
    Grants renewed_as_before_the_fall,
    Grants one_taker_is_not_told_of_the_fall,
    Guarantee a_tenant_is_starved,
    Guarantee a_tenant_gets_half_of_it,
    OnceOnly a_second_host_serves_a_once_only,
    OnceOnly a_once_only_is_tried_again,
    Answers an_answer_is_lost,
    Answers a_second_answer,
    Answers an_answer_to_nothing,
    Late a_call_ends_after_its_lease,
    Late a_call_of_the_stage_before,
}

/// A random one of the places that fit.
fn pick(lines: &[Line], chance: &mut Chance, fits: impl Fn(usize, &Line) -> bool) -> Option<usize> {
    let places: Vec<usize> = (0..lines.len()).filter(|place| fits(*place, &lines[*place])).collect();
    (!places.is_empty()).then(|| places[chance.below(places.len() as u64) as usize])
}

fn insert(lines: &mut Vec<Line>, at: u64, who: &str, what: What) {
    lines.push(Line { at, who: who.into(), what });
}

/// The times at which a line first proves that a revision is in force, in order. `held`: counts only what a
/// controller holds.
fn firsts_of(lines: &[Line], held: bool) -> Vec<(u64, u64)> {
    let mut seen = BTreeSet::new();
    let proofs = lines.iter().filter_map(|line| match line.what {
        What::Holds { holds: Held::Alone { no } | Held::Joint { old: Some(no), .. }, .. } => {
            Some((line.at, no))
        }
        What::Answered { no, outcome: Outcome::InForce, .. } if !held => Some((line.at, no)),
        _ => None,
    });
    proofs.filter(|(_, no)| seen.insert(*no)).collect()
}

fn firsts(lines: &[Line]) -> Vec<(u64, u64)> {
    firsts_of(lines, false)
}

/// A change from a revision to the next: the time of the first hold of the new one, and both numbers.
fn change(lines: &[Line], chance: &mut Chance) -> Option<(u64, u64, u64)> {
    let firsts = firsts_of(lines, true);
    let pairs: Vec<_> = firsts.windows(2).map(|pair| (pair[1].0, pair[0].1, pair[1].1)).collect();
    (!pairs.is_empty()).then(|| pairs[chance.below(pairs.len() as u64) as usize])
}

fn unused_boot(lines: &[Line]) -> u64 {
    lines.iter().filter(|line| matches!(line.what, What::Holds { .. })).count() as u64 + 1_000_000
}

fn refused_and_yet_in_force(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let early = lines[lines.len() * 4 / 5].at;
    let refused = |_: usize, line: &Line| {
        line.at < early && matches!(line.what, What::Answered { outcome: Outcome::Refused, winner: None, .. })
    };
    let place = pick(lines, chance, refused)?;
    if let What::Answered { outcome, .. } = &mut lines[place].what {
        *outcome = Outcome::InForce;
    }
    Some(())
}

fn the_winner_was_never_under_way(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let refused = |_: usize, line: &Line| matches!(line.what, What::Answered { winner: Some(_), .. });
    let place = pick(lines, chance, refused)?;
    let before = firsts(&lines[..place]);
    if let What::Answered { winner, .. } = &mut lines[place].what {
        // A revision that was in force long before, or one that never existed.
        *winner =
            before.iter().rev().nth(1).map(|(_, no)| *no).filter(|_| chance.one_in(2)).or(Some(900_000));
    }
    Some(())
}

fn nobody_proposed_what_holds(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let held: BTreeSet<u64> = firsts(lines).into_iter().map(|(_, no)| no).collect();
    // A refused proposal may have the same number, so all of them are removed.
    let place =
        pick(lines, chance, |_, line| matches!(line.what, What::Proposed { no, .. } if held.contains(&no)))?;
    let What::Proposed { no: gone, .. } = lines[place].what else { return None };
    lines.retain(|line| !matches!(line.what, What::Proposed { no, .. } if no == gone));
    Some(())
}

fn in_force_before_it_could_be(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let in_force =
        |_: usize, line: &Line| matches!(line.what, What::Answered { outcome: Outcome::InForce, .. });
    let place = pick(lines, chance, in_force)?;
    let What::Answered { id, no, .. } = lines[place].what else { return None };
    let who = lines[place].who.clone();
    let proposed =
        |line: &Line| line.who == who && matches!(line.what, What::Proposed { id: of, .. } if of == id);
    let from = lines.iter().position(proposed)?;
    // Some controller still holds the previous revision after that.
    let before = |line: &Line| {
        let What::Holds { holds, .. } = line.what else { return false };
        holds == Held::Nothing || matches!(holds, Held::Alone { no: other } if other != no)
    };
    lines[from..place].iter().any(before).then_some(())?;
    lines[place].at = lines[from].at + 1;
    Some(())
}

fn the_one_before_is_held_again(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let (at, old, _) = change(lines, chance)?;
    let (boot, holds) = (unused_boot(lines), Held::Alone { no: old });
    let what = What::Holds { boot, stage: 1, holds, until: at + 2_000 * MS };
    insert(lines, at + 1_000 * MS, "steward:late", what);
    Some(())
}

fn another_run_goes_on_with_the_old_one(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let (at, old, _) = change(lines, chance)?;
    let (boot, holds) = (unused_boot(lines), Held::Alone { no: old });
    insert(lines, at - 1, "steward:0", What::Holds { boot, stage: 1, holds, until: at + 1 });
    Some(())
}

fn one_steward_is_ahead_of_joint(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    // The controllers that act on one revision alone, and until when, before each line.
    let mut acts: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    let mut places = Vec::new();
    for (place, line) in lines.iter().enumerate() {
        match line.what {
            What::Holds { boot, holds, until, .. } => {
                if let Held::Joint { old: Some(old), new } = holds {
                    let other = |((who, run), (no, until)): (&(&str, u64), &(u64, u64))| {
                        (*who, *run) != (line.who.as_str(), boot) && *no == old && *until > line.at
                    };
                    if acts.iter().any(other) {
                        places.push((place, new));
                    }
                }
                acts.remove(&(line.who.as_str(), boot));
                if let Held::Alone { no } = holds {
                    acts.insert((line.who.as_str(), boot), (no, until));
                }
            }
            What::LetGo { boot } => drop(acts.remove(&(line.who.as_str(), boot))),
            What::Died => acts.retain(|(who, _), _| *who != line.who),
            _ => {}
        }
    }
    let (place, new) = *places.get(chance.below(places.len().max(1) as u64) as usize)?;
    if let What::Holds { holds, .. } = &mut lines[place].what {
        *holds = Held::Alone { no: new };
    }
    Some(())
}

/// Changes what a controller holds in the last revision of the history.
fn at_the_end(lines: &mut [Line], chance: &mut Chance, to: impl Fn(u64) -> Held) -> Option<()> {
    let who = format!("steward:{}", chance.below(5));
    let (_, last) = *firsts(lines).last()?;
    let mut some = None;
    for line in lines.iter_mut().filter(|line| line.who == who) {
        if let What::Holds { holds, .. } = &mut line.what {
            if *holds == (Held::Alone { no: last }) {
                *holds = to(last);
                some = Some(());
            }
        }
    }
    some
}

fn one_is_left_behind(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let before = firsts(lines).into_iter().rev().nth(1).map(|(_, no)| no)?;
    at_the_end(lines, chance, |_| Held::Alone { no: before })
}

fn one_stays_between_the_two(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let before = firsts(lines).into_iter().rev().nth(1).map(|(_, no)| no);
    at_the_end(lines, chance, |new| Held::Joint { old: before, new })
}

fn one_lease_is_never_renewed(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let (who, end) = (format!("steward:{}", chance.below(5)), lines.last()?.at);
    let all = lines.len();
    lines.retain(|line| {
        let renews = matches!(line.what, What::Holds { .. }) && line.who == who;
        !renews || line.at + 1_500 * MS < end
    });
    (lines.len() < all).then_some(())
}

/// What each revision permits.
fn permits(lines: &[Line]) -> HashMap<u64, Permitted> {
    let revisions = lines.iter().filter_map(|line| match &line.what {
        What::Revision { no, permits } => Some((*no, permits)),
        _ => None,
    });
    let by_pair =
        |of: &crate::Permits| ((of.product.clone(), of.home.clone()), of.zones.iter().cloned().collect());
    revisions.map(|(no, permits)| (no, permits.iter().map(by_pair).collect())).collect()
}

/// The zones that a revision permits for each request class and home.
type Permitted = HashMap<(String, String), BTreeSet<String>>;

/// The revisions in force over time, and what they permit.
struct InForce {
    firsts: Vec<(u64, u64)>,
    permits: HashMap<u64, Permitted>,
}

impl InForce {
    fn of(lines: &[Line]) -> InForce {
        InForce { firsts: firsts(lines), permits: permits(lines) }
    }

    /// A zone that the revision in force does not permit, unless the revision came into force shortly before.
    fn outside(&self, at: u64, product: &str, home: &str) -> Option<String> {
        let (from, no) = self.firsts.iter().rev().find(|(from, _)| *from < at)?;
        let permitted = self.permits.get(no)?.get(&(product.into(), home.into()))?;
        let mut zones = (0..4).map(|number| format!("z{number}"));
        zones.find(|zone| from + 200 * MS < at && !permitted.contains(zone))
    }
}

fn a_host_serves_what_is_not_permitted(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let in_force = InForce::of(lines);
    for _ in 0..200 {
        let place = pick_near(lines, chance, |line| matches!(line.what, What::Served { .. }))?;
        let What::Served { txn, .. } = lines[place].what else { return None };
        let of_it = |line: &&Line| matches!(line.what, What::Asked { txn: of, .. } if of == txn);
        let Some(What::Asked { product, home, .. }) =
            lines[..place].iter().rev().find(of_it).map(|line| &line.what)
        else {
            continue;
        };
        if let Some(other) = in_force.outside(lines[place].at, product, home) {
            lines[place].what = What::Served { txn, zone: other };
            return Some(());
        }
    }
    None
}

/// A fitting place at or after a random one; cheaper than collecting all places.
fn pick_near(lines: &[Line], chance: &mut Chance, fits: impl Fn(&Line) -> bool) -> Option<usize> {
    let from = chance.below(lines.len() as u64) as usize;
    (from..lines.len()).chain(0..from).find(|place| fits(&lines[*place]))
}

fn a_table_allows_too_much(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let in_force = InForce::of(lines);
    for _ in 0..200 {
        let place = pick_near(lines, chance, |line| matches!(line.what, What::Tables { .. }))?;
        let What::Tables { product, home, .. } = &lines[place].what else { return None };
        let Some(other) = in_force.outside(lines[place].at, product, home) else { continue };
        if let What::Tables { zones, .. } = &mut lines[place].what {
            zones.push(other);
            return Some(());
        }
    }
    None
}

fn a_table_is_not_narrowed(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let (all, firsts) = (permits(lines), firsts(lines));
    let mut tables: HashMap<(&str, &str, &str), Vec<usize>> = HashMap::new();
    for (place, line) in lines.iter().enumerate() {
        if let What::Tables { product, home, .. } = &line.what {
            tables.entry((&line.who, product, home)).or_default().push(place);
        }
    }
    let mut places = Vec::new();
    for ((_, product, home), of) in &tables {
        for (n, pair) in of.windows(2).enumerate() {
            let next = of.get(n + 2).map_or(u64::MAX, |place| lines[*place].at).min(lines.last()?.at);
            // The first change after the line to be removed, and what the revision of that change permits.
            // The change has to stay in force for a while.
            let mut changes = firsts.iter().filter(|(at, _)| *at > lines[pair[1]].at);
            let Some((at, no)) = changes.next() else { continue };
            let stands = next.min(changes.next().map_or(u64::MAX, |(at, _)| *at)) > at + 200 * MS;
            let Some(permitted) =
                all.get(no).and_then(|all| all.get(&(product.to_string(), home.to_string())))
            else {
                continue;
            };
            let What::Tables { zones, .. } = &lines[pair[0]].what else { continue };
            if stands && zones.iter().any(|zone| !permitted.contains(zone)) {
                places.push(pair[1]);
            }
        }
    }
    places.sort();
    let place = *places.get(chance.below(places.len().max(1) as u64) as usize)?;
    lines.remove(place);
    Some(())
}

fn one_grant_above_the_capacity(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let place = pick_near(lines, chance, |line| matches!(line.what, What::Granted { .. }))?;
    if let What::Granted { per_s, .. } = &mut lines[place].what {
        *per_s = 1_500.0;
    }
    Some(())
}

fn given_before_it_was_taken_back(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let mut capacity: HashMap<&str, f64> = HashMap::new();
    let mut places = Vec::new();
    for (place, line) in lines.iter().enumerate() {
        match &line.what {
            What::Capacity { zone, per_s } => drop(capacity.insert(zone, *per_s)),
            What::Granted { zone, .. } => places.push((place, capacity.get(zone.as_str()).copied()?)),
            _ => {}
        }
    }
    // Grants the whole capacity of the zone to a new controller while others hold grants.
    let (place, most) = *places.get(chance.below(places.len().max(1) as u64) as usize)?;
    let line = &lines[place];
    let What::Granted { zone, until, .. } = &line.what else { return None };
    let what = What::Granted {
        to: "steward:new".into(),
        tenant: "t9".into(),
        zone: zone.clone(),
        per_s: most,
        until: *until,
    };
    let at = line.at + 1;
    insert(lines, at, "steward:1", what);
    Some(())
}

/// After a fall of a zone's capacity that lasts for a while, keeps the grants there as large as before; those
/// of all recipients, or only those of the one with the largest grant.
fn renewed(lines: &mut [Line], chance: &mut Chance, all: bool) -> Option<()> {
    let stands = (3 * Made::bounds().runs_out as u64) * MS;
    let mut last: HashMap<String, f64> = HashMap::new();
    let mut falls = Vec::new();
    for (place, line) in lines.iter().enumerate() {
        if let What::Capacity { zone, per_s } = &line.what {
            let before = last.insert(zone.clone(), *per_s).unwrap_or(0.0);
            let again = |other: &&Line| matches!(&other.what, What::Capacity { zone: of, .. } if of == zone);
            let next = lines[place + 1..].iter().find(again).map_or(lines.last()?.at, |next| next.at);
            // The capacity falls to a hundredth, so that the earlier grant of one recipient alone exceeds it.
            if *per_s < 0.02 * before && next > line.at + stands {
                falls.push((place, zone.clone(), next));
            }
        }
    }
    let (place, zone, next) = falls.get(chance.below(falls.len().max(1) as u64) as usize)?.clone();
    let mut before: HashMap<(String, String), f64> = HashMap::new();
    for line in &lines[..place] {
        if let What::Granted { to, tenant, zone: of, per_s, .. } = &line.what {
            if *of == zone {
                before.insert((to.clone(), tenant.clone()), *per_s);
            }
        }
    }
    let most = before.iter().max_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)))?.0.clone();
    let mut some = None;
    for line in lines[place..].iter_mut().take_while(|line| line.at < next) {
        if let What::Granted { to, tenant, zone: of, per_s, .. } = &mut line.what {
            let key = (to.clone(), tenant.clone());
            if *of == zone && (all || key == most) {
                *per_s = before.get(&key).copied().unwrap_or(*per_s);
                some = Some(());
            }
        }
    }
    some
}

fn renewed_as_before_the_fall(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    renewed(lines, chance, true)
}

fn one_taker_is_not_told_of_the_fall(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    renewed(lines, chance, false)
}

/// Keeps only every `keep`-th of the tenant's txns admitted in the quiet period at the end.
fn starve(lines: &mut Vec<Line>, keep: u64) -> Option<()> {
    let disturbs =
        |line: &Line| matches!(line.what, What::Fault { .. } | What::Healed | What::Capacity { .. });
    let quiet = lines.iter().rev().find(|line| disturbs(line)).map_or(0, |line| line.at);
    let capacity = lines.iter().rev().find_map(|line| match &line.what {
        What::Capacity { zone, per_s } if zone == "z0" => Some(*per_s),
        _ => None,
    });
    let end = lines.last()?.at;
    if capacity? < 100.0 || end < quiet + 4_500 * MS {
        return None;
    }
    let asked = lines.iter().filter_map(|line| match &line.what {
        What::Asked { txn, tenant: Some(_), .. } if line.at > end - 4_400 * MS => Some(*txn),
        _ => None,
    });
    let rejected: BTreeSet<u64> =
        asked.enumerate().filter(|(n, _)| !(*n as u64).is_multiple_of(keep)).map(|(_, txn)| txn).collect();
    lines.retain(|line| !matches!(line.what, What::Served { txn, .. } if rejected.contains(&txn)));
    for line in lines.iter_mut() {
        if let What::Final { txn, end } = &mut line.what {
            if rejected.contains(txn) {
                *end = End::Declined;
            }
        }
    }
    Some(())
}

fn a_tenant_is_starved(lines: &mut Vec<Line>, _: &mut Chance) -> Option<()> {
    starve(lines, u64::MAX)
}

fn a_tenant_gets_half_of_it(lines: &mut Vec<Line>, _: &mut Chance) -> Option<()> {
    // Its demand is three times its guarantee.
    starve(lines, 6)
}

fn a_second_host_serves_a_once_only(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let once = asked(lines, |once_only| once_only);
    let place = pick_near(
        lines,
        chance,
        |line| matches!(line.what, What::Served { txn, .. } if once.contains(&txn)),
    )?;
    let Line { at, what, .. } = lines[place].clone();
    let later = at + 1 + chance.below(3_000 * MS);
    insert(lines, later, "host:again", what);
    Some(())
}

fn asked(lines: &[Line], which: impl Fn(bool) -> bool) -> BTreeSet<u64> {
    let asked = lines.iter().filter_map(|line| match line.what {
        What::Asked { txn, once_only, .. } if which(once_only) => Some(txn),
        _ => None,
    });
    asked.collect()
}

fn a_once_only_is_tried_again(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let (mut once, mut twice) = (BTreeSet::new(), BTreeSet::new());
    for line in lines.iter() {
        if let What::Served { txn, .. } = line.what {
            if !once.insert(txn) {
                twice.insert(txn);
            }
        }
    }
    let place = pick_near(
        lines,
        chance,
        |line| matches!(line.what, What::Asked { txn, .. } if twice.contains(&txn)),
    )?;
    if let What::Asked { once_only, .. } = &mut lines[place].what {
        *once_only = true;
    }
    Some(())
}

fn an_answer_is_lost(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let early = lines.last()?.at - (Made::bounds().answer * 1e6) as u64 - 200 * MS;
    let place = pick(lines, chance, |_, line| line.at < early && matches!(line.what, What::Final { .. }))?;
    lines.remove(place);
    Some(())
}

fn a_second_answer(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let place = pick_near(lines, chance, |line| matches!(line.what, What::Final { .. }))?;
    let Line { at, who, what } = lines[place].clone();
    let later = at + 1 + chance.below(500 * MS);
    insert(lines, later, &who, what);
    Some(())
}

fn an_answer_to_nothing(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let ended: BTreeSet<u64> = lines
        .iter()
        .filter_map(|line| match line.what {
            What::Final { txn, .. } => Some(txn),
            _ => None,
        })
        .collect();
    let place = pick_near(
        lines,
        chance,
        |line| matches!(line.what, What::Asked { txn, .. } if ended.contains(&txn)),
    )?;
    lines.remove(place);
    Some(())
}

/// Index of the last hold for each stage of each run.
fn last_holds(lines: &[Line]) -> BTreeMap<(String, u64, u64), usize> {
    let holds = lines.iter().enumerate().filter_map(|(place, line)| match line.what {
        What::Holds { boot, stage, .. } => Some(((line.who.clone(), boot, stage), place)),
        _ => None,
    });
    holds.collect()
}

fn a_call_ends_after_its_lease(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let all: Vec<usize> = last_holds(lines).into_values().collect();
    let place = *all.get(chance.below(all.len().max(1) as u64) as usize)?;
    let Line { who, what: What::Holds { boot, stage, until, .. }, .. } = lines[place].clone() else {
        return None;
    };
    let from = if chance.one_in(2) { until - MS } else { until + MS };
    insert(lines, until + 2 * MS, &who, What::Wrote { boot, stage, from });
    Some(())
}

fn a_call_of_the_stage_before(lines: &mut Vec<Line>, chance: &mut Chance) -> Option<()> {
    let all: Vec<((String, u64, u64), usize)> = last_holds(lines).into_iter().collect();
    let pairs: Vec<_> = all
        .windows(2)
        .filter(|pair| (&pair[0].0 .0, pair[0].0 .1) == (&pair[1].0 .0, pair[1].0 .1))
        .collect();
    let pair = *pairs.get(chance.below(pairs.len().max(1) as u64) as usize)?;
    let ((who, boot, stage), _) = pair[0].clone();
    let (_, _, next) = pair[1].0;
    let taken = |line: &&Line| {
        line.who == who
            && matches!(line.what, What::Holds { boot: b, stage: s, .. } if (b, s) == (boot, next))
    };
    let at = lines.iter().find(taken)?.at;
    insert(lines, at + 3 * MS, &who, What::Wrote { boot, stage, from: at + 2 * MS });
    Some(())
}
