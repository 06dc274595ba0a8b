//! Checks of staged policy revisions, and the policy that a controller applies if its own file says something else.

use std::sync::{Arc, Mutex};

use amberarch_accord::{Act, Digest, Holds as On, Revision, RevisionNo, Stage, StageNo};
use amberarch_core::{ClassId, ZoneId};
use amberarch_fleet::{Sight, Steward, Under};
use amberarch_operator::Operator;
use amberarch_residency::Facts;
use amberarch_steward::clock::UnixClock;
use amberarch_steward::counters::Counters;
use amberarch_steward::fleet::{
    start, CompileContext, ConsensusMessage, Holds, Identity, Listed, PolicyCompiler, ShareLimits, Shared,
    SharedState, Started,
};
use expect_test::expect;
use slog::{o, Discard, Drain, Logger, OwnedKVList, Record};
use tokio::sync::mpsc;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn context(govern: &[u16]) -> CompileContext {
    let govern = govern.iter().map(|product| ClassId(*product)).collect();
    let (zones, products) = (names(&["a", "b", "c"]), names(&["read", "write"]));
    CompileContext { members: 3, ..CompileContext::alone(Facts { zones, products, govern }, 20) }
}

fn compiler(context: CompileContext) -> (PolicyCompiler, Shared, mpsc::UnboundedReceiver<ConsensusMessage>) {
    let (tell, told) = mpsc::unbounded_channel();
    let common = Shared::default();
    let log = Logger::root(Discard, o!());
    (PolicyCompiler::new(context, common.clone(), UnixClock::reading(1e12), tell, log), common, told)
}

fn revision(no: u64, rules: &str) -> Revision {
    let text = format!("revision = {no}\n{rules}");
    Revision { no: RevisionNo(no), digest: Digest::of(&text), text: text.into() }
}

fn reads(permit: &str, more: &str) -> String {
    format!("[[residency.rule]]\nname = \"r\"\nproducts = [\"read\"]\npermit = {permit}\n{more}")
}

fn acts_on(compiler: &mut PolicyCompiler, revision: &Revision, under: u64) {
    let stage = Stage { no: StageNo(under), holds: On::Alone(revision.no), staged: None };
    compiler.act(&Act::On { stage, until: 1e12 }, std::slice::from_ref(revision), Under(under));
}

/// Sets hosts of weight 100 in each zone, and the arriving reads of zones a and b and writes of zone a.
fn comes(common: &Shared, reads_a: f64, reads_b: f64, writes_a: f64) {
    let zones = [ZoneId(0), ZoneId(1), ZoneId(2)];
    let (read, write) = (ClassId(0), ClassId(1));
    *common.lock().unwrap() = SharedState {
        listed: Listed {
            hosts: zones.iter().map(|zone| (*zone, 1)).collect(),
            weights: zones.iter().map(|zone| (*zone, 100.0)).collect(),
        },
        sight: Some(Sight {
            came: vec![(zones[0], read, reads_a), (zones[1], read, reads_b), (zones[0], write, writes_a)],
            capacity: zones.iter().map(|zone| (*zone, 100.0)).collect(),
        }),
        ..SharedState::default()
    };
}

fn refused(said: Result<(), Arc<str>>) -> String {
    said.expect_err("a refusal").to_string()
}

/// Guards against accepting a change that each rule allows but that gives one zone more traffic than its hosts carry. The
/// refusal names only the infeasible part: not the writes, which may go anywhere, and not zones with spare capacity.
#[test]
fn a_change_that_puts_more_on_a_zone_than_it_carries_is_refused_with_the_least_that_can_not_be() {
    let (mut compiler, common, _told) = compiler(context(&[0]));
    comes(&common, 60.0, 60.0, 50.0);
    acts_on(&mut compiler, &revision(1, &reads("[\"a\", \"b\"]", "")), 1);
    assert_eq!(compiler.check(&revision(2, &reads("[\"b\", \"c\"]", "from = [\"b\"]")), true), Ok(()));
    let over = refused(compiler.check(&revision(3, &reads("[\"b\", \"c\"]", "")), true));
    expect!["read from a, read from b in b: 120.0 a second may be served in 1 zone(s) alone, which carry 100.0; permit more zones, add hosts to those that are named, or change when less comes"].assert_eq(&over);
    // While both are in force the reads of zone a are rejected, as the revision says.
    let declined = reads("[\"b\", \"c\"]", "declined = true");
    assert_eq!(compiler.check(&revision(4, &declined), true), Ok(()));
    // With less traffic, or unknown traffic, there is no reason to refuse it.
    comes(&common, 40.0, 60.0, 50.0);
    assert_eq!(compiler.check(&revision(5, &reads("[\"b\", \"c\"]", "")), true), Ok(()));
    comes(&common, 60.0, 60.0, 50.0);
    common.lock().unwrap().sight = None;
    assert_eq!(compiler.check(&revision(6, &reads("[\"b\", \"c\"]", "")), true), Ok(()));
}

/// Guards against a fleet that can't leave a policy under which its hosts are overloaded: a change that does not increase
/// the excess must be accepted, one that does must not.
#[test]
fn a_change_that_widens_what_is_over_already_is_let_through_and_one_that_narrows_it_is_not() {
    let (mut compiler, common, _told) = compiler(context(&[0]));
    comes(&common, 100.0, 130.0, 0.0);
    acts_on(&mut compiler, &revision(1, &reads("[\"a\", \"b\"]", "")), 1);
    assert_eq!(compiler.check(&revision(2, &reads("[\"a\", \"b\", \"c\"]", "")), true), Ok(()));
    let over = refused(compiler.check(&revision(3, &reads("[\"a\", \"c\"]", "")), true));
    assert!(over.starts_with("read from a, read from b in a: 230.0 a second"), "{over}");
}

/// The policy that the daemon's thread received last.
fn last(told: &mut mpsc::UnboundedReceiver<ConsensusMessage>) -> Option<Holds> {
    let mut last = None;
    while let Ok(told) = told.try_recv() {
        if let ConsensusMessage::Holds(holds) = told {
            last = Some(holds);
        }
    }
    last
}

/// Guards against a controller whose file names fewer request classes than the policy in force. It can't use that policy,
/// and the class that it does not name must be rejected: otherwise it would be served in every zone while other members
/// serve it only where it is permitted.
#[test]
fn a_product_that_the_file_governs_no_more_is_declined_while_what_holds_names_it() {
    let holds = revision(1, &reads("[\"a\"]", ""));
    // Its file named the reads until its restart.
    let (mut compiler, _common, mut told) = compiler(context(&[1]));
    assert!(refused(compiler.check(&holds, false)).contains("may not be governed"));
    let holds_here = last(&mut told).expect("a word before anything else");
    assert_eq!((holds_here.stage, holds_here.also), (None, [ClassId(0)].into()));
    // The class stays rejected for the rest of this run, whatever it receives next.
    compiler.act(&Act::Unknown, &[], Under(2));
    let holds_here = last(&mut told).expect("a word");
    assert_eq!((holds_here.under, holds_here.also), (Under(2), [ClassId(0)].into()));
    // A revision that is only proposed has no effect yet.
    let (mut other, _common, mut told) = self::compiler(context(&[1]));
    assert!(refused(other.check(&holds, true)).contains("may not be governed"));
    assert!(last(&mut told).is_none());
}

const SHARES: &str =
    "[shares]\nfloor = { part = 0.1, stewards = 3 }\n\n[[shares.tenant]]\nname = \"readers\"\n\
    products = [\"read\"]\nguarantee_per_s = 10.0\n";

/// Guards against floors that are divided among fewer controllers than there are: the reloaded operator's file names one
/// more member than at the start.
#[test]
fn a_plan_with_floors_for_fewer_members_than_the_file_names_by_now_is_refused() {
    let (mut compiler, common, _told) = compiler(context(&[0]));
    assert_eq!(compiler.check(&revision(1, SHARES), true), Ok(()));
    common.lock().unwrap().members = Some(4);
    let refused = refused(compiler.check(&revision(2, SHARES), true));
    expect!["3:34: floor.stewards = 3: the fleet has 4 members"].assert_eq(&refused);
    common.lock().unwrap().members = Some(2);
    assert_eq!(compiler.check(&revision(3, SHARES), true), Ok(()));
}

/// Guards against a request class with quotas that a controller without a lease does not reject: when cut off, it would
/// admit all of the class on top of the grants of others.
#[test]
fn a_tenant_is_told_by_a_product_that_may_not_be_governed() {
    let (mut compiler, _common, mut told) = compiler(context(&[1]));
    let why = refused(compiler.check(&revision(1, SHARES), true));
    expect!["3:18: a tenant is told by read, which may not be governed; add it to `govern` at all members and start them anew, or name the products of each tenant"]
        .assert_eq(&why);
    // If the policy is already in force, this controller can't use it and rejects that class too.
    assert_eq!(refused(compiler.check(&revision(1, SHARES), false)), why);
    let Some(ConsensusMessage::Holds(holds)) = told.try_recv().ok() else {
        panic!("it is told what is declined")
    };
    assert_eq!(holds.also, [ClassId(0)].into());
}

/// Collects log messages.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;
    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

impl Lines {
    fn has(&self, what: &str) -> bool {
        self.0.lock().unwrap().iter().any(|line| line.contains(what))
    }
}

/// `[fleet]` with a single voter and this many followers, none of which runs.
fn operator(dir: &std::path::Path, govern: &str, followers: u16, listen: std::net::SocketAddr) -> Operator {
    let mut text = format!(
        "[fleet]\nid = \"lv\"\nlisten = \"{listen}\"\nfolder = {:?}\npolicy = {:?}\ngovern = {govern}\n\
         acts = \"600ms\"\nknows = \"700ms\"\nslack = \"20ms\"\nlinger = \"10ms\"\nelection = \"100ms\"\n\
         beat = \"20ms\"\ncheck_within = \"1s\"\ngrant = \"2s\"\ntxns_per_s_per_weight = 100.0\n\n\
         [[fleet.member]]\nname = \"n0\"\naddress = \"{listen}\"\nvotes = true\n",
        dir.join("disk"),
        dir.join("policy.toml")
    );
    for follower in 1..=followers {
        text += &format!("\n[[fleet.member]]\nname = \"n{follower}\"\naddress = \"127.0.0.1:{follower}\"\n");
    }
    Operator::parse(&text).expect("an operator's file")
}

fn free() -> std::net::SocketAddr {
    std::net::TcpListener::bind((crate::address::own(), 0)).unwrap().local_addr().unwrap()
}

fn started(operator: &Operator, log: &Lines) -> Result<Started, String> {
    let section = operator.fleet.as_ref().unwrap();
    let context = CompileContext::of(section, context(&[0]).facts, 20, vec![]);
    let clock = UnixClock::reading(1e12);
    let own = Identity { name: "n0".into(), context, drain_grace: 0.0, seed: 7, clock };
    start(
        section,
        own,
        ShareLimits::default(),
        Counters::default().into(),
        &Logger::root(log.clone().fuse(), o!()),
    )
}

/// Waits for a message of the consensus thread.
fn told(started: &mut Started, what: impl Fn(&ConsensusMessage) -> bool) -> ConsensusMessage {
    let wait = async {
        loop {
            let told = started.told.recv().await.expect("a thread that lives");
            if what(&told) {
                return told;
            }
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(std::time::Duration::from_secs(20), wait).await.unwrap() })
}

/// Guards against a SIGHUP that adds members although the floors already add up to the whole capacity, and against
/// ignoring a changed `govern` without a log line.
#[test]
fn a_file_read_again_does_not_let_in_more_members_than_the_plan_that_holds_has_floors_for() {
    let (dir, log, at) = (tempfile::tempdir().unwrap(), Lines::default(), free());
    std::fs::write(dir.path().join("policy.toml"), format!("revision = 1\n{SHARES}")).unwrap();
    let mut one = started(&operator(dir.path(), "[\"read\"]", 2, at), &log).expect("a start");
    one.handle.propose();
    told(&mut one, |told| matches!(told, ConsensusMessage::Holds(holds) if !holds.rules.is_empty()));
    one.handle.reread(operator(dir.path(), "[\"read\"]", 3, at).fleet.as_ref());
    assert!(log.has("more members than the plan that holds has floors for"));
    assert!(!log.has("names other members"));
    one.handle.reread(operator(dir.path(), "[\"read\"]", 1, at).fleet.as_ref());
    assert!(log.has("names other members") && !log.has("governs other products"));
    one.handle.reread(operator(dir.path(), "[\"read\", \"write\"]", 1, at).fleet.as_ref());
    assert!(log.has("governs other products"));
}

/// Guards against a daemon that does not start because its folder is corrupted. It must start without voting, reject
/// governed request classes, as no policy can be agreed on, and log this.
#[test]
fn a_daemon_whose_folder_is_spoilt_or_can_not_be_made_starts_and_votes_no_more() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("policy.toml"), "revision = 1\n").unwrap();
    let folder = dir.path().join("disk");
    let spoils: [&dyn Fn(); 3] = [
        &|| std::fs::write(folder.join("sealed"), b"nothing of use").unwrap(),
        &|| std::fs::remove_file(folder.join("sealed")).unwrap(),
        &|| {
            std::fs::remove_dir_all(&folder).unwrap();
            std::fs::write(&folder, b"a file where the folder was").unwrap();
        },
    ];
    for spoil in spoils {
        let _ = std::fs::remove_file(&folder);
        let (log, at) = (Lines::default(), free());
        let operator = operator(dir.path(), "[\"read\"]", 0, at);
        let mut good = started(&operator, &log).expect("a start");
        good.handle.propose();
        told(&mut good, |told| matches!(told, ConsensusMessage::Holds(holds) if !holds.rules.is_empty()));
        good.handle.end();
        while good.told.blocking_recv().is_some() {}
        spoil();
        let mut bad = started(&operator, &log).expect("a start on a spoilt folder");
        assert!(log.has("the folder can't be voted on"));
        bad.handle.propose();
        let answer = told(&mut bad, |told| matches!(told, ConsensusMessage::Answer(..)));
        assert!(matches!(answer, ConsensusMessage::Answer(_, Err(_))), "nobody is left to agree with");
        bad.handle.end();
        while bad.told.blocking_recv().is_some() {}
        let _ = std::fs::remove_dir_all(&folder);
    }
}

/// Guards against an error that is missing on the operators' page: compares it with all error variants in the source of the
/// packages whose errors reach operators.
#[test]
fn each_error_of_each_package_stands_on_the_operators_page() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |file: &str| std::fs::read_to_string(root.join(file)).expect(file);
    let page = read("docs/fleet-policy-operators.md");
    let all = [
        ("fleet/src/lib.rs", "Fault", "Fault"),
        ("fleet/src/store.rs", "Fault", "StoreFault"),
        ("fleet/src/service.rs", "Refused", "Refused"),
        ("accord/src/types.rs", "Refusal", "Refusal"),
        ("accord/src/types.rs", "Turned", "accord::Turned"),
        ("accord/src/facts.rs", "Unfit", "accord::Unfit"),
        ("residency/src/compile.rs", "Unfit", "residency::Unfit"),
        ("shares/src/unfit.rs", "Unfit", "shares::Unfit"),
        ("shares/src/ledger.rs", "Wrong", "shares::Wrong"),
    ];
    let mut missing = Vec::new();
    for (file, name, shown) in all {
        let source = read(&format!("crates/{file}"));
        let body = source.split(&format!("pub enum {name} {{\n")).nth(1).expect(file);
        let body = body.split("\n}\n").next().unwrap_or_default();
        // Variants are indented by four columns; nothing else at that indentation begins with a capital letter.
        let variants = body.lines().filter_map(|line| line.strip_prefix("    "));
        let variants = variants.filter(|line| line.starts_with(|first: char| first.is_ascii_uppercase()));
        let names: Vec<&str> = variants.filter_map(|line| line.split(['(', ' ', ',', '{']).next()).collect();
        assert!(names.len() >= 3, "{file}: {names:?}");
        let rows = names.iter().map(|variant| format!("`{shown}::{variant}`"));
        missing.extend(rows.filter(|row| !page.contains(row)));
    }
    missing.extend(
        ["`residency::Bare`", "`residency::Over`"]
            .into_iter()
            .filter(|row| !page.contains(row))
            .map(String::from),
    );
    assert!(missing.is_empty(), "not on the operators' page: {missing:?}");
}
