//! The checks of restarts and of calls after the end, with cases just within and just beyond their bounds.

use amberarch_histories::{CallsAfterEnd, Line, Readiness, Verdict, What};

const MS: u64 = 1_000_000;

fn lines(events: &[(u64, What)]) -> Vec<Line> {
    let line =
        |(at, what): &(u64, What)| Line { at: at * MS, who: "controller:a".into(), what: what.clone() };
    events.iter().map(line).collect()
}

fn readiness(events: &[(u64, What)]) -> Verdict {
    let mut check = Readiness::new(10_000.0);
    lines(events).iter().for_each(|line| check.feed(line));
    check.finish()
}

fn calls(events: &[(u64, What)]) -> Verdict {
    let mut check = CallsAfterEnd::new(50.0);
    lines(events).iter().for_each(|line| check.feed(line));
    check.finish()
}

#[test]
fn a_restart_is_ready_within_its_time_or_late() {
    let restart =
        |at| readiness(&[(0, What::Started), (1, What::Died), (100, What::Started), (at, What::Ready)]);
    assert_eq!((restart(10_100).count(), restart(10_100).looked), (0, 1));
    assert_eq!((restart(10_101).count(), restart(10_101).looked), (1, 1));
}

#[test]
fn the_first_start_is_no_restart() {
    assert_eq!(readiness(&[(0, What::Started), (20_000, What::Ready)]).looked, 0);
}

#[test]
fn a_restart_that_ends_before_it_is_ready_or_never_is_ready_is_late() {
    let ended = [(1, What::Died), (100, What::Started), (200, What::Died)];
    assert_eq!(readiness(&ended).count(), 1);
    let never = |at| readiness(&[(1, What::Died), (100, What::Started), (at, What::Called)]);
    assert_eq!((never(10_100).count(), never(10_100).open), (0, 1));
    assert_eq!((never(10_101).count(), never(10_101).looked), (1, 1));
}

#[test]
fn a_call_after_the_end_is_found_unless_it_was_in_transit_or_is_of_a_new_process() {
    let call = |at| calls(&[(0, What::Called), (100, What::Died), (at, What::Called)]);
    assert_eq!((call(150).count(), call(150).looked), (0, 2));
    assert_eq!(call(151).count(), 1);
    let restarted = [(100, What::Died), (500, What::Started), (900, What::Called)];
    assert_eq!(calls(&restarted).count(), 0);
}
