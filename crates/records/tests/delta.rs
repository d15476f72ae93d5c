//! A difference turns the old list into the new one, whatever they are.

use jacinthpoint_records::{Delta, apply_delta, delta};
use quickcheck::quickcheck;

fn texts(list: &[u8]) -> Vec<String> {
    // Few different records, so that lists share many.
    list.iter()
        .map(|value| format!("record {}", value % 8))
        .collect()
}

quickcheck! {
    fn difference_leads_from_old_to_new(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (texts(&old), texts(&new));
        apply_delta(&old, &delta(&old, &new)) == Some(new)
    }

    fn misfit_does_not_panic(old: Vec<u8>, dropped: Vec<u32>, at: u32) -> bool {
        let delta = Delta { dropped, added: vec![(at % 1_000, "record".to_owned())] };
        let _ = apply_delta(&texts(&old), &delta);
        true
    }
}

#[test]
fn one_changed_record_costs_one_record() {
    let old: Vec<String> = (0..100).map(|number| format!("record {number}")).collect();
    let mut new = old.clone();
    new[40] = "changed".to_owned();
    let expected = Delta {
        dropped: vec![40],
        added: vec![(40, "changed".to_owned())],
    };
    assert_eq!(delta(&old, &new), expected);
}
