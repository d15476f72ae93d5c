//! Follows the platform's lagging membership list.

use std::collections::BTreeMap;

use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_types::{DataCentreId, FabricDomainId};
use jacinthpoint_wire::{PeerReply, PeerRequest};

use crate::{control::messages::ask_peer, events::log_event, shared::Shared};

/// How often the list is read.
const READ_MS: u64 = 1_000;

/// Reads the list until the node stops. In an outage the last list stays, and a node that has none
/// asks another node for its own.
pub(crate) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        match shared.platform.members() {
            Ok(members) => shared.set_members(members),
            Err(error) => {
                log_event!(warn, PlatformFailed, %error, "membership list not read");
                if shared.members().is_empty() {
                    ask_a_peer(shared);
                }
            }
        }
        shared.sleep_ms(READ_MS);
    }
}

fn ask_a_peer(shared: &Shared) {
    let Some(peer) = shared.peers().random_live(1).pop() else {
        return;
    };
    let Ok(PeerReply::Members { members_json }) = ask_peer(peer.address, &PeerRequest::Members)
    else {
        return;
    };
    // A list that cannot be read is asked for again, of another node.
    if let Ok(members) = serde_json::from_str(&members_json) {
        shared.set_members(members);
    }
}

/// The answer to a node that asks for the list.
pub(crate) fn reply(shared: &Shared) -> PeerReply {
    let members = shared.members();
    match serde_json::to_string(members.as_slice()) {
        Ok(members_json) if !members.is_empty() => PeerReply::Members { members_json },
        _ => PeerReply::Nothing,
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
