use std::io::{BufReader, Cursor};

use amberarch_histories::{Line, Reader, Spoilt};

/// A reader of files in memory.
fn reader(files: &[(&str, &str)]) -> Result<Reader, Spoilt> {
    let named = files.iter().map(|(name, text)| {
        let from = BufReader::new(Cursor::new(text.as_bytes().to_vec()));
        (name.to_string(), Box::new(from) as Box<dyn std::io::BufRead + Send>)
    });
    Reader::of(named.collect())
}

fn died(at: u64, who: &str) -> String {
    format!("{{\"at\":{at},\"who\":\"{who}\",\"what\":\"died\"}}\n")
}

fn all(files: &[(&str, &str)]) -> (Vec<Line>, u64, Option<Spoilt>) {
    let mut reader = match reader(files) {
        Ok(reader) => reader,
        Err(why) => return (vec![], 0, Some(why)),
    };
    let (mut lines, mut why) = (Vec::new(), None);
    for line in &mut reader {
        match line {
            Ok(line) => lines.push(line),
            Err(spoilt) => why = Some(spoilt),
        }
    }
    (lines, reader.half_lines(), why)
}

#[test]
fn files_are_merged_by_time_and_each_keeps_its_order() {
    let a = died(1, "a") + &died(5, "a") + &died(5, "a2") + &died(9, "a");
    let b = died(2, "b") + &died(5, "b") + &died(6, "b");
    let (lines, incomplete, why) = all(&[("a", &a), ("b", &b)]);
    assert!(incomplete == 0 && why.is_none(), "{why:?}");
    let order: Vec<(u64, &str)> = lines.iter().map(|line| (line.at, line.who.as_str())).collect();
    assert_eq!(order, [(1, "a"), (2, "b"), (5, "a"), (5, "a2"), (5, "b"), (6, "b"), (9, "a")]);
}

#[test]
fn a_killed_process_leaves_an_incomplete_line() {
    let whole = died(1, "a") + &died(2, "a");
    // Wherever the last line was cut, everything before it is read; a complete line without its newline
    // counts too.
    for cut in died(1, "a").len()..whole.len() {
        let (lines, incomplete, why) = all(&[("a", &whole[..cut]), ("b", &died(3, "b"))]);
        assert!(why.is_none(), "{why:?}");
        let last = cut == whole.len() - 1;
        let none = cut == died(1, "a").len();
        assert_eq!(
            (lines.len(), incomplete),
            (if last { 3 } else { 2 }, u64::from(!last && !none)),
            "cut at {cut}"
        );
    }
}

#[test]
fn an_incomplete_line_in_the_middle_names_its_file_and_line() {
    let text = died(1, "a") + "{\"at\":2,\"who\":" + &died(3, "a") + &died(4, "a");
    let (lines, _, why) = all(&[("good", &died(2, "b")), ("bad", &text)]);
    // The line before the error is not lost.
    assert_eq!(lines.first().map(|line| line.at), Some(1));
    let Some(Spoilt::NoLine { file, line, .. }) = &why else { panic!("{why:?}") };
    assert_eq!((file.as_str(), *line), ("bad", 2));
    assert!(why.is_some_and(|why| why.to_string().contains("bad, line 2") && why.advice().contains("own")));
}

#[test]
fn a_file_that_goes_back_in_time_is_rejected() {
    let (_, _, why) = all(&[("a", &(died(5, "a") + &died(4, "a")))]);
    assert!(matches!(why, Some(Spoilt::Backwards { line: 2, at: 4, before: 5, .. })), "{why:?}");
}

#[test]
fn a_file_that_is_not_a_history_is_rejected_before_it_fills_the_memory() {
    let (_, _, why) = all(&[("a", &"x".repeat(3 << 20))]);
    assert!(matches!(why, Some(Spoilt::TooLong { line: 1, .. })), "{why:?}");
}

#[test]
fn an_event_of_another_version_is_an_error() {
    let (_, _, why) = all(&[("a", "{\"at\":1,\"who\":\"a\",\"what\":\"danced\"}\n")]);
    assert!(matches!(why, Some(Spoilt::NoLine { line: 1, .. })), "{why:?}");
}

#[test]
fn a_file_that_is_missing_is_named() {
    let why = Reader::open(&["/no/such/history.jsonl"]).err().expect("there is none");
    assert!(why.to_string().contains("/no/such/history.jsonl") && !why.advice().is_empty());
}
