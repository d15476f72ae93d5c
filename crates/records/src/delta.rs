//! Difference between two lists of records, each as JSON text, so that a node sends another node
//! only the records that changed. Nodes send changes of the membership list in the same form.

use std::collections::BTreeMap;

/// Edits that turn an old list of records into a new one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Indexes of the records to remove from the old list, in ascending order.
    pub dropped: Vec<u32>,
    /// Records to insert, each with its index in the new list, in ascending order of the index.
    pub added: Vec<(u32, String)>,
}

/// Returns the difference from `old` to `new`. A record that only changes its position counts as
/// removed and added.
pub fn delta(old: &[String], new: &[String]) -> Delta {
    // Indexes of each record in `old`, in descending order, so that `pop` returns the smallest.
    let mut old_indexes: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, record) in old.iter().enumerate().rev() {
        old_indexes.entry(record).or_default().push(index);
    }
    let mut delta = Delta::default();
    let mut next_old = 0;
    for (index, record) in new.iter().enumerate() {
        // Index of the first equal record of `old` at or after `next_old`.
        let kept = old_indexes.get_mut(record.as_str()).and_then(|found| {
            while found.last().is_some_and(|&old_index| old_index < next_old) {
                found.pop();
            }
            found.pop()
        });
        match kept {
            Some(old_index) => {
                delta.dropped.extend(next_old as u32..old_index as u32);
                next_old = old_index + 1;
            }
            None => delta.added.push((index as u32, record.clone())),
        }
    }
    delta.dropped.extend(next_old as u32..old.len() as u32);
    delta
}

/// Applies a difference to `old`; returns `None` if its indexes do not fit `old`.
pub fn apply_delta(old: &[String], delta: &Delta) -> Option<Vec<String>> {
    let mut dropped = delta.dropped.iter().peekable();
    let mut kept = Vec::with_capacity(old.len());
    for (index, record) in old.iter().enumerate() {
        if dropped
            .next_if(|&&removed| removed as usize == index)
            .is_none()
        {
            kept.push(record.clone());
        }
    }
    if dropped.next().is_some() {
        return None;
    }
    let mut result = Vec::with_capacity(kept.len() + delta.added.len());
    let mut kept = kept.into_iter();
    for (index, record) in &delta.added {
        while result.len() < *index as usize {
            result.push(kept.next()?);
        }
        result.push(record.clone());
    }
    result.extend(kept);
    Some(result)
}
