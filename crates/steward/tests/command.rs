//! The program itself: its command line, and the intake switched on by an operator's file.

use std::path::Path;
use std::process::{Command, Output};

use expect_test::expect;

fn amberarch(dir: &Path, args: &[&str]) -> (Option<i32>, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_amberarch"))
        .args(args)
        .current_dir(dir)
        .env_remove("GW_CONFIG")
        .output()
        .expect("the program starts");
    let said = [stdout, stderr].concat();
    (status.code(), String::from_utf8_lossy(&said).into_owned())
}

#[test]
fn check_names_what_is_on_or_the_place_of_the_first_fault() {
    let dir = tempfile::tempdir().expect("a folder");
    let files = [
        ("none.toml", "# nothing\n"),
        ("on.toml", "[intake]\nlisten = \"127.0.0.1:7070\"\nreports_per_s = 10\n"),
        ("bad.toml", "[intake]\nlisten = \"127.0.0.1:7070\"\nreports_per_s = \"many\"\n"),
    ];
    for (name, text) in files {
        std::fs::write(dir.path().join(name), text).expect("a file");
    }
    std::fs::write(dir.path().join("binary.toml"), [0xff, 0xfe]).expect("a file");
    let mut said = String::new();
    for args in [
        &["check", "none.toml"][..],
        &["check", "on.toml"],
        &["check", "on.toml", "--json"],
        &["check", "bad.toml"],
        &["check", "bad.toml", "--json"],
        &["check", "binary.toml"],
        &["check", "absent.toml"],
    ] {
        let (code, text) = amberarch(dir.path(), args);
        said += &format!("{} -> {code:?} {text}", args.join(" "));
    }
    expect![[r#"
        check none.toml -> Some(0) fine, nothing is switched on
        check on.toml -> Some(0) fine, on: intake
        check on.toml --json -> Some(0) {"fine":true,"on":["intake"]}
        check bad.toml -> Some(2) amberarch: bad.toml:3:17: invalid type: string "many", expected u32
        check bad.toml --json -> Some(2) {"fault":"bad.toml:3:17: invalid type: string \"many\", expected u32","fine":false}
        check binary.toml -> Some(2) amberarch: binary.toml: not UTF-8
        check absent.toml -> Some(2) amberarch: absent.toml: No such file or directory (os error 2)
    "#]].assert_eq(&said);
}

#[test]
fn a_start_with_a_file_that_is_wrong_or_was_named_and_is_absent_ends_with_its_place() {
    let dir = tempfile::tempdir().expect("a folder");
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    std::fs::create_dir(dir.path().join("deploy")).expect("a folder");
    let start = |args: &[&str]| {
        let Output { status, stderr, .. } = Command::new(env!("CARGO_BIN_EXE_amberarch"))
            .args(args)
            .current_dir(dir.path())
            .env("GW_CONFIG", &config)
            .output()
            .expect("the program starts");
        format!("{:?} {}", status.code(), String::from_utf8_lossy(&stderr))
    };
    let absent = start(&["run", "--operator", "absent.toml"]);
    assert_eq!(absent, "Some(2) amberarch: absent.toml: No such file or directory (os error 2)\n");
    // The usual place is looked at without being named.
    std::fs::write(dir.path().join("deploy/amberarch.toml"), "\n[intake]\nlisten = 1\n").expect("a file");
    let usual = start(&[]);
    let told =
        "Some(2) amberarch: deploy/amberarch.toml:3:10: invalid type: integer `1`, expected socket address\n";
    assert_eq!(usual, told);
}
