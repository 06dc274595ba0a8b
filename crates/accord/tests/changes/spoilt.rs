//! Corrupted, late or huge messages do no harm. Plausible statements of a member are believed; outsiders have
//! to be kept out by the connections between members.

use amberarch_accord::{
    AskLease, Base, Boot, Digest, Disk, Ends, Entry, Length, Lengths, Logged, Name, Place, Revision,
    RevisionNo, Said, Stage, StageNo, Term, Wish,
};
use amberarch_worlds::World;
use proptest::prelude::*;

use crate::fleet::{assert_no_breach, change, formed_of, LEASES_OVER_MS, SHORT_WAIT_MS};

const HUGE: u64 = u64::MAX;

fn corrupted_text() -> Revision {
    Revision { no: RevisionNo(HUGE), digest: Digest::of("another"), text: "this one".into() }
}

fn lease_request(lengths: Lengths) -> AskLease {
    AskLease {
        asked: HUGE,
        boot: Boot(HUGE),
        disk: Some(Disk(HUGE)),
        stage: StageNo(HUGE),
        settled: true,
        verdict: Some((RevisionNo(HUGE), Digest::of(""), Ok(()))),
        barred: true,
        has: vec![],
        leased: f64::NAN,
        lengths,
    }
}

/// One message of each kind, each with an invalid part.
fn corrupted(kind: usize, term: u64, index: u64, lengths: Lengths) -> Said {
    let entry = |term| Logged { term: Term(term), entry: Entry::InForce(RevisionNo(index)) };
    let (term, index) = (Term(term), Place(index));
    match kind {
        0 => Said::AskVote {
            term: Term(HUGE),
            last: (term, index),
            trial: false,
            disk: Disk(0),
            lengths,
            told: true,
        },
        1 => Said::Vote { term: Term(HUGE), given: true, trial: true, disk: Disk(0) },
        2 => Said::Append {
            term,
            round: HUGE,
            after: (term, index),
            entries: vec![entry(HUGE)],
            stands: index,
        },
        3 => Said::Append {
            term: Term(HUGE),
            round: 1,
            after: (term, Place(0)),
            entries: vec![],
            stands: index,
        },
        4 => Said::Appended { term, round: HUGE, agrees: Ok(index), disk: Disk(0) },
        5 => Said::Base { term, round: 1, at: (Term(HUGE), index), base: Box::default() },
        6 => Said::Base { term: Term(0), round: 1, at: (Term(0), index), base: Box::new(Base::default()) },
        7 => Said::AskLease(lease_request(lengths)),
        8 => Said::Lease {
            asked: HUGE,
            term,
            stage: Stage { no: StageNo(HUGE), ..Stage::default() },
            length: Length { acts: f64::INFINITY, knows: f64::NAN },
            texts: vec![corrupted_text()],
            voters: vec![],
        },
        9 => Said::NotChair { asked: HUGE, chair: Some("nobody".into()) },
        10 => Said::Heed { term, stage: StageNo(HUGE) },
        11 => Said::Wish { id: HUGE, boot: Boot(HUGE), term, wish: Wish::Revision(corrupted_text()) },
        12 => Said::Wish { id: 1, boot: Boot(HUGE), term, wish: Wish::Withdraw(RevisionNo(HUGE)) },
        13 => Said::LetGo { term, last: lease_request(lengths) },
        14 => Said::LetGone { asked: HUGE, boot: Boot(HUGE), term, taken: true },
        15 => Said::Stand {
            term,
            leases: vec![Ends {
                name: "s0".into(),
                boot: None,
                acts: f64::NAN,
                knows: f64::NEG_INFINITY,
                gone: true,
            }],
        },
        _ => Said::Answer { id: 1, boot: Boot(HUGE), outcome: Ok(StageNo(HUGE)) },
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]
    #[test]
    fn spoilt_messages_come_in_the_midst_of_changes(
        messages in prop::collection::vec((0usize..4, 0usize..4, 0usize..17, 0u64..4, any::<u64>()), 1..60),
    ) {
        let mut world = formed_of(3, 1);
        change(&mut world, 0, 1, SHORT_WAIT_MS);
        let lengths = world.steward(0).unwrap().facts().lengths();
        for (count, (from, to, kind, term, index)) in messages.into_iter().enumerate() {
            world.inject(from, to, corrupted(kind, term, index, lengths));
            world.run_for(7.0);
            if count == 5 {
                world.propose(2, 2);
            }
        }
        // A run that never existed may have seemed to hold a lease, which has to end first.
        world.run_for(LEASES_OVER_MS);
        world.run_till("all act", LEASES_OVER_MS, World::all_on_one_stage).unwrap();
        change(&mut world, 3, 3, 2.0 * LEASES_OVER_MS);
        assert_no_breach(world);
    }
}

#[test]
fn a_stranger_says_what_only_members_may() {
    let mut world = formed_of(3, 1);
    let stranger = world.add(true);
    assert!(!world.newest().unwrap().1.followers.contains(&Name::from(format!("s{stranger}").as_str())));
    let said = Said::AskVote {
        term: Term(1 << 20),
        last: (Term(1 << 20), Place(1 << 20)),
        trial: false,
        disk: Disk(9),
        lengths: world.steward(0).unwrap().facts().lengths(),
        told: true,
    };
    let leader = world.chair().unwrap();
    (0..3).for_each(|to| world.inject(stranger, to, said.clone()));
    world.run_for(SHORT_WAIT_MS);
    assert_eq!(world.chair(), Some(leader));
    change(&mut world, 0, 1, SHORT_WAIT_MS);
    assert_no_breach(world);
}
