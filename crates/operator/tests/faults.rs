//! Every fault of an operator's file is told with its place.

use amberarch_operator::Operator;
use expect_test::expect;

fn told(text: &str) -> String {
    match Operator::parse(text) {
        Ok(operator) => format!("fine: {:?}", operator.sections()),
        Err(fault) => fault.to_string(),
    }
}

const FINE: &str = "[intake]\nlisten = \"127.0.0.1:7070\"\nreports_per_s = 50000\n";

#[test]
fn an_absent_section_is_off_and_a_present_one_is_on() {
    assert_eq!(told(""), "fine: []");
    assert_eq!(told("# nothing but a word\n"), "fine: []");
    assert_eq!(told(FINE), "fine: [\"intake\"]");
}

#[test]
fn what_can_not_be_is_told_with_line_and_column() {
    let with = |line: &str| format!("{FINE}{line}\n");
    let cases = [
        "[intakes]\n".to_string(),
        "[intake]\nlisten = 7070\nreports_per_s = 1\n".into(),
        "[intake]\nreports_per_s = 1\n".into(),
        "[intake]\nlisten = \"127.0.0.1:70700\"\nreports_per_s = 1\n".into(),
        "[intake]\nlisten = \"127.0.0.1:7070\"\nreports_per_s = 0\n".into(),
        "[intake]\nlisten = \"127.0.0.1:7070\"\nreports_per_s = -4\n".into(),
        "[intake\n".into(),
        "intake = 3\n".into(),
        with("most_conections = 3"),
        with("reports_per_s = 3"),
        with("most_reports_per_batch = 4000"),
        with("most_message_bytes = 1024"),
        with("most_bytes_in_hand = 1000"),
        with("most_connections = 60000"),
    ];
    let all: Vec<String> = cases.iter().map(|text| told(text)).collect();
    expect![[r#"
        1:2: unknown field `intakes`, expected one of `intake`, `levels`, `state`
        2:10: invalid type: integer `7070`, expected socket address
        1:1: missing field `listen`
        2:10: invalid socket address syntax
        3:17: reports_per_s = 0: expected 1 to 1000000
        3:17: invalid value: integer `-4`, expected u32
        1:8: unclosed table, expected `]`
        1:10: invalid type: integer `3`, expected struct Intake
        4:1: unknown field `most_conections`, expected one of `listen`, `reports_per_s`, `most_connections`, `most_streams_per_connection`, `most_reporters`, `most_hosts_per_reporter`, `most_reports_per_batch`, `most_message_bytes`, `most_bytes_in_hand`
        4:1: duplicate key
        4:26: most_reports_per_batch = 4000: expected 1 to 1000
        4:22: most_message_bytes = 1024: 1000 reports of a batch may take 64000
        4:22: most_bytes_in_hand = 1000: expected 33553920 to 17179869184
        4:20: most_bytes_in_hand = 67108864: expected 3932100000 to 17179869184"#]].assert_eq(&all.join("\n"));
}

#[test]
fn a_column_counts_characters_not_bytes() {
    let text = "[intake] # āčē\nlisten = \"127.0.0.1:7070\"\nreports_per_s = 0 # ž\n";
    assert_eq!(told(text), "3:17: reports_per_s = 0: expected 1 to 1000000");
}

#[test]
fn the_window_of_a_connection_shares_out_what_may_be_in_hand() {
    let window = |more: &str| Operator::parse(&format!("{FINE}{more}")).unwrap().intake.unwrap().window();
    assert_eq!(window("most_connections = 1000\nmost_bytes_in_hand = 100000000\n"), 100_000);
    assert_eq!(window("most_connections = 2\n"), 1 << 20);
}
