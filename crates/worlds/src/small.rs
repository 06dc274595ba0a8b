//! The configurations for exhaustive exploration: three voters with an elected leader and revision 1 in force, and the
//! actions and faults that may follow.

use amberarch_accord::{Bug, Length, RevisionNo};

use crate::{Choice, Late, Plan, Shape, Small};

/// The shortest allowed times, all multiples of one step: fewer timers expire in each lease, and states recur.
fn shape() -> Shape {
    let mut shape = Shape::of(3, 0);
    (shape.beat, shape.election) = (120.0, 360.0);
    (shape.linger, shape.slack, shape.drift) = (0.0, 0.0, 0.0);
    shape.length = Length { acts: 1_200.0, knows: 1_200.0 };
    shape
}

/// The common initial state of all explorations, and its leader. Returns `Late` if the fleet does not form.
pub fn begin(bug: Option<Bug>) -> Result<(Small, usize), Late> {
    let late = |why: &str| Late { now: 0.0, why: why.into() };
    let mut small = Small::new(shape(), bug).ok_or_else(|| late("such a world can't be"))?;
    small.calm(3_600.0);
    let chair = small.chair().ok_or_else(|| late("no chair within ten elections"))?;
    small.left.proposals = vec![(chair, 1)];
    small.choose(Choice::Propose(chair, 1));
    small.calm(3_600.0);
    match small.all_on() == Some(RevisionNo(1)) && small.chair() == Some(chair) {
        true => Ok((small, chair)),
        false => Err(late("revision 1 is not in force everywhere")),
    }
}

/// Number of states checked of a fleet that is not explored completely: those reached by the fewest choices.
const MOST_STATES: usize = 200_000;

/// One configuration to explore, given by the actions and faults that may happen.
#[derive(Clone, Debug)]
pub struct SmallPlan {
    pub what: &'static str,
    pub plan: Plan,
    /// Maximum number of states to check; `None`: it is explored completely.
    pub most: Option<usize>,
}

/// The explored configurations. The leader is member 0. Members 1 and 2 differ only by name, so faults of member 2 alone
/// are left out.
pub fn small_plans() -> Vec<SmallPlan> {
    let plan = Plan { terms: 1, ..Plan::default() };
    let two = vec![(0, 2), (1, 3)];
    let calm = Plan { proposals: two.clone(), terms: 2, calm: Some(360), ..Plan::default() };
    let whole = |what, plan| SmallPlan { what, plan, most: None };
    let part = |what, plan| SmallPlan { what, plan, most: Some(MOST_STATES) };
    vec![
        whole("nothing", plan.clone()),
        whole("two proposals, in calm steps", calm.clone()),
        whole("a proposal at the chair", Plan { proposals: vec![(0, 2)], ..plan.clone() }),
        whole("two proposals", Plan { proposals: two, ..plan.clone() }),
        whole("a follower stops", Plan { pauses: vec![1], ..plan.clone() }),
        whole("a message to a follower comes late", Plan { lates: vec![(0, 1)], ..plan.clone() }),
        whole("a message to the chair comes late", Plan { lates: vec![(1, 0)], ..plan.clone() }),
        whole("a follower crashes", Plan { restarts: vec![1], ..plan.clone() }),
        whole("two proposals, the chair crashes, in calm steps", Plan { restarts: vec![0], ..calm.clone() }),
        whole("two proposals, a follower crashes, in calm steps", Plan { restarts: vec![1], ..calm.clone() }),
        whole("two proposals, the chair stops, in calm steps", Plan { pauses: vec![0], ..calm.clone() }),
        whole("two proposals, a follower stops, in calm steps", Plan { pauses: vec![1], ..calm.clone() }),
        part("a follower is cut off", Plan { cuts: vec![1], ..plan.clone() }),
        part("the chair crashes", Plan { restarts: vec![0], ..plan.clone() }),
        part("two proposals, the chair is cut off, in calm steps", Plan { cuts: vec![0], ..calm.clone() }),
        part("two proposals, a follower is cut off, in calm steps", Plan { cuts: vec![1], ..calm }),
    ]
}
