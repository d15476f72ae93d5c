//! Checks across records: a name that one record refers to must be declared by another, and no two
//! organisations may share a key.

use std::collections::BTreeSet;

use jacinthpoint_types::OrganisationId;

use crate::{fault::FieldFault, record::Record};

/// Returns the faults across records, each with the index of the faulty record.
///
/// Only operators' commands run this check. A node accepts a set with a dangling name, since the
/// name grants access to no one and refusing the set would block changes to all other records.
pub(crate) fn reference_faults(records: &[&Record]) -> Vec<(usize, FieldFault)> {
    let declared: BTreeSet<&OrganisationId> = records
        .iter()
        .filter_map(|record| match record {
            Record::Organisation(organisation) => Some(&organisation.name),
            Record::Deployment(_) | Record::Service(_) => None,
        })
        .collect();
    let mut faults = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let (kind, name) = record.key();
        for unknown in named_organisations(record)
            .iter()
            .filter(|organisation| !declared.contains(organisation))
        {
            let message = format!("{kind} `{name}` names `{unknown}`, which no record declares");
            faults.push((index, FieldFault::of("organisations", message)));
        }
    }
    faults.extend(shared_key_faults(records));
    faults
}

/// Returns the organisations that a record refers to.
fn named_organisations(record: &Record) -> &[OrganisationId] {
    match record {
        Record::Organisation(_) => &[],
        Record::Deployment(deployment) => &deployment.organisations,
        Record::Service(service) => &service.organisations,
    }
}

/// Returns a fault for each key that two organisations share. With a shared key they could see each
/// other's responses.
fn shared_key_faults(records: &[&Record]) -> Vec<(usize, FieldFault)> {
    let mut owners: Vec<(String, &OrganisationId)> = Vec::new();
    let mut faults = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let Record::Organisation(organisation) = record else {
            continue;
        };
        for digest in &organisation.key_sha256 {
            let digest = digest.to_string();
            let owner = owners.iter().find(|(known, _)| *known == digest);
            match owner {
                Some((_, owner)) if **owner != organisation.name => {
                    let message = format!("a key of `{owner}` is also a key of this organisation");
                    faults.push((index, FieldFault::of("key_sha256", message)));
                }
                _ => owners.push((digest, &organisation.name)),
            }
        }
    }
    faults
}
