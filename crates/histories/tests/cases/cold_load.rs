//! Loads of hosts that have just started.

use amberarch_histories::{ColdLoad, ColdLoadBounds, Line, Verdict, What};

const BOUNDS: ColdLoadBounds = ColdLoadBounds {
    initial_capacity: 0.2,
    warmup: 10_000.0,
    failure_load: 4.0,
    failure_after: 2_000.0,
    grace: 3_000.0,
    slack: 300.0,
};

/// A history of one controller, one proxy that follows it, and one host that starts at 1 s and can do two ms of work per
/// ms once it is warm.
struct History(Vec<Line>);

impl History {
    fn new() -> History {
        let history = History(vec![]);
        let joined = What::Joined { controller: "controller:a".into() };
        history.event(0, "proxy:1", joined).event(1_000, "host:h", What::HostStarted { capacity: 2.0 })
    }

    fn event(mut self, at_ms: u64, who: &str, what: What) -> History {
        self.0.push(Line { at: at_ms * 1_000_000, who: who.into(), what });
        self
    }

    fn told(self, at_ms: u64) -> History {
        self.event(at_ms, "controller:a", What::StartTold { host: "h".into() })
    }

    /// Txns from `from` to `until` every 100 ms, with `work_ms` per ms of time.
    fn load(mut self, from: u64, until: u64, work_ms: f64, ordered_at_ms: Option<u64>) -> History {
        for at in (from..until).step_by(100) {
            let ordered_at = ordered_at_ms.map(|at| at * 1_000_000);
            let what = What::Offered { host: "h".into(), work_ms: 100.0 * work_ms, ordered_at };
            self = self.event(at, "proxy:1", what);
        }
        self
    }

    fn judge(self) -> (Verdict, f64) {
        let mut check = ColdLoad::new(BOUNDS);
        self.0.iter().for_each(|line| check.feed(line));
        let largest = check.largest();
        (check.finish(), largest)
    }
}

#[test]
fn a_host_that_is_sent_more_than_it_survives_for_the_whole_window_fails_once() {
    // 2 s after the start it can do 0.36 of 2 ms per ms, and survives four times that.
    let (verdict, largest) = History::new().told(1_100).load(1_200, 6_000, 3.5, Some(1_150)).judge();
    assert_eq!((verdict.looked, verdict.count()), (1, 1));
    assert!(verdict.violations[0].says.contains("h fails"), "{}", verdict.violations[0].says);
    assert!(largest > 4.0, "{largest}");
}

#[test]
fn a_short_burst_within_the_budget_of_a_window_is_survived() {
    let (verdict, largest) = History::new().told(1_100).load(3_000, 3_900, 5.0, Some(1_150)).judge();
    assert_eq!(verdict.count(), 0);
    assert!(largest > 2.0, "{largest}");
}

#[test]
fn a_load_from_proxies_that_do_not_know_of_the_start_breaks_no_rule() {
    let (verdict, _) = History::new().told(1_100).load(1_200, 4_000, 5.0, Some(900)).judge();
    assert_eq!(verdict.count(), 0, "the last message was sent before the notice, and the grace runs");
    let (verdict, _) = History::new().load(1_200, 4_000, 5.0, Some(1_150)).judge();
    assert_eq!(verdict.count(), 0, "the controller was not notified");
}

#[test]
fn proxies_count_as_knowing_once_the_grace_is_over() {
    let (verdict, _) = History::new().told(1_100).load(4_500, 8_000, 9.0, Some(900)).judge();
    assert_eq!(verdict.count(), 1);
}

#[test]
fn suspended_time_does_not_count_toward_the_grace() {
    let wait = What::LimitsWait { until: 9_000_000_000 };
    let history = History::new().told(1_100).event(1_200, "controller:a", wait);
    let (verdict, _) = history.load(4_500, 8_000, 9.0, Some(900)).judge();
    assert_eq!(verdict.count(), 0);
}

#[test]
fn a_warm_host_is_not_judged() {
    let (verdict, _) = History::new().told(1_100).load(11_000, 15_000, 20.0, Some(1_150)).judge();
    assert_eq!(verdict.count(), 0);
}
