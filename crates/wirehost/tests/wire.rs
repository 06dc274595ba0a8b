use amberarch_wirehost::serve;
use expect_test::{expect, Expect};

const SETTINGS: &str =
    "az=0 balancers=2 dcs=a,b classes.count=1 classes.0.deadline=2500000000 classes.0.effect=free \
    classes.0.goalTime=800000000 classes.0.keyScope=all classes.0.lateWorth=0.2 classes.0.points=1.0 \
    classes.0.window=5000000000 discovery=on_request familyInfo.agents=2 familyInfo.backlog=900.0 \
    familyInfo.bootstrap=5 familyInfo.zonal=false \
    familyInfo.classOwnZone=false familyInfo.classWrites=false familyInfo.defaultRetry=0 \
    familyInfo.egressPerS=900.0 familyInfo.emptyFor=3900000000 familyInfo.levelKind=off \
    familyInfo.messagesOver=10000000000 familyInfo.overhead=6.0 familyInfo.propagation=207000000 \
    familyInfo.reloadsMax=30 familyInfo.reportEvery=2000000000 familyInfo.reportsPerS=120.0 \
    familyInfo.shards=0 familyInfo.tryFactor=0.8 familyInfo.worstTransit=517500000 \
    policyLimits.mayProbe=true rules.askWithin=10000000000 rules.coldFrom=0.17 \
    rules.drainGrace=2300000000 rules.fallMultiple=4.0 rules.overloadFor=2000000000 \
    rules.warmWithin=17000000000 somethingNew=7";

/// The replies to the lines, and how serving ended.
fn check(lines: &str, expected: Expect) {
    let mut out = Vec::new();
    let end = serve(lines.replace("SETTINGS", SETTINGS).as_bytes(), &mut out);
    let mut text = String::from_utf8(out).unwrap();
    if let Err(fault) = end {
        text += &format!("! {fault}\n");
    }
    expected.assert_eq(&text);
}

#[test]
fn an_instance_starts_reads_its_list_and_starts_over_in_one_batch() {
    let start = "ENLIST 3 7 SETTINGS\nFLEET 3 1 restored 2\nROW 1 0 0 0 host-x - on\n\
        ROW 1 1 2 1 host-y 6100000000 fading\n";
    let lines = format!(
        "TURN 8000000000 1\nEOF_BATCH\nTURN 9000000000 2\n{start}SUBSCRIBED 3 6.5 1 0 1\nEOF_BATCH\n\
        TURN 9500000000 3\nCHECK_RESULT 3 1 host-x 1400000 strange:1,util:0.5\n\
        TALLY 3 host-x 2000000000 0 14 48250000 1 -\nDESTROY 3\n{start}EOF_BATCH\n"
    );
    check(
        &lines,
        expect![[r#"
            FINISHED 1
            DEFER 3 200000000 0
            FOLLOW 3 1
            ASK_LOAD 3 host-x
            HOLD_BACK 3 1 host-y
            ASSIGN 3 0 1 host-x
            THROTTLE 3 0 1 1 1
            POINT 3 1 0 1
            FENCE_POST 3 0 0
            FINISHED 2
            DEFER 3 200000000 0
            FOLLOW 3 1
            ASK_LOAD 3 host-x
            HOLD_BACK 3 1 host-y
            FINISHED 3
        "#]],
    );
}

#[test]
fn what_is_malformed_is_named_with_its_line() {
    for (lines, expected) in [
        (
            "TORN 1 1\n",
            expect![[r#"
            ! line 1: expected TURN, found 'TORN'
        "#]],
        ),
        (
            "TURN 1 1\nELAPSED 3 7\nEOF_BATCH\n",
            expect![[r#"
            ! line 2: expected an enlisted instance, found 3
        "#]],
        ),
        (
            "TURN 1 1\nENLIST 3 7 az=0\nEOF_BATCH\n",
            expect![[r#"
            ! line 2: expected the setting dcs, found none
        "#]],
        ),
        (
            "TURN 1 1\nENLIST 3 7 SETTINGS\nTALLY 3 host-x 1 0 many 1 0 -\n",
            expect![[r#"
                ! line 3: expected a number for n, found 'many'
            "#]],
        ),
        (
            "TURN 1 1\nENLIST 3 7 SETTINGS\nFLEET 3 1 restored 2\nROW 1 0 0 0 host-x - on\n",
            expect![[r#"
                ! line 5: expected ROW, found the end of input
            "#]],
        ),
    ] {
        check(lines, expected);
    }
}
