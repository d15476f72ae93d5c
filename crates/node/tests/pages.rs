//! Checks that the pages of result codes and events list exactly those in the code.

use std::collections::BTreeSet;

use jacinthpoint_node::EventCode;
use jacinthpoint_types::ResultCode;
use strum::IntoEnumIterator;

/// Returns the first `cells` cells of each table row that begins with a number, joined as in the
/// page.
fn rows(page: &str, cells: usize) -> BTreeSet<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| "));
    rows.filter(|row| row.starts_with(|first: char| first.is_ascii_digit()))
        .map(|row| row.split(" | ").take(cells).collect::<Vec<_>>().join(" | "))
        .collect()
}

#[test]
fn result_codes_page_lists_every_code() {
    let expected: BTreeSet<String> = ResultCode::iter()
        .map(|code| format!("{} | {code} | {}", code.number(), code.http_status()))
        .collect();
    let page = include_str!("../../../docs/RESULT-CODES.md");
    assert_eq!(rows(page, 3), expected);
}

#[test]
fn events_page_lists_every_event() {
    let expected: BTreeSet<String> = EventCode::iter()
        .map(|code| format!("{} | {code}", code.number()))
        .collect();
    let page = include_str!("../../../docs/EVENTS.md");
    assert_eq!(rows(page, 2), expected);
}

/// Guards against rows whose last cell, the instruction for operators, is missing or too short.
#[test]
fn every_row_has_an_instruction() {
    for (page, cells) in [
        (include_str!("../../../docs/RESULT-CODES.md"), 5),
        (include_str!("../../../docs/EVENTS.md"), 4),
    ] {
        for row in rows(page, cells) {
            let last = row.split(" | ").nth(cells - 1).unwrap_or_default();
            assert!(last.trim_end_matches(" |").len() > 5, "{row}");
        }
    }
}
