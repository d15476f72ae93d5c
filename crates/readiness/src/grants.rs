//! Handing permits from probers to the nodes that use them, without saying twice what stays.
//!
//! Which groups a prober vouches for changes rarely; until when, and under what load, changes all
//! the time. A node names the digest of the groups it knows from a prober, and while that is still
//! right the prober answers with the changing part alone.

use std::collections::BTreeMap;

use jacinthpoint_types::NodeId;
use jacinthpoint_wire::{GrantTerms, PermitGrant, encode};
use xxhash_rust::xxh3::xxh3_64;

/// Digest of the groups of some grants, in their order; terms do not count. Never 0, which stands
/// for knowing nothing.
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
struct FromProber {
    digest: u64,
    grants: Vec<PermitGrant>,
    /// Parts of a new list, until all have come.
    parts: BTreeMap<u8, Vec<PermitGrant>>,
    parts_digest: u64,
}

/// What a node knows from each prober.
#[derive(Debug, Default)]
pub struct GrantCache {
    probers: BTreeMap<NodeId, FromProber>,
}

impl GrantCache {
    /// An empty book.
    pub fn new() -> GrantCache {
        GrantCache::default()
    }

    /// Digest of the groups known from a prober, 0 if none are.
    pub fn known_digest(&self, prober: &NodeId) -> u64 {
        self.probers.get(prober).map_or(0, |known| known.digest)
    }

    /// Forgets all probers but these.
    pub fn retain(&mut self, probers: &[NodeId]) {
        self.probers.retain(|prober, _| probers.contains(prober));
    }

    /// Takes one part of a prober's list. Parts of different lists are never mixed.
    pub fn on_part(
        &mut self,
        prober: &NodeId,
        digest: u64,
        part: u8,
        parts: u8,
        grants: &[PermitGrant],
    ) {
        let known = self.probers.entry(prober.clone()).or_default();
        if known.parts_digest != digest {
            known.parts.clear();
            known.parts_digest = digest;
        }
        known.parts.insert(part, grants.to_vec());
        if known.parts.len() < usize::from(parts) {
            return;
        }
        let grants: Vec<PermitGrant> = std::mem::take(&mut known.parts)
            .into_values()
            .flatten()
            .collect();
        known.parts_digest = 0;
        // A list that was cut or put together wrongly is asked for again.
        if grants_digest(&grants) == digest {
            known.digest = digest;
            known.grants = grants;
        }
    }

    /// Takes new terms for the groups known, and returns them as grants; nothing if the terms are
    /// for other groups.
    pub fn on_terms(
        &mut self,
        prober: &NodeId,
        digest: u64,
        terms: &[GrantTerms],
    ) -> Vec<PermitGrant> {
        let Some(known) = self.probers.get(prober) else {
            return Vec::new();
        };
        if known.digest != digest || known.grants.len() != terms.len() {
            return Vec::new();
        }
        let grants = known.grants.iter().zip(terms);
        grants
            .map(|(grant, terms)| PermitGrant {
                terms: *terms,
                ..grant.clone()
            })
            .collect()
    }
}
