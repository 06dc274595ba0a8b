use amberarch_histories::judge;
use amberarch_histories::made::Made;

const EVENTS: usize = 40_000;

#[test]
fn a_correct_history_has_no_violations_and_every_check_examined_cases() {
    for seed in 0..8 {
        let report = judge(Made::new(seed, EVENTS), &Made::bounds());
        assert!(report.clean() && report.late_calls() == 0, "seed {seed}: {report}");
        assert_eq!(report.events, EVENTS as u64);
        for (rule, of) in &report.verdicts {
            assert!(of.looked > 0, "seed {seed}: {rule:?} examined no case");
        }
    }
}
