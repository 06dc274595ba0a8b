use amberarch_steward::config::{addresses, parse};
use expect_test::expect;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"relay":{"address":"127.2.0.2:6400"},
 "known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"az":0,"balancers":2,"classes":[{"deadline":2500000000,"effect":"free","goalTime":800000000,
 "keyScope":"all","lateWorth":0.2,"name":"results page","points":1.0,"window":5000000000}],"dcs":["a","b"],
 "discovery":"pushed","familyInfo":{"agents":60,"backlog":2700.0,"bootstrap":5,"classOwnZone":[false],
 "classWrites":[false],"defaultRetry":0,"egressPerS":2700.0,"emptyFor":4000000000,"levelKind":"off",
 "messagesOver":10000000000,"overhead":6.0,"propagation":185000000,"reloadsMax":30,"reportEvery":2000000000,
 "reportsPerS":120.0,"shards":0,"tryFactor":0.8,"worstTransit":462500000,"zonal":false},"kinds":["k4"],
 "loadInfo":{"columns":[],"how":"off"},"policyLimits":{"connectTimeout":250000000,"mayProbe":true},
 "rules":{"askWithin":10000000000,"coldFrom":0.17,"drainGrace":2200000000,"fallMultiple":4.0,
 "overloadFor":2000000000,"warmWithin":17000000000},"somethingNew":[1,{"x":null}]}}"#;

/// Guards against a start with an incomplete configuration: one line names the missing or invalid setting.
#[test]
fn what_is_missing_or_wrong_is_named() {
    let try_with = |from: &str, to: &str| {
        let text = CONFIG.replacen(from, to, 1);
        match parse(&text, |_| None) {
            Ok(config) => format!("{} {:?}\n", config.name, config.labels.products),
            Err(why) => format!("{why}\n"),
        }
    };
    let said: String = [
        try_with("", ""),
        try_with("{\"name", "{{"),
        try_with("\"name\"", "\"noname\""),
        try_with("127.0.0.4:3000", "127.0.0.4"),
        try_with("\"sockets\":1024", "\"sockets\":\"many\""),
        try_with("8c1f", "xyz"),
        try_with("\"seq\":41", "\"seq\":-1"),
        try_with("\"overhead\":6.0,", ""),
        try_with("\"goalTime\":800000000", "\"goalTime\":\"soon\""),
        try_with("\"levelKind\":\"off\"", "\"levelKind\":\"some\""),
        try_with("\"connectTimeout\":250000000", "\"connectTimeout\":-1"),
        try_with("\"settings\"", "\"setting\""),
    ]
    .concat();
    expect![[r#"
        n3 ["results_page"]
        key must be a string at line 1 column 2
        expected a text at /name
        expected an address and port at /listen, found '127.0.0.4'
        expected a number at /limits/sockets
        expected a hexadecimal number at /seed, found 'xyz30d27a5be964'
        known: invalid value: integer `-1`, expected u64
        expected the setting familyInfo.overhead, found none
        expected a number for the setting classes.0.goalTime, found 'soon'
        expected off or fraction or per_second for the setting familyInfo.levelKind, found 'some'
        expected a time for the setting policyLimits.connectTimeout, found '-1'
        expected settings, found none
    "#]]
    .assert_eq(&said);
}

/// Guards against a start with settings that are valid one by one but not together: a controller that directs no proxy, or
/// one whose own connections leave no descriptor for a collector.
#[test]
fn limits_that_contradict_each_other_end_the_start() {
    let try_with = |from: &str, to: &str| {
        assert!(CONFIG.contains(from), "{from}");
        parse(&CONFIG.replacen(from, to, 1), |_| None).map_or_else(|why| why + "\n", |_| "taken\n".into())
    };
    let said: String = [
        try_with("\"balancers\":2", "\"balancers\":0"),
        try_with("\"az\":0", "\"az\":2"),
        try_with("\"agents\":60", "\"agents\":65537"),
        try_with("\"agents\":60", "\"agents\":65536"),
        try_with("\"egressPerS\":2700.0", "\"egressPerS\":0"),
        try_with("\"reportEvery\":2000000000", "\"reportEvery\":0"),
        try_with("\"reportsPerS\":120.0", "\"reportsPerS\":-1"),
        try_with("\"warmWithin\":17000000000", "\"warmWithin\":0"),
        try_with("\"backlog\":2700.0", "\"backlog\":6"),
        try_with("\"worstTransit\":462500000", "\"worstTransit\":184000000"),
        try_with("\"sockets\":1024", "\"sockets\":47"),
        try_with("\"sockets\":1024", "\"sockets\":48"),
    ]
    .concat();
    expect![[r#"
        expected one controller or more for the setting balancers, found 0
        expected one of the 2 zones of dcs, from 0 for the setting az, found 2
        expected 65536 proxies at the most, as their numbers have two bytes for the setting familyInfo.agents, found 65537
        taken
        expected more than 0 for the setting familyInfo.egressPerS, found 0
        expected more than 0 for the setting familyInfo.reportEvery, found 0
        expected more than 0 for the setting familyInfo.reportsPerS, found -1
        expected more than 0 for the setting rules.warmWithin, found 0
        expected more than the 6 lines of a message's head, familyInfo.overhead for the setting familyInfo.backlog, found 6
        expected no less than familyInfo.propagation, 185000000 for the setting familyInfo.worstTransit, found 184000000
        expected at least 48 at /limits/sockets, found 47: half are for those who connect, two collectors for each of 2 zones and one more, a quarter for probes, the rest for the program itself
        taken
    "#]].assert_eq(&said);
}

/// Addresses in the environment take precedence over the file.
#[test]
fn the_environment_goes_first() {
    let env = |name: &str| (name == "GW_LISTEN").then(|| "127.0.0.9:3001".to_string());
    let config = parse(CONFIG, env).map_err(|why| panic!("{why}")).unwrap();
    assert_eq!(config.listen.to_string(), "127.0.0.9:3001");
    assert_eq!(config.discovery.to_string(), "127.2.0.1:8500");
}

/// Guards against a new configuration that the environment of the start overrides, and against accepting half a file.
#[test]
fn a_new_configuration_is_read_whole_and_its_addresses_go_first() {
    let moved = CONFIG.replace("127.2.0.1:8500", "127.2.1.1:8501").replace("127.2.0.2", "127.2.1.2");
    expect!["Ok(Addresses { discovery: 127.2.1.1:8501, relay: 127.2.1.2:6400 })"]
        .assert_eq(&format!("{:?}", addresses(&moved)));
    expect![[r#"Err("EOF while parsing an object at line 12 column 81")"#]]
        .assert_eq(&format!("{:?}", addresses(&moved[..moved.len() - 2])));
    expect![[r#"Err("EOF while parsing a value at line 1 column 0")"#]]
        .assert_eq(&format!("{:?}", addresses("")));
}
