//! Every error in an operator's file is reported with its place.

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
        1:2: unknown field `intakes`, expected one of `fleet`, `guard`, `intake`, `levels`, `state`
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

const FLEET: &str = r#"[fleet]
id = "lv"
listen = "127.0.0.1:7100"
policy = "policy.toml"
folder = "/var/lib/amberarch/fleet"
govern = ["pay", "look"]

[[fleet.member]]
name = "a"
address = "127.0.0.1:7100"
votes = true

[[fleet.member]]
name = "b"
address = "127.0.0.1:7101"
votes = true

[[fleet.member]]
name = "c"
address = "127.0.0.1:7102"
"#;

#[test]
fn a_fleet_of_voters_and_followers_is_read_with_its_lengths() {
    assert_eq!(told(FLEET), "fine: [\"fleet\"]");
    let fleet = Operator::parse(FLEET).unwrap().fleet.unwrap();
    assert_eq!(fleet.own("b", 0..0).map(|member| member.votes), Ok(true));
    assert_eq!(fleet.own("c", 0..0).map(|member| member.votes), Ok(false));
    assert_eq!(fleet.own("d", 3..4), Err((3..4, "no member is named d, as this steward is".into())));
}

#[test]
fn members_and_lengths_that_contradict_each_other_are_told_with_their_place() {
    let with = |line: &str| FLEET.replace("id = ", &format!("{line}\nid = "));
    let swap = |from: &str, to: &str| FLEET.replacen(from, to, 1);
    let many: String = (0..8)
        .map(|n| {
            format!("[[fleet.member]]\nname = \"v{n}\"\naddress = \"127.0.0.2:{}\"\nvotes = true\n", 7100 + n)
        })
        .collect();
    let cases = [
        with("name = \"d\""),
        with("naem = \"a\""),
        with("acts = \"3\""),
        with("acts = \"1s\""),
        with("acts = \"10ms\""),
        with("election = \"2s\""),
        with("beat = \"200ms\""),
        with("knows = \"3s\""),
        with("drift = 0.5"),
        with("slack = \"2s\""),
        with("check_within = \"1s\""),
        with("grant = \"300ms\""),
        with("linger = \"2h\""),
        with("most_message_bytes = 100"),
        swap("id = \"lv\"", "id = \"\""),
        swap("govern = [\"pay\", \"look\"]", "govern = []"),
        swap("\"look\"]", "\"pay\"]"),
        swap("name = \"c\"", "name = \"a\""),
        swap("7102", "7100"),
        FLEET.replace("votes = true", "votes = false"),
        format!("{FLEET}{many}"),
        with("name = \"a\"").replace("folder", "# folder"),
        swap("7100\"", "\""),
    ];
    let all: Vec<String> = cases.iter().map(|text| told(text)).collect();
    expect![[r#"
        2:8: no member is named d, as this steward is
        2:1: unknown field `naem`, expected one of `name`, `id`, `listen`, `member`, `folder`, `policy`, `govern`, `acts`, `knows`, `drift`, `slack`, `linger`, `election`, `beat`, `check_within`, `grant`, `txns_per_s_per_weight`, `most_message_bytes`, `history`
        2:8: invalid value: string "3", expected a duration
        2:8: acts = 1000 ms: at least three elections of 500 ms, or each costs all leases
        2:8: acts = 10ms: expected 100ms to 3600s
        2:12: acts = 3000 ms: at least three elections of 2000 ms, or each costs all leases
        2:8: election = 500 ms: at least four beats of 200 ms
        2:9: knows = 3000 ms: at least acts and slack, 3100 ms
        2:9: drift = 0.5: expected 0 to 0.1, as a part
        2:9: slack = 2000 ms: at most half of acts, 3000 ms
        2:16: check_within = 1000 ms: at least acts, 3000 ms
        2:9: grant = 300 ms: at least four beats of 100 ms
        2:10: linger = 7200s: expected 0ns to 3600s
        2:22: most_message_bytes = 100: expected 65536 to 67108864
        2:6: id of 0 bytes: expected 1 to 128
        6:10: govern = []: name the products a policy may ever govern
        6:18: product pay is named twice
        19:8: two members are named a
        20:11: two members are at 127.0.0.1:7100
        8:1: no member votes: 1 to 7 have to
        41:1: 10 members vote: 1 to 7 may
        10:8: a votes and has no folder for what has to last
        3:10: invalid socket address syntax"#]].assert_eq(&all.join("\n"));
}
