use amberarch_steward::counters::Counters;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;

/// Guards against a counter that is missing in the line on SIGUSR1, or that differs between the forms for people and machines.
#[test]
fn every_count_is_told_once_by_its_name_in_both_forms() {
    let mut counters = Counters::default();
    let stage = Gauge::<i64>::default();
    counters.shown.register("stage", "of a part of its own", stage.clone());
    stage.set(-3);
    counters.connections.one();
    counters.events.more(1_000);
    let told = counters.to_string();
    assert!(told.starts_with("connections=1 connections_joined=0 connections_refused=0 "), "{told}");
    assert!(told.contains(" events=1000 orders=0 ") && told.ends_with(" stage=-3"), "{told}");

    let mut text = String::new();
    encode(&mut text, &counters.shown).unwrap();
    assert!(text.contains("\nconnections_total 1\n") && text.contains("\nstage -3\n"), "{text}");
    assert_eq!(text.matches("# TYPE ").count(), told.split(' ').count());
}
