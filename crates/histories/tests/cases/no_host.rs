//! The check of proxies without a usable host, with cases just within and just beyond its bound.

use amberarch_histories::HostState::{self, Draining, Gone, Ready};
use amberarch_histories::{Line, NoHost, NoHostBounds, Verdict, What};

const MS: u64 = 1_000_000;
const ALLOWED: u64 = 3_300;

#[derive(Default)]
struct Lines(Vec<Line>);

impl Lines {
    fn event(mut self, at: u64, who: &str, what: What) -> Lines {
        self.0.push(Line { at: at * MS, who: who.into(), what });
        self
    }

    fn listed(self, at: u64, host: &str, state: HostState) -> Lines {
        self.event(at, "controller:a", What::ListTold { host: host.into(), state })
    }

    fn joined(self, at: u64) -> Lines {
        self.event(at, "proxy:1", What::Joined { controller: "controller:a".into() })
    }

    fn sends(self, at: u64, hosts: &[&str]) -> Lines {
        let hosts = hosts.iter().map(|host| host.to_string()).collect();
        self.event(at, "proxy:1", What::MaySend { hosts })
    }

    fn judged(self) -> Verdict {
        let mut check = NoHost::new(NoHostBounds { empty_for: 3_000.0, slack: 300.0 });
        self.0.iter().for_each(|line| check.feed(line));
        check.finish()
    }
}

/// A proxy without a host from 1 s on, while one is listed as ready.
fn without_host() -> Lines {
    Lines::default().listed(0, "h", Ready).sends(0, &["h"]).joined(0).sends(1_000, &[])
}

#[test]
fn a_proxy_that_gets_a_host_within_the_limit_passes_and_one_just_after_it_is_a_violation() {
    let within = without_host().sends(1_000 + ALLOWED, &["h"]).judged();
    assert_eq!((within.count(), within.looked), (0, 1));
    let beyond = without_host().sends(1_001 + ALLOWED, &["h"]).judged();
    assert_eq!((beyond.count(), beyond.looked), (1, 1));
    assert!(beyond.violations[0].says.contains("proxy:1 has no host for 3301 ms"));
}

#[test]
fn a_proxy_that_never_gets_a_host_is_a_violation_at_the_end() {
    let ends = |at| without_host().listed(at, "other", Gone).judged().count();
    assert_eq!((ends(1_000 + ALLOWED), ends(1_001 + ALLOWED)), (0, 1));
}

#[test]
fn while_no_host_is_listed_as_ready_nothing_counts() {
    let none = without_host().listed(2_000, "h", Draining).listed(9_000, "h", Ready);
    assert_eq!(none.sends(9_000 + ALLOWED, &["h"]).judged().count(), 0);
    let late = without_host().listed(2_000, "h", Draining).listed(9_000, "h", Ready);
    assert_eq!(late.sends(9_001 + ALLOWED, &["h"]).judged().count(), 1);
}

#[test]
fn suspended_time_and_time_without_a_controller_do_not_count() {
    let suspended = |at| {
        let lines = without_host()
            .event(2_000, "controller:a", What::LimitsWait { until: 4_000 * MS })
            .sends(at, &["h"]);
        lines.judged().count()
    };
    assert_eq!((suspended(3_000 + ALLOWED), suspended(3_001 + ALLOWED)), (0, 1));
    let away = |at| {
        let lines = without_host().event(2_000, "proxy:1", What::Left).joined(9_000);
        lines.sends(at, &["h"]).judged().count()
    };
    assert_eq!((away(9_000 + ALLOWED), away(9_001 + ALLOWED)), (0, 1));
}
