use std::time::Duration;

use amberarch_steward::clock::UnixClock;

/// Guards against reading the wall clock again: after the first reading only the monotonic clock advances it.
#[test]
fn unix_time_runs_on_from_its_first_reading() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let clock = UnixClock::reading(1e12);
        assert_eq!(clock.now_ms(), 1e12);
        tokio::time::advance(Duration::from_secs(3_600)).await;
        assert_eq!(clock.now_ms(), 1e12 + 3.6e6);
        // The machine's own clock advanced by almost nothing.
        let machine = UnixClock::read().now_ms();
        assert!((machine - UnixClock::read().now_ms()).abs() < 60_000.0);
    });
}
