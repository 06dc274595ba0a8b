//! Randomized tests of the judge, at small sizes, against a relay and proxies that do anything that the
//! channel allows.

use amberarch_emulator::{Arrivals, Spoilt, Trial};

fn trials(seeds: std::ops::Range<u64>, spoilt: Spoilt, changes: bool) -> Trial {
    let mut all = Trial::default();
    for seed in seeds {
        let found = Arrivals::new(seed, spoilt).play(150, changes);
        if spoilt == Spoilt::No {
            assert_eq!((found.outside, found.settled_falsely), (0, 0), "seed {seed}: {found:?}");
        }
        all.add(found);
        if spoilt != Spoilt::No && found.outside + found.settled_falsely > 0 {
            break;
        }
    }
    all
}

#[test]
fn calls_repeat_marks_are_lost_and_proxies_come_and_go() {
    let found = trials(0..300, Spoilt::No, false);
    assert!(found.replies > 10_000 && found.refused < found.replies, "{found:?}");
}

#[test]
fn the_reach_and_the_list_change_in_the_midst() {
    let found = trials(10_000..10_000 + 500, Spoilt::No, true);
    assert!(found.settled > 50, "{found:?}");
}

#[test]
fn a_judge_that_is_spoilt_is_found_out() {
    for spoilt in [Spoilt::NoRepeats, Spoilt::OneForAll, Spoilt::NoLinger, Spoilt::NoGivingUp, Spoilt::Plain]
    {
        let found = trials(0..1_500, spoilt, spoilt != Spoilt::Plain);
        assert!(found.outside + found.settled_falsely > 0, "{spoilt:?} was not found: {found:?}");
    }
}
