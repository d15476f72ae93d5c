//! Tests of the settings file: each fault is reported with its line and a suggestion, and the keys
//! and defaults agree with the reference page.

use jacinthpoint_node::{Absent, NodeSettings, SETTINGS_KEYS, SettingsKey, parse_settings};
use jacinthpoint_placement::RepairSettings;

const MINIMAL: &str = "[node]\nname = node-1\ndata_centre = bne-north\n[listen]\n\
    callers = 10.0.0.1:8080\noperators = 10.0.0.1:8081\npeers = 10.0.0.1:8082\n\
    [platform]\naddress = 10.0.9.9:7000\n";
const PAGE: &str = include_str!("../../../docs/operators/settings.md");

fn minimal() -> NodeSettings {
    parse_settings(MINIMAL).expect("the minimal settings are valid")
}

/// Defines tests that replace a text in the minimal settings, append lines and expect all resulting
/// faults.
macro_rules! faults {
    ($($name:ident: $from:expr => $to:expr, $more:expr => $faults:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let text = MINIMAL.replacen($from, $to, 1) + $more;
                let errors = parse_settings(&text).expect_err("the settings are faulty");
                let shown: Vec<String> = errors.iter().map(ToString::to_string).collect();
                assert_eq!(shown, $faults);
            }
        )+
    };
}

faults! {
    unknown_key_gets_a_suggestion: "name" => "nmae", "" => [
        "line 1: `name` is missing in `[node]`",
        "line 2: unknown key `nmae`; did you mean `name`?",
    ];
    unknown_section_gets_a_suggestion: "" => "", "[limit]\nx = 1\n" => [
        "line 10: unknown section `[limit]`; did you mean `limits`?"
    ];
    key_without_unit_gets_a_suggestion_with_unit: "" => "", "[limits]\nread_deadline = 5\n" => [
        "line 11: unknown key `read_deadline`; did you mean `read_deadline_ms`, in milliseconds?"
    ];
    key_in_another_unit_gets_a_suggestion_in_milliseconds:
        "" => "", "[limits]\ndrain_deadline_s = 30\n" => [
        "line 11: unknown key `drain_deadline_s`; did you mean `drain_deadline_ms`, in \
         milliseconds?"
    ];
    key_in_another_section_is_refused_with_its_section:
        "" => "", "[limits]\nstatsd = 10.0.0.1:8125\n" => [
        "line 11: unknown key `statsd`; it belongs in `[metrics]`"
    ];
    value_with_unit_is_refused_with_the_converted_value:
        "" => "", "[limits]\ndrain_deadline_ms = 1.5 min\n" => [
        "line 11: `drain_deadline_ms = 1.5 min`: invalid digit found in string; the unit is in \
         the name of the key, so write `drain_deadline_ms = 90000`"
    ];
    deadline_given_in_seconds_is_out_of_range: "" => "", "[limits]\ndefault_deadline_ms = 30\n" => [
        "line 11: `default_deadline_ms = 30` is not within 100 to 86400000"
    ];
    value_that_is_not_a_number_is_refused: "" => "", "[limits]\nmax_connections = many\n" => [
        "line 11: `max_connections = many`: invalid digit found in string"
    ];
    address_without_port_is_refused: "10.0.9.9:7000" => "10.0.9.9", "" => [
        "line 9: `address = 10.0.9.9`: invalid socket address syntax"
    ];
    duplicate_key_is_refused: "" => "", "[limits]\nmax_connections = 5\nmax_connections = 6\n" => [
        "line 12: key `max_connections` is already defined in line 11"
    ];
    duplicate_section_is_refused:
        "" => "", "[node]\n" => ["line 10: section `[node]` is already defined in line 1"];
    two_listeners_on_one_address_are_refused: "10.0.0.1:8081" => "10.0.0.1:8080", "" => [
        "line 6: `operators` takes the same address as `callers`"
    ];
    listener_that_overlaps_an_unspecified_address_is_refused:
        "10.0.0.1:8080" => "0.0.0.0:8082", "" => [
        "line 7: `peers` takes the same address as `callers`"
    ];
    unspecified_peers_address_is_refused: "10.0.0.1:8082" => "0.0.0.0:8082", "" => [
        "line 7: `peers`, or else `advertise_peers`, must be an address at which other nodes reach \
         this one, since it is told to them"
    ];
    own_address_as_platform_is_refused: "10.0.9.9:7000" => "10.0.0.1:8081", "" => [
        "line 9: `address` is where this node listens for `operators`"
    ];
    announcement_longer_than_the_stop_is_refused:
        "" => "", "[limits]\ndrain_deadline_ms = 4000\n" => [
        "line 10: `drain_announce_ms = 5000` leaves no time before `drain_deadline_ms = 4000`"
    ];
    several_faults_are_all_reported:
        "node-1" => "node 1", "[limits]\nmax_connections = 0\n[metrics]\nstatsd = here\n" => [
        "line 2: `name = node 1`: \"node 1\" is not a name: use 1 to 64 characters of a-z, \
         A-Z, 0-9, '-', '_', '.'",
        "line 11: `max_connections = 0` is not within 1 to 1000000",
        "line 13: `statsd = here`: invalid socket address syntax",
    ];
}

#[test]
fn comments_are_skipped_and_lists_are_split() {
    let text =
        format!("# a note = 1\n; another\n{MINIMAL}[peers]\nseeds = 10.0.0.2:1, 10.0.0.3:1\n");
    let settings = parse_settings(&text).expect("the settings are valid");
    assert_eq!(settings.seeds.len(), 2);
}

#[test]
fn repair_defaults_match_the_placement_crate() {
    assert_eq!(minimal().repair, RepairSettings::new());
}

fn row_start(key: &SettingsKey) -> String {
    let absent = match key.absent {
        Absent::Refused => "required".to_owned(),
        Absent::Nothing => "none".to_owned(),
        Absent::Default(text) => format!("`{text}`"),
    };
    let range = key.range.as_ref().map_or("-".to_owned(), |range| {
        format!("{} to {}", range.start(), range.end())
    });
    format!(
        "| `{}` | `{}` | {absent} | {range} | ",
        key.section, key.name
    )
}

#[test]
fn every_key_is_documented() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    for key in SETTINGS_KEYS {
        let start = row_start(key);
        let row = rows.iter().find(|row| row.starts_with(&start));
        let row = row.unwrap_or_else(|| panic!("settings.md has no row that starts with {start}"));
        assert!(
            row.len() > start.len() + 10,
            "row has no description: {row}"
        );
    }
    assert_eq!(
        rows.len(),
        SETTINGS_KEYS.len(),
        "settings.md has a row for an unknown key"
    );
}

#[test]
fn example_on_the_page_is_valid() {
    let lines = PAGE.lines().filter_map(|line| line.strip_prefix("    "));
    let example: Vec<&str> = lines.collect();
    parse_settings(&example.join("\n")).expect("the example is valid");
}
