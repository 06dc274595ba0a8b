//! Each error states what an operator can do, and contradictory settings are refused.

use std::collections::BTreeSet;

use amberarch_accord::{
    Accord, Act, AskLease, Base, Boot, Digest, Disk, Entry, Facts, FleetId, Input, Kept, Length, Lengths,
    Logged, Name, Output, Place, Refusal, Revision, RevisionNo, Said, Stage, StageNo, Term, Turned, Unfit,
    Wish,
};

fn settings() -> Facts {
    Facts {
        fleet: FleetId("one".into()),
        me: "a".into(),
        boot: Boot(1),
        disk: Some(Disk(1)),
        voters: vec!["a".into()],
        followers: vec!["b".into()],
        length: Length { acts: 3_000.0, knows: 6_000.0 },
        drift: 0.02,
        slack: 50.0,
        linger: 1_000.0,
        election: 500.0,
        beat: 100.0,
        check_within: 5_000.0,
        seed: 1,
    }
}

fn with(change: impl FnOnce(&mut Facts)) -> Facts {
    let mut settings = settings();
    change(&mut settings);
    settings
}

/// One case of each variant; the match below names the variants, so that a new one is not forgotten here.
fn invalid_settings() -> Vec<(Facts, Kept)> {
    let name = Name::from;
    let stored = Kept::default;
    let torn =
        vec![Logged { term: Term(2), entry: Entry::Begun }, Logged { term: Term(1), entry: Entry::Begun }];
    vec![
        (with(|facts| facts.voters.clear()), stored()),
        (with(|facts| facts.voters = (0..8).map(|n| Name::from(n.to_string().as_str())).collect()), stored()),
        (with(|facts| facts.me = name("c")), stored()),
        (with(|facts| facts.followers.push(name(""))), stored()),
        (with(|facts| facts.followers.push(name("a"))), stored()),
        (with(|facts| facts.disk = None), stored()),
        (settings(), Kept { disk: Some(Disk(2)), ..stored() }),
        (settings(), Kept { term: Term(2), entries: torn, ..stored() }),
        (with(|facts| facts.slack = f64::NAN), stored()),
        (with(|facts| facts.linger = -1.0), stored()),
        (with(|facts| facts.check_within = f64::INFINITY), stored()),
        (with(|facts| facts.drift = 0.2), stored()),
        (with(|facts| facts.beat = 400.0), stored()),
        (with(|facts| facts.length.acts = 900.0), stored()),
        (with(|facts| facts.length.knows = 2_000.0), stored()),
    ]
}

fn variant_number(unfit: &Unfit) -> usize {
    match unfit {
        Unfit::NoVoters => 0,
        Unfit::TooManyVoters(_) => 1,
        Unfit::NotNamed(_) => 2,
        Unfit::NoName => 3,
        Unfit::NamedTwice(_) => 4,
        Unfit::NoDisk(_) => 5,
        Unfit::OtherDisk { .. } => 6,
        Unfit::Torn(_) => 7,
        Unfit::Number { .. } => 8,
        Unfit::Drift(_) => 9,
        Unfit::ElectionShort { .. } => 10,
        Unfit::ActsShort { .. } => 11,
        Unfit::KnowsShort { .. } => 12,
    }
}

#[test]
fn facts_contradict_each_other() {
    assert!(Accord::new(0.0, settings(), Kept::default()).is_ok());
    let mut seen = BTreeSet::new();
    for (facts, kept) in invalid_settings() {
        let unfit = Accord::new(0.0, facts, kept).expect_err("invalid settings were accepted");
        assert!(!unfit.to_string().is_empty() && unfit.advice().len() > 10, "{unfit}");
        seen.insert(variant_number(&unfit));
    }
    assert_eq!(seen, (0..=12).collect());
}

#[test]
fn each_refusal_says_what_to_do() {
    let (no, digest) = (RevisionNo(1), Digest::of("x"));
    let refusals = [
        Refusal::NotAbove { asked: no, known: no },
        Refusal::Taken { winner: no, digest },
        Refusal::Unfit { by: "a".into(), why: "x".into() },
        Refusal::Unchecked { missing: "a".into() },
        Refusal::Unsure,
        Refusal::Withdrawn,
        Refusal::Past { no },
        Refusal::Spoilt { no },
        Refusal::Huge { no, bytes: 2, most: 1 },
        Refusal::Misnamed { why: "x".into() },
        Refusal::Outside { name: "a".into() },
    ];
    let mut advice = BTreeSet::new();
    for refusal in &refusals {
        assert!(!refusal.to_string().is_empty());
        advice.insert(refusal.advice());
    }
    assert_eq!(advice.len(), refusals.len(), "two refusals have the same advice");
    let turned = [
        Turned::NotMember { name: "a".into() },
        Turned::NameTwice { name: "a".into() },
        settings().same_fleet(&FleetId("other".into())).unwrap_err(),
        Turned::OtherLengths { theirs: Lengths(1), ours: settings().lengths() },
    ];
    let advice: BTreeSet<&str> = turned.iter().map(Turned::advice).collect();
    assert_eq!(advice.len(), turned.len());
    assert_eq!(settings().same_fleet(&FleetId("one".into())), Ok(()));
}

/// The only voter of its fleet, as leader, and the time at which it became one.
fn single_voter_leader() -> (Accord, f64) {
    let mut accord = Accord::new(0.0, settings(), Kept::default()).unwrap();
    let now = accord.due().max(1_500.0);
    accord.handle(now, Input::Tick);
    assert_eq!(accord.chair().1, Some(&Name::from("a")));
    (accord, now)
}

fn lease_request(boot: u64, asked: u64) -> Input {
    let said = Said::AskLease(AskLease {
        asked,
        boot: Boot(boot),
        disk: None,
        stage: StageNo(0),
        settled: false,
        verdict: None,
        barred: false,
        has: vec![],
        leased: 0.0,
        lengths: settings().lengths(),
    });
    Input::Heard { from: "b".into(), said }
}

fn sent_to_b(outputs: Vec<Output>) -> Vec<Said> {
    let to_b = |output| match output {
        Output::Send { to, said } if to == Name::from("b") => Some(said),
        _ => None,
    };
    outputs.into_iter().filter_map(to_b).filter(|said| !matches!(said, Said::Heed { .. })).collect()
}

#[test]
fn two_run_under_one_name() {
    let (mut accord, now) = single_voter_leader();
    // Requests share a round, which begins a little later.
    let mut now = now;
    let mut ask = |after: f64, boot, asked| {
        let mut outputs = accord.handle(now + after, lease_request(boot, asked));
        now += after + 20.0;
        outputs.extend(accord.handle(now, Input::Tick));
        sent_to_b(outputs)
    };
    assert!(matches!(ask(0.0, 1, 1)[..], [Said::Lease { .. }]));
    // A restart: the new run gets its lease at once.
    assert!(matches!(ask(0.0, 2, 1)[..], [Said::Lease { .. }]));
    // The first run is in fact still alive.
    let turned = ask(0.0, 1, 2);
    let [Said::Turned { why: why @ Turned::NameTwice { .. }, .. }] = &turned[..] else {
        panic!("{turned:?}")
    };
    assert!(why.advice().contains("stop one"), "{}", why.advice());
    // The newer run has been silent for longer than its lease, so the first run is accepted again.
    assert!(matches!(ask(4_000.0, 1, 3)[..], [Said::Lease { .. }]));
}

#[test]
fn a_text_is_not_the_one_that_its_digest_names_or_too_long() {
    let (mut accord, now) = single_voter_leader();
    let long: std::sync::Arc<str> = "x".repeat((1 << 20) + 1).into();
    let corrupted = Revision { no: RevisionNo(1), digest: Digest::of("y"), text: "x".into() };
    let huge = Revision { no: RevisionNo(1), digest: Digest::of(&long), text: long };
    for (id, revision) in [(1, corrupted.clone()), (2, huge)] {
        let outputs = accord.handle(now, Input::Wish { id, wish: Wish::Revision(revision) });
        let refused = |output: &Output| {
            let refused = Err(Refusal::Spoilt { no: RevisionNo(1) });
            let huge = matches!(output, Output::Answer { outcome: Err(Refusal::Huge { .. }), .. });
            huge || matches!(output, Output::Answer { outcome, .. } if *outcome == refused)
        };
        assert!(outputs.iter().any(refused), "{outputs:?}");
    }
    // The leader refuses it too if another controller forwards it unchecked.
    let said = Said::Wish { id: 1, boot: Boot(1), term: accord.chair().0, wish: Wish::Revision(corrupted) };
    let answers = sent_to_b(accord.handle(now, Input::Heard { from: "b".into(), said }));
    assert!(
        matches!(answers[..], [Said::Answer { outcome: Err(Refusal::Spoilt { .. }), .. }]),
        "{answers:?}"
    );
}

#[test]
fn a_base_is_read_back_as_it_was_kept() {
    let base = Base {
        voters: vec![("a".into(), Some(Disk(1)))],
        followers: vec!["b".into()],
        known: RevisionNo(7),
        ..Base::default()
    };
    let at = (Term(3), Place(40));
    let kept = Kept { disk: Some(Disk(1)), term: Term(3), base: Some((at, base.clone())), ..Kept::default() };
    let accord = Accord::new(0.0, settings(), kept).unwrap();
    assert_eq!(accord.standing(), (Place(40), &base));
}

#[test]
fn lengths_differ_in_any_part() {
    let changes: [fn(&mut Facts); 5] = [
        |facts| facts.length.acts += 1.0,
        |facts| facts.length.knows += 1.0,
        |facts| facts.drift /= 2.0,
        |facts| facts.slack = 0.0,
        |facts| facts.linger += 1.0,
    ];
    let digests: BTreeSet<Lengths> = changes.into_iter().map(|change| with(change).lengths()).collect();
    assert_eq!(digests.len(), 5);
    assert!(!digests.contains(&settings().lengths()));
    assert_eq!(with(|facts| facts.beat = 50.0).lengths(), settings().lengths());
}

/// A leader's outbox may hold an answer while the requester restarts. If the lease in it were counted from a
/// request of the new run, it would be a lease that the leader never granted.
#[test]
fn a_lease_that_was_given_to_the_run_before_comes_after_a_restart() {
    let b = |boot| with(|facts| (facts.me, facts.boot, facts.disk) = ("b".into(), Boot(boot), None));
    let asked = |accord: &mut Accord| {
        let sent = accord.handle(0.0, Input::Tick).into_iter().find_map(|output| match output {
            Output::Send { said: Said::AskLease(question), .. } => Some(question.asked),
            _ => None,
        });
        sent.expect("it requests a lease at its start")
    };
    let lease = |asked| Said::Lease {
        asked,
        term: Term(1),
        stage: Stage { no: StageNo(2), ..Stage::default() },
        length: settings().length,
        texts: vec![],
        voters: vec![],
    };
    let heard = |said| Input::Heard { from: "a".into(), said };
    let mut before = Accord::new(0.0, b(1), Kept::default()).unwrap();
    let late = lease(asked(&mut before));
    let mut after = Accord::new(0.0, b(2), Kept::default()).unwrap();
    let own = lease(asked(&mut after));
    after.handle(1.0, heard(late));
    assert_eq!(after.act(1.0), Act::Unknown);
    after.handle(2.0, heard(own));
    assert!(matches!(after.act(2.0), Act::On { .. }));
}
