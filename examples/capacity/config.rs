//! Measures the bytes sent for a configuration change and the time to put it in force, at several
//! numbers of records.

use jacinthpoint_records::{Config, RecordsObject, delta};
use jacinthpoint_types::Revision;
use jacinthpoint_wire::{PeerReply, encode};
use serde_json::{Value, json};

use crate::cost::{TCP_CONTROL_SEGMENTS, TCP_HEADER_BYTES, time_ns};

/// Numbers of records: the current number, ten times and a hundred times as many.
const SIZES: [usize; 3] = [20, 200, 2_000];
/// Changes per day at the target size.
const CHANGES_PER_DAY: f64 = 5_800.0;
/// Seconds per day.
const S_PER_DAY: f64 = 86_400.0;

/// Returns a record of the usual size: every fourth is a deployment, the others organisations.
fn record(number: usize) -> Value {
    if number.is_multiple_of(4) {
        return json!({
            "schema": 2, "kind": "deployment", "name": format!("desk-{number}"),
            "model": "jp-model-72b", "adapter": format!("quoting-{number}"),
            "version": "2026-11-03", "replicas": 2, "group_size": 8, "standbys": 1,
            "priority": "high", "organisations": [format!("broker-{number}")],
            "fencing": "refuses",
        });
    }
    json!({
        "schema": 2, "kind": "organisation", "name": format!("broker-{number}"),
        "key_sha256": ["0".repeat(64), "1".repeat(64)], "max_priority": "high",
        "requests_per_s": 120.0, "tokens_per_s": 60000.0, "concurrency": 400,
    })
}

/// Prints the table.
pub fn measure() {
    println!("configuration:\n");
    println!(
        "| records | bytes of all records | bytes/s, all records each time | bytes of one change | bytes/s, changes | ms to put in force |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        let object = RecordsObject {
            records: (0..size).map(record).collect(),
        };
        let texts: Vec<String> = object.records.iter().map(ToString::to_string).collect();
        let mut changed = texts.clone();
        // Replaces one record by an organisation that the list does not hold yet.
        changed[size / 2] = record(size + 2).to_string();
        let difference = delta(&texts, &changed);
        let reply = PeerReply::ConfigChange {
            revision: Revision(100_000),
            records: size as u32,
            dropped: difference.dropped,
            added: difference.added,
        };
        // Headers of all segments, two of which carry the request and the reply, and 16 bytes for
        // payload that is not encoded here, such as the request.
        let overhead_bytes = (TCP_CONTROL_SEGMENTS + 2) * TCP_HEADER_BYTES + 16;
        let change_bytes = encode(&reply).len() + overhead_bytes;
        // The complete configuration is a JSON array: one byte for the comma after each record.
        let all_bytes = texts.iter().map(|text| text.len() + 1).sum::<usize>() + overhead_bytes;
        let apply_ns = time_ns(5, || {
            let values = changed.iter().map(|text| serde_json::from_str(text));
            let records = values
                .collect::<Result<Vec<Value>, _>>()
                .expect("records are JSON");
            Config::from_object(Revision(1), &RecordsObject { records }).expect("records are valid")
        });
        let changes_per_s = CHANGES_PER_DAY / S_PER_DAY;
        println!(
            "| {size} | {all_bytes} | {:.0} | {change_bytes} | {:.0} | {:.2} |",
            all_bytes as f64 * changes_per_s,
            change_bytes as f64 * changes_per_s,
            apply_ns / 1e6,
        );
    }
    println!();
}

/// Returns a configuration of `size` records.
pub fn config_with(size: usize) -> Config {
    let object = RecordsObject {
        records: (0..size).map(record).collect(),
    };
    Config::from_object(Revision(1), &object).expect("records are valid")
}
