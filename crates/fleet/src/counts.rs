//! Counters of messages sent, received and rejected, and of durable writes; readable from any thread.

use prometheus_client::metrics::counter::Counter;
use std::fmt;

macro_rules! counts {
    ($($name:ident)*) => {
        #[derive(Default)]
        pub struct Counts { $(pub $name: Counter),* }

        impl fmt::Display for Counts {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let counts = [$(format!(concat!(stringify!($name), "={}"), self.$name.get())),*];
                f.write_str(&counts.join(" "))
            }
        }
    };
}

counts! {
    dials broken said heard lost
    other_fleet not_for_me not_a_member own_name named_twice spoilt huge
    lasted last_failed without_disk proposals refused_proposals let_go let_gone
}
