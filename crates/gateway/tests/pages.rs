//! The page of log events lists exactly the events in the code, with their numbers.

use std::collections::BTreeSet;

use jacinthpoint_gateway::EventCode;
use strum::IntoEnumIterator;

#[test]
fn events_page_lists_exactly_the_events_in_the_code() {
    let page = include_str!("../../../docs/GATEWAY-EVENTS.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| "));
    let rows = rows.filter(|row| row.starts_with(|first: char| first.is_ascii_digit()));
    let listed: BTreeSet<String> = rows
        .map(|row| row.split(" | ").take(2).collect::<Vec<_>>().join(" | "))
        .collect();
    let expected: BTreeSet<String> = EventCode::iter()
        .map(|code| format!("{} | {code}", code.number()))
        .collect();
    assert_eq!(listed, expected);
}
