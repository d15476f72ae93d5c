//! The settings parser reports each error with its line, and the reference page lists all keys.

use jacinthpoint_gateway::{SETTINGS_KEYS, parse_settings};

/// The required keys only.
const MINIMAL: &str = "[node]\nname = gateway-1\ndata_centre = bne-north\n[listen]\n\
    callers = 10.0.0.1:8080\nreadiness = 10.0.0.1:8081\n[store]\naddress = 10.0.9.9:7000\n";
const PAGE: &str = include_str!("../../../docs/operators/gateway-settings.md");

#[test]
fn missing_optional_keys_get_their_defaults() {
    let settings = parse_settings(MINIMAL).expect("the minimal settings are valid");
    assert_eq!((settings.grace_ms, settings.peers), (8_000, None));
}

/// Guards against roles that go to small VMs because fractions of a core or of a link rate are lost.
#[test]
fn capacity_is_read_in_fractions() {
    let text = MINIMAL.to_owned() + "[limits]\ncore_share = 0.12\nlink_mbps = 20.5\n";
    let capacity = parse_settings(&text)
        .expect("the settings are valid")
        .capacity;
    assert_eq!((capacity.core_permille, capacity.link_kbps), (120, 20_500));
}

/// Guards against a gateway that does not start where the platform sets no limit.
#[test]
fn capacity_of_zero_stands_for_no_limit() {
    let text = MINIMAL.to_owned() + "[limits]\ncore_share = 0\nlink_mbps = 0\n";
    let capacity = parse_settings(&text)
        .expect("the settings are valid")
        .capacity;
    assert_eq!(capacity.core_permille, u32::MAX);
    assert_eq!(capacity.link_kbps, u32::MAX);
}

/// Defines tests that add lines to the minimal settings and expect exactly these errors.
macro_rules! refused {
    ($($name:ident: $more:expr => $errors:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let text = MINIMAL.to_owned() + $more;
                let errors = parse_settings(&text).expect_err("the settings have errors");
                let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
                assert_eq!(messages, $errors);
            }
        )+
    };
}

refused! {
    unknown_key_is_refused_with_a_suggestion: "[stop]\ngrace = 5\n" => [
        "line 10: unknown key `grace`; did you mean `grace_ms`, in milliseconds?"
    ];
    unknown_section_is_refused: "[retry]\nratio = 1\n" => ["line 9: unknown section `[retry]`"];
    announcement_longer_than_grace_is_refused: "[stop]\ngrace_ms = 2000\nannounce_ms = 3000\n" => [
        "line 11: `announce_ms = 3000` is not below `grace_ms = 2000`, so no time is left for open \
         requests"
    ];
    ratio_out_of_range_is_refused: "[repeats]\nratio = 11\n" => [
        "line 10: `ratio = 11` is not within 0 to 10"
    ];
    core_share_that_is_no_number_is_refused: "[limits]\ncore_share = NaN\n" => [
        "line 10: `core_share` is neither 0 nor a number of 0.001 or more"
    ];
    negative_link_rate_is_refused: "[limits]\nlink_mbps = -20\n" => [
        "line 10: `link_mbps` is neither 0 nor a number of 0.001 or more"
    ];
    unknown_log_level_is_refused: "[logs]\nlevel = loud\n" => [
        "line 10: `level = loud` is not a level"
    ];
}

#[test]
fn reference_page_lists_all_keys() {
    for key in SETTINGS_KEYS {
        let row = format!("| `{}` | `{}` |", key.section, key.name);
        assert!(PAGE.contains(&row), "no row `{row}`");
    }
}

macro_rules! switched {
    ($($name:ident: $more:expr => $is_on:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let settings = parse_settings(&(MINIMAL.to_owned() + $more)).expect("valid settings");
                assert_eq!((settings.learns_capacity, settings.follows_demand, settings.reserves_room), $is_on);
            }
        )+
    };
}

switched! {
    learning_is_off_without_features: "" => (false, false, false);
    learning_is_off_with_other_features: "[platform]\nfeatures = base,drain,gangs\n" => (false, false, false);
    learning_is_on_where_upstreams_differ: "[platform]\nfeatures = base,pool,gangs\n" => (true, true, true);
    explicit_values_go_before_features:
        "[platform]\nfeatures = pool\n[upstreams]\nlearn_capacity = false\n[groups]\nfollow_demand = true\n"
        => (false, true, true);
}
