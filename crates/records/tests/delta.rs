//! The difference between any two lists of records turns the old list into the new one.

use jacinthpoint_records::{Delta, apply_delta, delta};
use quickcheck::quickcheck;

fn texts(list: &[u8]) -> Vec<String> {
    // Few distinct records, so that the old and the new list share many of them.
    list.iter()
        .map(|value| format!("record {}", value % 8))
        .collect()
}

quickcheck! {
    fn applied_difference_gives_new_list(old: Vec<u8>, new: Vec<u8>) -> bool {
        let (old, new) = (texts(&old), texts(&new));
        apply_delta(&old, &delta(&old, &new)) == Some(new)
    }

    fn difference_of_another_list_does_not_panic(old: Vec<u8>, dropped: Vec<u32>, at: u32) -> bool {
        let delta = Delta { dropped, added: vec![(at % 1_000, "record".to_owned())] };
        let _ = apply_delta(&texts(&old), &delta);
        true
    }
}

#[test]
fn one_changed_record_gives_one_removal_and_one_insertion() {
    let old: Vec<String> = (0..100).map(|number| format!("record {number}")).collect();
    let mut new = old.clone();
    new[40] = "changed".to_owned();
    let expected = Delta {
        dropped: vec![40],
        added: vec![(40, "changed".to_owned())],
    };
    assert_eq!(delta(&old, &new), expected);
}
