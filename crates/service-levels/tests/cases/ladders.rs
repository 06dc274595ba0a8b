use amberarch_service_levels::*;
use expect_test::expect;

use crate::night::{level, levels, on, products};

#[test]
fn an_invalid_ladder_is_rejected_at_its_level() {
    let changed = |change: &dyn Fn(&mut Vec<Level>)| {
        let mut all = levels();
        change(&mut all);
        match Ladder::new(all, &products()) {
            Ok(_) => "fine".to_string(),
            Err(error) => format!("{}: {error}", error.level()),
        }
    };
    let keep = |least, most| Keep { least, most };
    let id = amberarch_core::ClassId;
    let messages = [
        changed(&|_| {}),
        changed(&|all| all.truncate(1)),
        changed(&|all| all[0].enter = all[1].enter.clone()),
        changed(&|all| all[2].name = "no-extras".into()),
        changed(&|all| all[1].keep.extend([(id(0), keep(0.5, 0.2))])),
        changed(&|all| all[1].keep.extend([(id(0), keep(f64::NAN, 1.0))])),
        changed(&|all| all[1].enter.clear()),
        changed(&|all| all[1].leave.clear()),
        changed(&|all| all[1].leave[0].value = 0.8),
        changed(&|all| all[1].enter.push(on(Signal::Late, 0.5, 0.0))),
        changed(&|all| all[2].enter = vec![on(Signal::Pressure, 0.7, 0.0)]),
        changed(&|all| all[2].enter = vec![on(Signal::Pressure, 0.9, 0.0)]),
        changed(&|all| all[2].keep.extend([(id(0), keep(0.5, 1.0))])),
        changed(&|all| all[2].keep.extend([(id(2), keep(0.1, 1.0))])),
        changed(&|all| {
            all[2].keep.insert(id(2), keep(0.1, 1.0));
            all[3].keep.insert(id(2), keep(0.0, 1.0));
            (all[2].force, all[3].force) = (true, true);
        }),
        changed(&|all| {
            all.push(level("dark", &[0.0, 0.0, 0.0], &[on(Signal::Voided, 0.9, 0.0)], &all[1].leave.clone()))
        }),
    ];
    expect![[r#"
        fine
        0: a ladder has full service and at least one level below it
        0: the first level must be full service: it sheds nothing and has no conditions
        2: two levels are named no-extras
        1: level no-extras keeps 0.5 to 0.2 of a product; expected 0 to 1, the lesser first
        1: level no-extras keeps NaN to 1 of a product; expected 0 to 1, the lesser first
        1: level no-extras can't be entered: it has no condition to enter
        1: level no-extras can't be left: it has no condition to leave
        1: level no-extras is left at pressure = 0.8 and entered at 0.8: it would be left while it is entered
        1: level no-extras has late as a condition to enter but not as one to leave: each signal that enters a level must also end it
        1: level no-extras is unreachable: essentials is entered under the same or weaker conditions
        fine
        2: level essentials keeps more of a request class than no-extras above it
        2: level essentials sheds the once-only product tally-submit before the inquiry-like product results-page, which earns less for its work; force = true if that is meant
        fine
        fine"#]].assert_eq(&messages.join("\n"));
}
