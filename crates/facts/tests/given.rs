use amberarch_facts::Given;
use expect_test::expect;

/// Guards against settings that the simulator and the service read differently: both forms give the same paths.
#[test]
fn pairs_and_json_give_the_same() {
    let json = r#"{"az":1,"classes":[{"name":"a page","points":2.0},{"name":"b","points":1}],"dcs":["x","y"],
        "familyInfo":{"classWrites":[false,true],"zonal":true,"worst":null},"loadInfo":{"columns":[]}}"#;
    let pairs = "az=1 classes.count=2 classes.0.name=a_page classes.0.points=2.0 classes.1.name=b \
        classes.1.points=1 dcs=x,y familyInfo.classWrites=false,true familyInfo.zonal=true loadInfo.columns=";
    let from_json = Given::from_json(&serde_json::from_str(json).unwrap());
    assert_eq!(from_json, Given::from_pairs(pairs.split(' ')));
    expect![[r#"
        Given(
            {
                "az": "1",
                "classes.0.name": "a_page",
                "classes.0.points": "2.0",
                "classes.1.name": "b",
                "classes.1.points": "1",
                "classes.count": "2",
                "dcs": "x,y",
                "familyInfo.classWrites": "false,true",
                "familyInfo.zonal": "true",
                "loadInfo.columns": "",
            },
        )"#]]
    .assert_eq(&format!("{:#?}", from_json.unwrap()));
}

#[test]
fn an_error_names_the_setting_that_is_missing_or_wrong() {
    let error =
        |pairs: &str| Given::from_pairs(pairs.split(' ')).and_then(|given| given.steward(1).map(drop));
    let errors =
        ["", "az", "az=x", "az=0", "az=0 dcs=a balancers=many"].map(|pairs| error(pairs).unwrap_err());
    expect![[r#"
        expected the setting az, found none
        expected path=value, found 'az'
        expected a number for the setting az, found 'x'
        expected the setting dcs, found none
        expected a number for the setting balancers, found 'many'"#]]
    .assert_eq(&errors.join("\n"));
}
