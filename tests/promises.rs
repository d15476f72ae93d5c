//! Every test that `docs/PROMISES.md` names exists.

use std::{fs, path::Path};

/// Tests named in a text, as `FILE.rs::NAME` in backticks.
fn named_tests(text: &str) -> Vec<(&str, &str)> {
    let quoted = text.split('`').skip(1).step_by(2);
    quoted.filter_map(|name| name.split_once(".rs::")).collect()
}

/// Whether a test file has a function or a case of this name.
fn has_test(source: &str, name: &str) -> bool {
    let as_function = format!("fn {name}(");
    let as_case = format!("{name},");
    let lines = source.lines().map(str::trim);
    lines.into_iter().any(|line| {
        let opens_with = |start: &str| {
            line.strip_prefix(start)
                .is_some_and(|rest| !rest.starts_with("//"))
        };
        let after_macro = line.split_once("!(").map_or("", |(_, rest)| rest);
        opens_with(&as_function) || opens_with(&as_case) || after_macro.starts_with(&as_case)
    })
}

#[test]
fn every_named_test_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/PROMISES.md")).expect("the page");
    let named = named_tests(&page);
    assert!(!named.is_empty(), "the page names no test");
    for (file, name) in named {
        let path = format!("{file}.rs");
        let source = fs::read_to_string(root.join(&path)).expect(&path);
        assert!(has_test(&source, name), "{path} has no test {name}");
    }
}

#[test]
fn names_are_found_as_functions_and_as_cases() {
    let source =
        "site_test!(\n    one,\n);\nbench_test!(two, |bench| {});\nfn three() {}\n// four,";
    let found = ["one", "two", "three", "four", "tw"].map(|name| has_test(source, name));
    assert_eq!(found, [true, true, true, false, false]);
}
