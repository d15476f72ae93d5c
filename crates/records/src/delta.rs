//! The difference between two lists of records, so that a change of one record does not cost a
//! copy of all.

use std::collections::BTreeMap;

/// What turns one list of records into another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Places in the old list of records to drop, in rising order.
    pub dropped: Vec<u32>,
    /// Records to put in, each with its place in the new list, in rising order.
    pub added: Vec<(u32, String)>,
}

/// The difference from `old` to `new`. Records that only change places count as dropped and added.
pub fn delta(old: &[String], new: &[String]) -> Delta {
    let mut places: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (place, record) in old.iter().enumerate().rev() {
        places.entry(record).or_default().push(place);
    }
    let mut delta = Delta::default();
    let mut next_old = 0;
    for (place, record) in new.iter().enumerate() {
        let kept = places.get_mut(record.as_str()).and_then(|found| {
            while found.last().is_some_and(|&at| at < next_old) {
                found.pop();
            }
            found.pop()
        });
        match kept {
            Some(at) => {
                delta.dropped.extend(next_old as u32..at as u32);
                next_old = at + 1;
            }
            None => delta.added.push((place as u32, record.clone())),
        }
    }
    delta.dropped.extend(next_old as u32..old.len() as u32);
    delta
}

/// Applies a difference; `None` if it does not fit `old`.
pub fn apply_delta(old: &[String], delta: &Delta) -> Option<Vec<String>> {
    let mut dropped = delta.dropped.iter().peekable();
    let mut kept = Vec::with_capacity(old.len());
    for (place, record) in old.iter().enumerate() {
        if dropped.next_if(|&&at| at as usize == place).is_none() {
            kept.push(record.clone());
        }
    }
    if dropped.next().is_some() {
        return None;
    }
    let mut result = Vec::with_capacity(kept.len() + delta.added.len());
    let mut kept = kept.into_iter();
    for (place, record) in &delta.added {
        while result.len() < *place as usize {
            result.push(kept.next()?);
        }
        result.push(record.clone());
    }
    result.extend(kept);
    Some(result)
}
