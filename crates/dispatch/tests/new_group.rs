//! A group that has just been formed joins groups that are known for long.

use jacinthpoint_dispatch::LoadBook;
use jacinthpoint_types::TimeMs;
use rand::{SeedableRng, rngs::SmallRng};

use crate::support::{groups, now, selection};

/// A new group that looked faster than all others got the requests of all gateways at once and
/// shed them.
#[test]
fn new_group_gets_no_more_than_its_share() {
    let targets = groups(10);
    let mut book = LoadBook::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for target in &targets[1..] {
        book.on_sent(&target.key, now());
        book.on_over(&target.key);
        for pass in 0..50 {
            book.on_event(&target.key, Some(60), TimeMs(now().0 + pass));
        }
        book.on_stated(&target.key, 10, now());
    }
    book.on_stated(&targets[0].key, 10, now());
    let mut to_new = 0;
    for _ in 0..200 {
        let chosen = book
            .choose(&selection(&targets), now(), &mut rng)
            .expect("there is room");
        book.on_sent(&chosen.key, now());
        to_new += usize::from(chosen.key == targets[0].key);
    }
    assert!(
        to_new <= 30,
        "{to_new} of 200 requests went to one of ten equal groups"
    );
}
