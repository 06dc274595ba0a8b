//! Builds a test member from its number and its round.

use std::sync::Arc;

use amberarch_roster::{Health, Member, Row, Source, Told};

pub fn member(number: u32, round: u64) -> Arc<Member> {
    let row = Row {
        dial: format!("127.0.0.1:{}", 3_000 + number),
        zone: "teika".into(),
        kind: "m2".into(),
        pod: 1,
        weight: 1.0 + f64::from(number),
        born: 0.0,
        health: Health::On,
    };
    let told = Told { epoch: 0, seq: round, at: 1e12 + round as f64, source: Source::Discovery, row };
    Arc::new(Member::new(format!("s-{number}"), told))
}
