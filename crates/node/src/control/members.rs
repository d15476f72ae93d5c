//! Follows the platform's lagging membership list.

use std::collections::BTreeMap;

use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_types::{DataCentreId, FabricDomainId};

use crate::{events::log_event, shared::Shared};

/// How often the list is read.
const READ_MS: u64 = 1_000;

/// Reads the list until the node stops. In an outage the last list stays.
pub(crate) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        match shared.platform.members() {
            Ok(members) => shared.set_members(members),
            Err(error) => log_event!(warn, PlatformFailed, %error, "membership list not read"),
        }
        shared.sleep_ms(READ_MS);
    }
}

/// Engine VMs of the list by fabric domain.
pub(crate) fn engines_by_domain(
    members: &[PlatformMember],
) -> BTreeMap<FabricDomainId, (DataCentreId, Vec<&PlatformMember>)> {
    let mut domains: BTreeMap<_, (DataCentreId, Vec<&PlatformMember>)> = BTreeMap::new();
    for member in members
        .iter()
        .filter(|member| member.role == MemberRole::Engine)
    {
        let entry = domains
            .entry(member.fabric_domain.clone())
            .or_insert_with(|| (member.data_centre.clone(), Vec::new()));
        entry.1.push(member);
    }
    domains
}

/// VMs of a domain that stay, as far as the list says.
pub(crate) fn staying(members: &[&PlatformMember]) -> usize {
    members
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .count()
}
