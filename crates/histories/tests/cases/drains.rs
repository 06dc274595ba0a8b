//! The check of drains, just within its bound and just beyond it.

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_histories::{DrainBounds, Drains, Line, Verdict, What};

const MS: u64 = 1_000_000;
const ALLOWED: u64 = 2_300;

#[derive(Default)]
struct Lines(Vec<Line>);

impl Lines {
    fn say(mut self, at: u64, who: &str, what: What) -> Lines {
        self.0.push(Line { at: at * MS, who: who.into(), what });
        self
    }

    fn told(self, at: u64, state: HostState) -> Lines {
        self.say(at, "controller:a", What::ListTold { host: "h".into(), state })
    }

    fn joined(self, at: u64) -> Lines {
        self.say(at, "proxy:1", What::Joined { controller: "controller:a".into() })
    }

    fn sends(self, at: u64, hosts: &[&str]) -> Lines {
        let hosts = hosts.iter().map(|host| host.to_string()).collect();
        self.say(at, "proxy:1", What::MaySend { hosts })
    }

    fn suspended(self, at: u64, until: u64) -> Lines {
        self.say(at, "controller:a", What::LimitsWait { until: until * MS })
    }

    fn judged(self) -> Verdict {
        let mut drains = Drains::new(DrainBounds { grace: 2_000.0, slack: 300.0 });
        self.0.iter().for_each(|line| drains.feed(line));
        drains.finish()
    }
}

/// A proxy that may send to the host, whose drain is told at 1 s.
fn draining(state: HostState) -> Lines {
    Lines::default().joined(0).sends(1, &["h", "other"]).told(1_000, state)
}

#[test]
fn a_proxy_that_stops_within_the_grace_is_no_breach_and_one_just_after_it_is() {
    for state in [Draining, Gone] {
        let within = draining(state).sends(1_000 + ALLOWED, &["other"]).judged();
        assert_eq!((within.count(), within.looked), (0, 1));
        let beyond = draining(state).sends(1_001 + ALLOWED, &["other"]).judged();
        assert_eq!((beyond.count(), beyond.looked), (1, 1));
        assert!(beyond.violations[0].says.contains("proxy:1 may send to h for 2301 ms"));
    }
}

#[test]
fn a_proxy_that_never_stops_is_a_breach_at_the_end() {
    let ends = |at| draining(Draining).sends(at, &["h"]).judged().count();
    assert_eq!((ends(1_000 + ALLOWED), ends(1_001 + ALLOWED)), (0, 1));
}

#[test]
fn a_notice_that_is_repeated_does_not_begin_the_grace_anew() {
    let lines = draining(Draining).told(2_000, Draining).told(3_000, Gone);
    assert_eq!(lines.sends(1_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_host_that_is_ready_again_ends_the_limit_and_a_second_drain_begins_another() {
    let ready = draining(Draining).told(1_000 + ALLOWED, Ready);
    assert_eq!(ready.sends(9_000, &[]).judged().count(), 0);
    let late = draining(Draining).told(1_001 + ALLOWED, Ready);
    assert_eq!(late.sends(9_000, &[]).judged().count(), 1);
    let second = || draining(Draining).told(2_000, Ready).told(3_000, Draining);
    assert_eq!(second().sends(3_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(second().sends(3_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_limit_runs_from_a_later_joining_and_ends_with_the_leaving() {
    let again = || draining(Draining).say(2_000, "proxy:1", What::Left).joined(4_000);
    assert_eq!(again().sends(4_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(again().sends(4_001 + ALLOWED, &[]).judged().count(), 1);
    let left = draining(Draining).say(1_001 + ALLOWED, "proxy:1", What::Left);
    assert_eq!(left.judged().count(), 1);
}

#[test]
fn suspended_time_does_not_count_and_overlapping_spans_count_once() {
    let lines = || draining(Draining).suspended(1_500, 2_000).suspended(1_800, 2_500).suspended(1_900, 2_100);
    assert_eq!(lines().sends(2_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(lines().sends(2_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_notice_to_another_controller_binds_nobody_here() {
    let told = What::ListTold { host: "h".into(), state: Draining };
    let lines = Lines::default().joined(0).sends(1, &["h"]).say(1_000, "controller:b", told);
    let verdict = lines.sends(9_000, &[]).judged();
    assert_eq!((verdict.count(), verdict.looked), (0, 0));
}
