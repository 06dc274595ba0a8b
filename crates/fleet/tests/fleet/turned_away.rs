//! Rejected messages (for another member, or malformed), and the advice of each error for operators.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use amberarch_accord::{Digest, FleetId, Name, Refusal, RevisionNo, Unfit};
use amberarch_fleet::{Admission, Counts, Envelope, Fault, Malformed, Refused, StoreFault};

fn envelope(fleet: &str, from: &str, boot: u64, to: &str) -> Envelope {
    Envelope { fleet: fleet.into(), from: from.into(), boot, to: to.into(), said: None }
}

fn admission() -> (Admission, Arc<Counts>) {
    let (names, counts): (BTreeSet<Name>, Arc<Counts>) = (["a", "b"].map(Name::from).into(), Arc::default());
    (Admission::new(FleetId("lv".into()), Name::from("a"), names, counts.clone()), counts)
}

#[test]
fn messages_of_other_fleets_of_unknown_or_duplicate_names_and_malformed_ones_are_rejected_and_counted() {
    let (admission, counts) = admission();
    let said = |envelope| admission.admit(envelope).expect_err("nothing good in it").to_string();
    let long = "x".repeat(1 << 20);
    let all = [
        said(envelope("ee", "b", 1, "a")),
        said(envelope(&long, "b", 1, "a")),
        said(envelope("lv", "b", 1, "c")),
        said(envelope("lv", "c", 1, "a")),
        said(envelope("lv", "a", 1, "a")),
        said(envelope("lv", "b", 1, "a")),
        said(envelope("lv", "b", 2, "a")),
        said(envelope("lv", "b", 1, "a")),
    ];
    assert!(all.iter().all(|text| text.len() < 250), "{all:?}");
    let found = |place: usize, what: &str| assert!(all[place].contains(what), "{}", all[place]);
    found(0, "this is fleet \"lv\"");
    found(2, "a message for \"c\"");
    found(3, "no member here");
    found(4, "own name");
    found(5, "can't be read");
    found(7, "two processes speak as \"b\"");
    let counted =
        [&counts.other_fleet, &counts.not_for_me, &counts.not_a_member, &counts.own_name, &counts.spoilt];
    assert_eq!(counted.map(|count| count.get()), [2, 1, 1, 1, 2]);
    assert_eq!((counts.named_twice.get(), counts.heard.get()), (1, 0));
}

/// One error of each kind. A new variant breaks the `match`, so that it is added here and to the operators' page.
fn faults() -> Vec<(&'static str, String, &'static str)> {
    let path = || PathBuf::from("/var/lib/fleet");
    let io = || io::Error::other("no room");
    let at = "127.0.0.1:7100".parse().unwrap();
    let name = || Name::from("a");
    let stores = [
        StoreFault::InUse(path()),
        StoreFault::Io(path(), io()),
        StoreFault::Lost(path(), 3, 9),
        StoreFault::Unsealed(path()),
        StoreFault::Record(postcard::Error::SerdeSerCustom),
        StoreFault::Stopped,
    ];
    let stores = stores.into_iter().map(|fault| {
        let named = match fault {
            StoreFault::InUse(_) => "StoreFault::InUse",
            StoreFault::Io(..) => "StoreFault::Io",
            StoreFault::Lost(..) => "StoreFault::Lost",
            StoreFault::Unsealed(_) => "StoreFault::Unsealed",
            StoreFault::Record(_) => "StoreFault::Record",
            StoreFault::Stopped => "StoreFault::Stopped",
        };
        (named, fault.to_string(), fault.advice())
    });
    let all = [
        Fault::Listen(at, io()),
        Fault::Thread(io()),
        Fault::Store(StoreFault::Stopped),
        Fault::History(path(), io()),
        Fault::NoFolder(name()),
        Fault::NotAMember(name()),
        Fault::Unfit(Unfit::NoVoters),
    ];
    let all = all.into_iter().map(|fault| {
        let named = match fault {
            Fault::Listen(..) => "Fault::Listen",
            Fault::Thread(_) => "Fault::Thread",
            Fault::Store(_) => "Fault::Store",
            Fault::History(..) => "Fault::History",
            Fault::NoFolder(_) => "Fault::NoFolder",
            Fault::NotAMember(_) => "Fault::NotAMember",
            Fault::Unfit(_) => "Fault::Unfit",
        };
        (named, fault.to_string(), fault.advice())
    });
    let text = || "x".to_string();
    let refused = [
        Refused::OtherFleet { fleet: text(), ours: text() },
        Refused::NotForMe { to: text(), ours: text() },
        Refused::NotAMember { from: text() },
        Refused::OwnName { from: text() },
        Refused::NamedTwice { from: text(), old: 1, new: 2 },
        Refused::Spoilt { from: text(), what: Malformed("digest") },
        Refused::Huge(text()),
    ];
    let refused = refused.into_iter().map(|fault| {
        let named = match fault {
            Refused::OtherFleet { .. } => "Refused::OtherFleet",
            Refused::NotForMe { .. } => "Refused::NotForMe",
            Refused::NotAMember { .. } => "Refused::NotAMember",
            Refused::OwnName { .. } => "Refused::OwnName",
            Refused::NamedTwice { .. } => "Refused::NamedTwice",
            Refused::Spoilt { .. } => "Refused::Spoilt",
            Refused::Huge(_) => "Refused::Huge",
        };
        (named, fault.to_string(), fault.advice())
    });
    stores.chain(all).chain(refused).collect()
}

#[test]
fn each_error_says_what_to_do_and_stands_on_the_operators_page() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/fleet-policy-operators.md");
    let page = std::fs::read_to_string(page).expect("the operators' page");
    for (name, text, advice) in faults() {
        assert!(!text.is_empty() && advice.len() > 20, "{name}: {text}; {advice}");
        assert!(page.contains(&format!("`{name}`")), "{name} is not on the operators' page");
    }
}

#[test]
fn each_refusal_of_a_proposal_stands_on_the_operators_page() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/fleet-policy-operators.md");
    let page = std::fs::read_to_string(page).expect("the operators' page");
    let no = RevisionNo(1);
    let all = [
        Refusal::NotAbove { asked: no, known: no },
        Refusal::Taken { winner: no, digest: Digest::of("") },
        Refusal::Unfit { by: Name::from("a"), why: "".into() },
        Refusal::Unchecked { missing: "".into() },
        Refusal::Unsure,
        Refusal::Withdrawn,
        Refusal::Past { no },
        Refusal::Spoilt { no },
        Refusal::Huge { no, bytes: 2, most: 1 },
        Refusal::Misnamed { why: "".into() },
        Refusal::Outside { name: Name::from("a") },
    ];
    for refusal in all {
        let named = match refusal {
            Refusal::NotAbove { .. } => "Refusal::NotAbove",
            Refusal::Taken { .. } => "Refusal::Taken",
            Refusal::Unfit { .. } => "Refusal::Unfit",
            Refusal::Unchecked { .. } => "Refusal::Unchecked",
            Refusal::Unsure => "Refusal::Unsure",
            Refusal::Withdrawn => "Refusal::Withdrawn",
            Refusal::Past { .. } => "Refusal::Past",
            Refusal::Spoilt { .. } => "Refusal::Spoilt",
            Refusal::Huge { .. } => "Refusal::Huge",
            Refusal::Misnamed { .. } => "Refusal::Misnamed",
            Refusal::Outside { .. } => "Refusal::Outside",
        };
        assert!(page.contains(&format!("`{named}`")), "{named} is not on the operators' page");
        assert!(refusal.advice().len() > 20, "{named}");
    }
}
