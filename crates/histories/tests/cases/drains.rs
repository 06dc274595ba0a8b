//! The check of drains, with cases just within and just beyond its bound.

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_histories::{DrainBounds, Drains, Line, Verdict, What};

const MS: u64 = 1_000_000;
const ALLOWED: u64 = 2_300;

#[derive(Default)]
struct Lines(Vec<Line>);

impl Lines {
    fn event(mut self, at: u64, who: &str, what: What) -> Lines {
        self.0.push(Line { at: at * MS, who: who.into(), what });
        self
    }

    fn listed(self, at: u64, state: HostState) -> Lines {
        self.event(at, "controller:a", What::ListTold { host: "h".into(), state })
    }

    fn joined(self, at: u64) -> Lines {
        self.event(at, "proxy:1", What::Joined { controller: "controller:a".into() })
    }

    fn sends(self, at: u64, hosts: &[&str]) -> Lines {
        let hosts = hosts.iter().map(|host| host.to_string()).collect();
        self.event(at, "proxy:1", What::MaySend { hosts })
    }

    fn suspended(self, at: u64, until: u64) -> Lines {
        self.event(at, "controller:a", What::LimitsWait { until: until * MS })
    }

    fn judged(self) -> Verdict {
        let mut drains = Drains::new(DrainBounds { grace: 2_000.0, slack: 300.0 });
        self.0.iter().for_each(|line| drains.feed(line));
        drains.finish()
    }
}

/// A proxy that may send to a host for which a drain is reported at 1 s.
fn draining(state: HostState) -> Lines {
    Lines::default().joined(0).sends(1, &["h", "other"]).listed(1_000, state)
}

#[test]
fn a_proxy_that_stops_within_the_grace_passes_and_one_just_after_it_is_a_violation() {
    for state in [Draining, Gone] {
        let within = draining(state).sends(1_000 + ALLOWED, &["other"]).judged();
        assert_eq!((within.count(), within.looked), (0, 1));
        let beyond = draining(state).sends(1_001 + ALLOWED, &["other"]).judged();
        assert_eq!((beyond.count(), beyond.looked), (1, 1));
        assert!(beyond.violations[0].says.contains("proxy:1 may send to h for 2301 ms"));
    }
}

#[test]
fn a_proxy_that_never_stops_is_a_violation_at_the_end() {
    let ends = |at| draining(Draining).sends(at, &["h"]).judged().count();
    assert_eq!((ends(1_000 + ALLOWED), ends(1_001 + ALLOWED)), (0, 1));
}

#[test]
fn a_repeated_notice_does_not_restart_the_grace() {
    let lines = draining(Draining).listed(2_000, Draining).listed(3_000, Gone);
    assert_eq!(lines.sends(1_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_host_that_is_ready_again_ends_the_limit_and_a_second_drain_begins_another() {
    let ready = draining(Draining).listed(1_000 + ALLOWED, Ready);
    assert_eq!(ready.sends(9_000, &[]).judged().count(), 0);
    let late = draining(Draining).listed(1_001 + ALLOWED, Ready);
    assert_eq!(late.sends(9_000, &[]).judged().count(), 1);
    let second = || draining(Draining).listed(2_000, Ready).listed(3_000, Draining);
    assert_eq!(second().sends(3_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(second().sends(3_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_limit_runs_from_a_later_joining_and_ends_with_the_leaving() {
    let again = || draining(Draining).event(2_000, "proxy:1", What::Left).joined(4_000);
    assert_eq!(again().sends(4_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(again().sends(4_001 + ALLOWED, &[]).judged().count(), 1);
    let left = draining(Draining).event(1_001 + ALLOWED, "proxy:1", What::Left);
    assert_eq!(left.judged().count(), 1);
}

#[test]
fn suspended_time_does_not_count_and_overlapping_spans_count_once() {
    let lines = || draining(Draining).suspended(1_500, 2_000).suspended(1_800, 2_500).suspended(1_900, 2_100);
    assert_eq!(lines().sends(2_000 + ALLOWED, &[]).judged().count(), 0);
    assert_eq!(lines().sends(2_001 + ALLOWED, &[]).judged().count(), 1);
}

#[test]
fn a_notice_to_another_controller_does_not_apply() {
    let listed = What::ListTold { host: "h".into(), state: Draining };
    let lines = Lines::default().joined(0).sends(1, &["h"]).event(1_000, "controller:b", listed);
    let verdict = lines.sends(9_000, &[]).judged();
    assert_eq!((verdict.count(), verdict.looked), (0, 0));
}
