mod fleet;

use amberarch_core::*;
use expect_test::expect;
use fleet::Fleet;

#[test]
fn a_run_of_fails_gates_and_a_run_of_passes_lifts() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.probes(0, &[Outcome::Errored, Outcome::Errored, Outcome::Errored]);
    fleet.probes(0, &[Outcome::Answered, Outcome::Answered]);
    fleet.run(6);
    expect![[r#"
        2000 errored host0
        3000 errored host0
        4000 errored host0
        4000 withdraw host0
        5000 answered host0
        6000 answered host0
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn with_every_host_gated_gates_are_ignored() {
    let mut fleet = Fleet::new(1, 2);
    fleet.join(0);
    fleet.trace.clear();
    for _ in 0..3 {
        fleet.probes(0, &[Outcome::Unreachable]);
        fleet.probes(1, &[Outcome::Unreachable]);
    }
    expect![[r#"
        2000 unreachable host0
        3000 unreachable host1
        4000 unreachable host0
        5000 unreachable host1
        6000 unreachable host0
        6000 withdraw host0
        7000 unreachable host1
        7000 restore host0
    "#]]
    .assert_eq(&fleet.trace);
}

#[test]
fn a_drain_is_withdrawn_at_once_and_a_new_start_returns_in_steps() {
    let mut fleet = Fleet::new(1, 3);
    fleet.join(0);
    fleet.trace.clear();
    fleet.list(1, Standing::Draining, None);
    fleet.run(2);
    fleet.list(1, Standing::On, Some(1_400.0));
    fleet.run(110);
    expect![[r#"
        1000 withdraw host1
        1000 t0 host1 weight 0
        2800 t0 host1 weight 0.25
        2800 restore host1
        9000 t0 host1 weight 0.5
        19000 t0 host1 weight 1
    "#]]
    .assert_eq(&fleet.trace);
}
