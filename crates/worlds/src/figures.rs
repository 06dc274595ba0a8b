//! Measures the cost of the consensus: when idle, during a change with all members up or one down, and at a start with a
//! long log.

use amberarch_accord::{Act, Base, Disk, Entry, Facts, Kept, Logged, Name, RevisionNo, Said, Term};

use crate::{DiskIs, Late, Shape, World};

/// A fleet that has formed and has run idle for a while.
fn formed(seed: u64, shape: Shape) -> Result<World, Late> {
    let mut world = World::new(seed, shape);
    world.run_till("the fleet comes together", 20_000.0, World::all_on_one_stage)?;
    world.run_for(10_000.0);
    Ok(world)
}

/// Messages and bytes that one member sends per second. Bytes exclude the overhead of the transport.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    pub messages: f64,
    pub bytes: f64,
}

/// Rates of the leader, and the average rates of the other voters and of the followers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rest {
    pub chair: Rate,
    pub voter: Rate,
    pub follower: Rate,
}

/// Measures an idle fleet for `seconds` of virtual time. Returns `Late` if the fleet does not form in time.
pub fn rest(seed: u64, shape: Shape, seconds: f64) -> Result<Rest, Late> {
    let mut world = formed(seed, shape)?;
    world.weigh();
    let before = world.talk().clone();
    world.run_for(seconds * 1_000.0);
    let now = world.now();
    let chair = world.chair().ok_or_else(|| Late { now, why: "no chair at rest".into() })?;
    let after = world.talk();
    let said = |member: usize| Rate {
        messages: (after.messages[member] - before.messages[member]) as f64 / seconds,
        bytes: (after.bytes[member] - before.bytes[member]) as f64 / seconds,
    };
    let mean = |from: usize, to: usize| {
        let all: Vec<Rate> = (from..to).filter(|member| *member != chair).map(said).collect();
        let of = |one: fn(&Rate) -> f64| all.iter().map(one).sum::<f64>().max(0.0) / all.len().max(1) as f64;
        Rate { messages: of(|rate| rate.messages), bytes: of(|rate| rate.bytes) }
    };
    let voters = shape.voters;
    Ok(Rest { chair: said(chair), voter: mean(0, voters), follower: mean(voters, shape.members()) })
}

/// What happens to the last member that is not the leader; it restarts before the next change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    Nobody,
    /// It crashes as soon as it knows of the proposal, so its lease and the linger have to expire.
    Heard,
    /// It crashes just before the proposal, so the time during which it may still act on its own and the linger have to
    /// expire.
    Unheard,
}

/// Time from each proposal until it is in force and all members that are up act on it, ms. Returns `Late` if one takes
/// longer than 20 s, or if there was any breach.
pub fn changes(seed: u64, shape: Shape, down: Down, count: u64) -> Result<Vec<f64>, Late> {
    let mut world = formed(seed, shape)?;
    let mut took = vec![];
    for no in 1..=count {
        let none = |now| move || Late { now, why: "no chair, or nobody beside it".into() };
        let chair = world.chair().ok_or_else(none(world.now()))?;
        let last = (0..shape.members()).rev().find(|member| *member != chair);
        let last = last.ok_or_else(none(world.now()))?;
        let at = (0..shape.voters).cycle().skip(no as usize).find(|member| *member != last);
        let at = at.ok_or_else(none(world.now()))?;
        if down == Down::Unheard {
            world.crash(last);
        }
        let id = world.propose(at, no);
        let from = world.now();
        if down == Down::Heard {
            world.run_till(
                "it knows",
                2_000.0,
                |world| matches!(world.act(last), Act::On { stage, .. } if stage.speaks_of(RevisionNo(no))),
            )?;
            world.crash(last);
        }
        let all = |world: &World| world.answer(id).is_some() && world.all_on_one_stage();
        world.run_till("it is in force", 20_000.0, all)?;
        took.push(world.now() - from);
        if down != Down::Nobody {
            world.start(last, DiskIs::Kept);
            world.run_for(10_000.0);
        }
    }
    match world.breaches() {
        [] => Ok(took),
        breaches => Err(Late { now: world.now(), why: format!("{breaches:?}") }),
    }
}

/// The disk of a single voter whose log of `revisions` revisions was never compacted, and the settings it starts with.
pub fn long_log(revisions: u64) -> (Facts, Kept) {
    let me = Name::from("s0");
    let mut entries = vec![Logged { term: Term(1), entry: Entry::Begun }];
    for no in 1..=revisions {
        let revision = World::revision(no);
        let no = RevisionNo(no);
        let three = [Entry::Proposed { revision, by: me.clone() }, Entry::Joint(no), Entry::InForce(no)];
        entries.extend(three.map(|entry| Logged { term: Term(1), entry }));
    }
    let base = Base { voters: vec![(me, Some(Disk(1)))], ..Base::default() };
    let base = Some((Default::default(), base));
    let kept = Kept { disk: Some(Disk(1)), term: Term(1), voted: None, base, entries };
    (Shape::of(1, 0).facts(0, 1, Some(Disk(1)), 0), kept)
}

/// Size in bytes of the snapshot message (without members) for a voter that has none of the revisions, and of the log
/// that it replaces.
pub fn behind(revisions: u64, log: &[Logged]) -> (usize, usize) {
    let all = log.iter().map(|logged| postcard::to_stdvec(logged).map_or(0, |bytes| bytes.len())).sum();
    let mut base = Base::default();
    base.texts.push(World::revision(revisions));
    let said = Said::Base { term: Term(1), round: 1, at: Default::default(), base: Box::new(base) };
    (postcard::to_stdvec(&said).map_or(0, |bytes| bytes.len()), all)
}
