//! Record files: faults name file and line, two schema versions can be mixed, records are checked
//! against each other, and two sets can be compared.

use jacinthpoint_records::{
    Config, RecordsObject, SourceFile, changes, record_from_json, records_from_files, to_toml,
};
use jacinthpoint_types::Revision;
use quickcheck::quickcheck;

fn read(texts: &[&str]) -> Result<RecordsObject, Vec<String>> {
    let files: Vec<SourceFile> = texts
        .iter()
        .enumerate()
        .map(|(index, text)| SourceFile {
            name: format!("{index}.toml"),
            text: (*text).to_owned(),
        })
        .collect();
    records_from_files(&files).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// The text of a file and the faults that must be reported for it, in order.
macro_rules! faults {
    ($($name:ident: $text:expr => $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let faults = read(&[$text]).expect_err("the file is faulty");
                assert_eq!(faults, $faults);
            }
        )+
    };
}

faults! {
    invalid_toml_is_reported: "[[record]]\nschema = \n" => [
        "0.toml:2: string values must be quoted, expected literal string"
    ];
    misspelt_table_is_reported: "[[records]]\nschema = 2\n" => [
        "0.toml:1: unknown field `records`, expected `record`"
    ];
    missing_schema_is_reported: "[[record]]\nkind = 'service'\nname = 's'\n" => [
        "0.toml:1: a record needs `schema = 2`"
    ];
    newer_schema_is_reported: "[[record]]\nkind = 'service'\nname = 's'\nschema = 3\n" => [
        "0.toml:4: schema 3 is not known here: this release reads 1 and 2"
    ];
    unknown_kind_is_reported_with_a_suggestion: "[[record]]\nschema = 2\nkind = 'deploiment'\n" => [
        "0.toml:3: unknown kind `deploiment`; did you mean `deployment`?"
    ];
    all_faults_of_a_record_are_reported: "[[record]]\nschema = 2\nkind = 'deployment'\nname = 'a b'\n\
        model = 'm'\nreplica = 2\ngroup_size = 0\nstandbys = 'one'\n" => [
        "0.toml:1: `replicas` is missing",
        "0.toml:1: `version` is missing",
        "0.toml:4: `name`: \"a b\" is not a name: use 1 to 64 characters of a-z, A-Z, 0-9, \
         '-', '_', '.'",
        "0.toml:6: unknown field `replica`; did you mean `replicas`?",
        "0.toml:7: `group_size` must be at least 1",
        "0.toml:8: `standbys`: invalid type: string \"one\", expected u16",
    ];
    undeclared_organisation_is_reported: "[[record]]\nschema = 2\nkind = 'service'\nname = 's'\n\
        organisations = ['nobody']\n" => [
        "0.toml:5: service `s` names `nobody`, which no record declares"
    ];
    negative_rate_is_reported: "[[record]]\nschema = 2\nkind = 'organisation'\nname = 'o'\n\
        key_sha256 = []\nrequests_per_s = -1.0\n" => [
        "0.toml:6: `requests_per_s` must be a number above 0"
    ];
}

#[test]
fn duplicate_in_two_files_is_reported_with_both_places() {
    let text = "\n[[record]]\nschema = 2\nkind = 'service'\nname = 's'\n";
    let faults = read(&[text, text]).expect_err("declared twice");
    assert_eq!(
        faults,
        ["1.toml:5: service `s` is declared already at 0.toml:2"]
    );
}

#[test]
fn key_shared_by_two_organisations_is_refused() {
    let organisation = |name: &str| {
        format!(
            "[[record]]\nschema = 2\nkind = 'organisation'\nname = '{name}'\n\
             key_sha256 = ['{}']\n",
            "ab".repeat(32)
        )
    };
    let faults = read(&[&organisation("a"), &organisation("b")]).expect_err("one key for two");
    assert_eq!(
        faults,
        ["1.toml:5: a key of `a` is also a key of this organisation"]
    );
}

const OLD: &str = "[[record]]\nschema = 1\nkind = 'deployment'\nname = 'old'\n\
    serves = 'm+a@v1'\ncopies = 3\n";
const NEW: &str = "[[record]]\nschema = 2\nkind = 'deployment'\nname = 'new'\nmodel = 'm'\n\
    adapter = 'a'\nversion = 'v1'\nreplicas = 3\n";

#[test]
fn equal_records_of_both_schema_versions_give_equal_deployments() {
    let object = read(&[OLD, NEW]).expect("both records are valid");
    let config = Config::from_object(Revision(1), &object).expect("a node accepts both");
    let [new, old] = ["new", "old"].map(|name| {
        let name = name.parse().expect("a valid name");
        config.deployments[&name].clone()
    });
    assert_eq!(new.model_ref(), old.model_ref());
    assert_eq!(new.replicas, old.replicas);
}

#[test]
fn newer_schema_is_refused_by_a_node() {
    let mut object = read(&[OLD, NEW]).expect("both records are valid");
    object.records[0]["schema"] = 3.into();
    let error = Config::from_object(Revision(2), &object).expect_err("a newer schema");
    assert_eq!(
        error.to_string(),
        "record 0: schema 3 is not known here: this release reads 1 and 2"
    );
}

#[test]
fn records_written_as_toml_are_read_back_unchanged() {
    let object = read(&[OLD, NEW]).expect("both records are valid");
    let text = to_toml(&object).expect("TOML can hold it");
    assert_eq!(read(&[&text]), Ok(object));
}

#[test]
fn changes_list_the_fields_that_differ() {
    let before = read(&[OLD, NEW]).expect("both records are valid");
    let after = NEW.replace("replicas = 3", "replicas = 4\nstandbys = 1");
    let after = read(&[&after]).expect("the records are valid");
    let shown: Vec<String> = changes(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        shown[0],
        "~ deployment new (changed)\n    replicas: 3 -> 4\n    + standbys: 1"
    );
    assert!(
        shown[1].starts_with("- deployment old (removed)"),
        "{}",
        shown[1]
    );
}

quickcheck! {
    fn any_text_does_not_panic(text: String) -> bool {
        let _ = read(&[&text]);
        true
    }

    fn order_of_files_does_not_change_the_records(swap: bool) -> bool {
        let files = if swap { [NEW, OLD] } else { [OLD, NEW] };
        read(&files) == read(&[OLD, NEW])
    }
}

const RECORDS_PAGE: &str = include_str!("../../../docs/operators/records.md");

#[test]
fn documented_example_is_valid() {
    // Indented lines are code blocks: the example and commands.
    let lines = RECORDS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("    "));
    let example: Vec<&str> = lines
        .filter(|line| !line.starts_with("jacinthpoint"))
        .collect();
    let object = read(&[&example.join("\n")]).expect("the example is valid");
    assert_eq!(object.records.len(), 3);
}

/// The parser's error for an unknown field lists all known fields, which this test looks up in the
/// documentation.
#[test]
fn every_field_is_documented() {
    for (kind, required) in [
        ("organisation", "key_sha256 = []"),
        ("deployment", "model = 'm'\nversion = 'v'\nreplicas = 1"),
        ("service", ""),
    ] {
        let text = format!("schema = 2\nkind = '{kind}'\nname = 'n'\nzzz = 1\n{required}\n");
        let value: serde_json::Value = toml::from_str(&text).expect("TOML");
        let error = record_from_json(&value)
            .expect_err("an unknown field")
            .to_string();
        // `name`, which every kind has, is described in the text and has no row.
        for field in error.split('`').skip(3).step_by(2).filter(|f| *f != "name") {
            let row = format!("| {kind} | `{field}` |");
            assert!(RECORDS_PAGE.contains(&row), "no row for {row}");
        }
    }
}
