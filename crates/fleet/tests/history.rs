//! Tests of the relation between positions in the store's history.

use jacinthpoint_fleet::{Continuity, HistoryPosition, StoreEra};

fn position(era: u64, revision: u64) -> HistoryPosition {
    HistoryPosition {
        era: (era > 0).then_some(StoreEra(era)),
        revision,
    }
}

/// Defines tests of an answer against the known position: name, known position, position of the
/// answer, relation. Era 0 stands for an answer that names none.
macro_rules! continuity {
    ($($name:ident: $known:expr, $answer:expr => $relation:ident,)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($answer.continuity(&$known), Continuity::$relation);
            }
        )+
    };
}

continuity! {
    higher_revision_of_the_same_era_continues: position(2, 10), position(2, 11) => Continues,
    same_revision_continues: position(2, 10), position(2, 10) => Continues,
    lower_revision_of_the_same_era_is_older: position(2, 10), position(2, 9) => Older,
    // Guards against a list that is refused because the restore lowered the revisions.
    lower_revision_of_a_later_era_is_restored: position(2, 10), position(3, 1) => Restored,
    // Guards against changes that are missed because the revisions have passed the known one.
    higher_revision_of_a_later_era_is_restored: position(2, 10), position(3, 11) => Restored,
    // Guards against a relay that still serves what it read before the restore.
    higher_revision_of_an_earlier_era_is_lost: position(3, 10), position(2, 11) => Lost,
    revisions_compare_without_an_era: position(0, 10), position(0, 9) => Older,
    answer_without_an_era_counts_as_of_the_known_one: position(2, 10), position(0, 10) => Continues,
    first_era_that_is_named_counts_as_the_known_one: position(0, 10), position(2, 10) => Continues,
}
