//! The amberarch binary: its command line, and the features that an operator's file enables.

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
    let output = [stdout, stderr].concat();
    (status.code(), String::from_utf8_lossy(&output).into_owned())
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
    let mut output = String::new();
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
        output += &format!("{} -> {code:?} {text}", args.join(" "));
    }
    expect![[r#"
        check none.toml -> Some(0) fine, nothing is switched on
        check on.toml -> Some(0) fine, on: intake
        check on.toml --json -> Some(0) {"fine":true,"on":["intake"],"products_known":false}
        check bad.toml -> Some(2) amberarch: bad.toml:3:17: invalid type: string "many", expected u32
        check bad.toml --json -> Some(2) {"fault":"bad.toml:3:17: invalid type: string \"many\", expected u32","fine":false}
        check binary.toml -> Some(2) amberarch: binary.toml: not UTF-8
        check absent.toml -> Some(2) amberarch: absent.toml: No such file or directory (os error 2)
    "#]].assert_eq(&output);
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
    // The default path is read without being named.
    std::fs::write(dir.path().join("deploy/amberarch.toml"), "\n[intake]\nlisten = 1\n").expect("a file");
    let usual = start(&[]);
    let expected =
        "Some(2) amberarch: deploy/amberarch.toml:3:10: invalid type: integer `1`, expected socket address\n";
    assert_eq!(usual, expected);
}

/// Guards against starting with limits that can never serve a collector, and against reporting that in more
/// than one line.
#[test]
fn a_configuration_with_too_few_descriptors_ends_the_start_with_one_line() {
    let dir = tempfile::tempdir().expect("a folder");
    let (text, path) =
        (std::fs::read_to_string(config()).expect("the example"), dir.path().join("config.json"));
    for (from, to, named) in [
        ("\"sockets\": 1024", "\"sockets\": 32", "/limits/sockets"),
        ("\"balancers\": 1", "\"balancers\": 0", "balancers"),
        ("\"backlog\": 2000.0", "\"backlog\": 2.0", "familyInfo.backlog"),
    ] {
        assert!(text.contains(from), "{from}");
        std::fs::write(&path, text.replace(from, to)).expect("a file");
        let mut start = Command::new(env!("CARGO_BIN_EXE_amberarch"));
        let ended =
            start.current_dir(dir.path()).env("GW_CONFIG", &path).output().expect("the program starts");
        let output = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert_eq!(ended.status.code(), Some(2), "{output}");
        assert!(output.lines().count() == 1 && output.contains(named), "{output}");
    }
}

const LADDER: &str = r#"
[[levels.level]]
name = "full"

[[levels.level]]
name = "no-looks"
keep = { look = 0.0 }
enter = [{ signal = "pressure", over = 0.8 }]
leave = [{ signal = "pressure", under = 0.5, lasting = "6s" }]
stay = "20s"
"#;

fn config() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json")
}

#[test]
fn a_ladder_that_can_not_serve_is_told_with_its_place() {
    let dir = tempfile::tempdir().expect("a folder");
    let check = |change: &dyn Fn(&str) -> String, known: bool| {
        std::fs::write(dir.path().join("levels.toml"), change(&format!("[levels]{LADDER}"))).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberarch"));
        command.args(["check", "levels.toml"]).current_dir(dir.path()).env_remove("GW_CONFIG");
        if known {
            command.env("GW_CONFIG", config());
        }
        let Output { stdout, stderr, .. } = command.output().expect("the program starts");
        String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned()
    };
    let same = |text: &str| text.to_string();
    let output = [
        check(&same, true),
        check(&same, false),
        check(&|text| text.replace("look = 0.0", "lok = 0.0"), true),
        check(&|text| text.replace("look = 0.0", "pay = 0.0"), true),
        check(
            &|text| text.replace("look = 0.0", "pay = 0.0").replace("stay =", "force = true\nstay ="),
            true,
        ),
        check(&|text| text.replace("under = 0.5", "under = 0.9"), false),
        check(&|text| text.replace("\"6s\"", "\"6 sheep\""), false),
        check(&|text| text.replace("\"pressure\", over", "\"presure\", over"), false),
        check(&|text| text.replace("0.0 }", "{ least = 0.6, most = 0.3 } }"), false),
    ];
    expect![[r#"
        fine, on: levels
        fine, on: levels
        products are checked where GW_CONFIG names the deployment's configuration
        amberarch: levels.toml:7:10: no product is named lok; there are look, pay
        amberarch: levels.toml:5:1: level no-looks sheds the once-only product pay before the inquiry-like product look, which earns less for its work; force = true if that is meant
        fine, on: levels
        amberarch: levels.toml:5:1: level no-looks is left at pressure = 0.9 and entered at 0.8: it would be left while it is entered
        amberarch: levels.toml:9:56: invalid value: string "6 sheep", expected a duration
        amberarch: levels.toml:8:21: unknown variant `presure`, expected one of `pressure`, `voided`, `late`, `out`, `unseen`, `load`
        amberarch: levels.toml:5:1: level no-looks keeps 0.6 to 0.3 of a product; expected 0 to 1, the lesser first
    "#]].assert_eq(&output.concat());
}

/// A daemon without relay or discovery, killed when it is dropped.
struct Daemon(std::process::Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn daemon(dir: &Path) -> Daemon {
    let child = Command::new(env!("CARGO_BIN_EXE_amberarch"))
        .args(["run", "--operator", "operator.toml"])
        .current_dir(dir)
        .env("GW_CONFIG", config())
        .env("GW_LISTEN", "127.0.0.1:0")
        .env("GW_DISCOVERY", "127.0.0.1:9")
        .stderr(std::process::Stdio::piped())
        .spawn();
    Daemon(child.expect("the program starts"))
}

#[test]
fn a_running_daemon_is_asked_for_its_level_and_holds_a_pin() {
    let dir = tempfile::tempdir().expect("a folder");
    let socket = dir.path().join("levels.sock");
    std::fs::write(dir.path().join("operator.toml"), format!("[levels]\nsocket = {socket:?}\n{LADDER}"))
        .expect("a file");
    let ask =
        |args: &[&str]| amberarch(dir.path(), &[&["levels", "--operator", "operator.toml"], args].concat());
    assert_eq!(ask(&[]).0, Some(2), "nobody answers yet");
    let running = daemon(dir.path());
    let until = std::time::Instant::now() + std::time::Duration::from_secs(10);
    let mut output = String::new();
    while !output.contains("\"level\":\"full\"") && std::time::Instant::now() < until {
        std::thread::sleep(std::time::Duration::from_millis(100));
        output = ask(&["--json"]).1;
    }
    // The example's proxies support no service levels: levels are reported, nothing is limited.
    assert!(output.contains("\"level\":\"full\"") && output.contains("\"acts\":false"), "{output}");
    let (code, output) = ask(&["pin", "no-looks", "--for", "2m"]);
    assert!(code == Some(0) && output.starts_with("level no-looks, for 0 s"), "{output}");
    assert!(output.contains("full -> no-looks: pinned until"), "{output}");
    assert!(output.contains("lifted by  pressure under 0.5 for 6 s in all zones"), "{output}");
    let (code, output) = ask(&["pin", "dark", "--for", "2m"]);
    assert_eq!(
        (code, output.as_str()),
        (Some(2), "amberarch: no level is named dark; there are full, no-looks\n")
    );
    let (code, output) = ask(&["pin", "full", "--for", "2d"]);
    assert!(code == Some(2) && output.contains("at most 86400 seconds"), "{output}");
    let (code, output) = ask(&["unpin"]);
    assert!(code == Some(0) && !output.contains("is pinned"), "{output}");
    // A second daemon does not take over the socket of one that answers.
    let second = daemon(dir.path());
    let ended = ended(second);
    assert!(ended.contains("another daemon answers there"), "{ended}");
    assert_eq!(ask(&["show"]).0, Some(0));
    // A killed daemon leaves its socket behind; the next one removes it, but no file that is not a
    // socket.
    drop(running);
    assert!(socket.exists());
    let third = daemon(dir.path());
    let until = std::time::Instant::now() + std::time::Duration::from_secs(10);
    while ask(&["show"]).0 != Some(0) && std::time::Instant::now() < until {
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    assert_eq!(ask(&["show"]).0, Some(0));
    drop(third);
    std::fs::remove_file(&socket).expect("a socket that is left");
    std::fs::write(&socket, "dear to somebody").expect("a file");
    let ended = self::ended(daemon(dir.path()));
    assert!(ended.contains("something that is no socket is there"), "{ended}");
    assert_eq!(std::fs::read_to_string(&socket).expect("the file"), "dear to somebody");
}

fn ended(mut daemon: Daemon) -> String {
    use std::io::Read;
    let mut output = String::new();
    daemon.0.stderr.take().expect("its log").read_to_string(&mut output).expect("its log");
    assert_eq!(daemon.0.wait().expect("an end").code(), Some(2), "{output}");
    output
}

const FLEET: &str = r#"[fleet]
name = "a"
id = "lv"
listen = "127.0.0.1:7100"
policy = "policy.toml"
folder = "fleet"
govern = ["pay", "look"]

[[fleet.member]]
name = "a"
address = "127.0.0.1:7100"
votes = true
"#;

/// Guards against a policy whose errors are found only when it is proposed, at the peak.
#[test]
fn a_fleet_is_checked_with_the_policy_that_it_names_or_a_policy_alone() {
    let dir = tempfile::tempdir().expect("a folder");
    let write = |file: &str, text: &str| std::fs::write(dir.path().join(file), text).expect("a file");
    let check = |file: &str, known: bool| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberarch"));
        command.args(["check", file]).current_dir(dir.path()).env_remove("GW_CONFIG");
        if known {
            command.env("GW_CONFIG", config());
        }
        let Output { stdout, stderr, .. } = command.output().expect("the program starts");
        String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned()
    };
    let rule = "revision = 3\n[[residency.rule]]\nname = \"home\"\nproducts = [\"pay\"]\nfrom = [\"east\"]\npermit = [\"east\"]\n";
    write("operator.toml", FLEET);
    let mut output = check("operator.toml", false);
    write("policy.toml", rule);
    for known in [false, true] {
        output += &check("operator.toml", known);
        output += &check("policy.toml", known);
    }
    for (from, to) in [
        ("revision = 3", "revision = 0"),
        ("[\"east\"]\npermit", "[\"nowhere\"]\npermit"),
        ("permit = [\"east\"]", "permit = []"),
        ("\"pay\"", "\"pya\""),
        ("permit", "permits"),
    ] {
        write("policy.toml", &rule.replace(from, to));
        output += &check("operator.toml", true);
    }
    write("policy.toml", rule);
    write("operator.toml", &FLEET.replace("\"look\"", "\"lok\""));
    output += &check("operator.toml", true);
    write("operator.toml", &FLEET.replace("name = \"a\"\nid", "id"));
    output += &check("operator.toml", true);
    expect![[r#"
        amberarch: policy.toml: No such file or directory (os error 2)
        fine, on: fleet
        products are checked where GW_CONFIG names the deployment's configuration
        fine, revision 3
        names are checked where GW_CONFIG names the deployment's configuration
        fine, on: fleet
        fine, revision 3
        amberarch: policy.toml:1:12: revision = 0: numbers begin with 1
        amberarch: policy.toml:5:9: `nowhere` is no zone and no label; name a zone of the configuration, or add the label under `labels`
        amberarch: policy.toml:3:8: rule `home` leaves no zone to `pay` from zone `east`; permit a zone that is not forbidden, or say `declined = true` where nothing shall serve it
        amberarch: policy.toml:4:13: `pya` is no product; name a product of the configuration
        amberarch: policy.toml:6:1: unknown field `permits`, expected one of `name`, `customer`, `products`, `from`, `permit`, `forbid`, `fallback`, `never`, `until`, `declined`
        amberarch: operator.toml:7:18: no product is named lok; there are look, pay
        amberarch: operator.toml:2:6: no member is named try, as this steward is
    "#]].assert_eq(&output);
}

/// Guards against examples that the binary itself refuses.
#[test]
fn the_examples_under_deploy_are_fine_also_with_their_fleet_switched_on() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(dir.path().join("deploy")).expect("a folder");
    std::fs::copy(deploy.join("policy.toml"), dir.path().join("deploy/policy.toml")).expect("the example");
    let text = std::fs::read_to_string(deploy.join("amberarch.toml")).expect("the example");
    let fleet = text.lines().skip_while(|line| *line != "# [fleet]");
    let fleet: Vec<&str> = fleet.map(|line| line.strip_prefix("# ").unwrap_or("")).collect();
    assert!(fleet.len() > 20);
    std::fs::write(dir.path().join("fleet.toml"), fleet.join("\n")).expect("a file");
    let (code, output) = amberarch(dir.path(), &["check", "fleet.toml"]);
    assert!(code == Some(0) && output.starts_with("fine, on: fleet"), "{output}");
    let (code, output) = amberarch(dir.path(), &["check", "deploy/policy.toml"]);
    assert!(code == Some(0) && output.starts_with("fine, revision 1"), "{output}");
}
