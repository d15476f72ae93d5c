//! Cache of permit grants that saves probers from sending unchanged group data again.
//!
//! The set of groups for which a prober grants permits changes rarely; the terms of the grants
//! (validity and load) change with every reply. A node sends a prober the digest of the groups that
//! it has cached from it. While that digest matches, the prober replies with the terms alone.

use std::collections::BTreeMap;

use jacinthpoint_types::NodeId;
use jacinthpoint_wire::{GrantTerms, PermitGrant, encode};
use xxhash_rust::xxh3::xxh3_64;

/// Returns a digest of the groups of `grants`, in their order and without their terms. The digest
/// is never 0, which stands for "no groups cached" in requests.
pub fn grants_digest(grants: &[PermitGrant]) -> u64 {
    let mut bytes = Vec::new();
    for grant in grants {
        bytes.extend(encode(&(
            &grant.assignment,
            &grant.data_centre,
            &grant.fabric_domain,
        )));
    }
    xxh3_64(&bytes).max(1)
}

#[derive(Debug, Default)]
struct ProberGrants {
    digest: u64,
    grants: Vec<PermitGrant>,
    /// Parts of an incomplete list with the digest `parts_digest`, by part number.
    parts: BTreeMap<u8, Vec<PermitGrant>>,
    parts_digest: u64,
}

/// Holds, for each prober, the last complete list of grants and the parts received so far of an
/// incomplete one.
#[derive(Debug, Default)]
pub struct GrantCache {
    probers: BTreeMap<NodeId, ProberGrants>,
}

impl GrantCache {
    /// Returns an empty cache.
    pub fn new() -> GrantCache {
        GrantCache::default()
    }

    /// Returns the digest of the groups cached from `prober`, or 0 if there are none.
    pub fn known_digest(&self, prober: &NodeId) -> u64 {
        self.probers.get(prober).map_or(0, |cached| cached.digest)
    }

    /// Removes the grants of all probers that are not in `probers`.
    pub fn retain(&mut self, probers: &[NodeId]) {
        self.probers.retain(|prober, _| probers.contains(prober));
    }

    /// Records part number `part` of the `parts` that make up a prober's list of grants. `digest`
    /// is the digest of the whole list.
    ///
    /// The list replaces the cached one when all of its parts have arrived. Parts of lists with
    /// different digests are never combined.
    pub fn on_part(
        &mut self,
        prober: &NodeId,
        digest: u64,
        part: u8,
        parts: u8,
        grants: &[PermitGrant],
    ) {
        let cached = self.probers.entry(prober.clone()).or_default();
        if cached.parts_digest != digest {
            cached.parts.clear();
            cached.parts_digest = digest;
        }
        cached.parts.insert(part, grants.to_vec());
        if cached.parts.len() < usize::from(parts) {
            return;
        }
        let grants: Vec<PermitGrant> = std::mem::take(&mut cached.parts)
            .into_values()
            .flatten()
            .collect();
        cached.parts_digest = 0;
        // A list that is truncated or wrongly assembled is dropped. The known digest stays as it
        // was, so the next request makes the prober send the list again.
        if grants_digest(&grants) == digest {
            cached.digest = digest;
            cached.grants = grants;
        }
    }

    /// Returns grants that combine the cached groups of `prober` with new terms, or nothing if the
    /// terms do not belong to the cached groups.
    pub fn on_terms(
        &mut self,
        prober: &NodeId,
        digest: u64,
        terms: &[GrantTerms],
    ) -> Vec<PermitGrant> {
        let Some(cached) = self.probers.get(prober) else {
            return Vec::new();
        };
        if cached.digest != digest || cached.grants.len() != terms.len() {
            return Vec::new();
        }
        let grants = cached.grants.iter().zip(terms);
        grants
            .map(|(grant, terms)| PermitGrant {
                terms: *terms,
                ..grant.clone()
            })
            .collect()
    }
}
