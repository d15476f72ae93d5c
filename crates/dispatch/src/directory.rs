//! Index of the targets that can run requests, by service and model.
//!
//! It is built from one snapshot of the fleet and rebuilt whenever the snapshot changes.

use std::{borrow::Cow, collections::BTreeMap, net::SocketAddr, sync::Arc};

use jacinthpoint_fleet::{Evacuations, FleetConfig, Homes, Regions, Upstream, groups_of};
use jacinthpoint_types::{DataCentreId, DeploymentId, GroupId, ServiceId, VmId};

/// Identity of a target in one incarnation, as text: `GROUP/EPOCH` for a replica group, or
/// `UPSTREAM/START` for a plain upstream, with its start time as Unix time in ms.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct TargetKey(Arc<str>);

impl TargetKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Destination that runs requests: a serving replica group, reached through its leader, or an
/// upstream of a plain service (one without engines).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identity of the target.
    pub key: TargetKey,
    /// Upstream that requests are sent to; of a group, the leader.
    pub upstream: VmId,
    /// Start time of that upstream, in Unix milliseconds; 0 if it is not known.
    pub started_unix_ms: u64,
    /// Address on which that upstream listens.
    pub address: SocketAddr,
    /// Data centre of that upstream.
    pub data_centre: DataCentreId,
    /// Set if the target is in the gateway's data centre.
    pub is_near: bool,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Replica group behind the target; `None` for a plain upstream.
    pub group: Option<TargetGroup>,
}

/// Replica group behind a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetGroup {
    /// Name of the group.
    pub id: GroupId,
    /// Model that the group serves, identified by the name of its deployment.
    pub model: DeploymentId,
    /// Members by rank, the leader first.
    pub members: Vec<VmId>,
}

/// Targets by service, and by model for services with engines.
#[derive(Debug, Default)]
pub struct Directory {
    plain: BTreeMap<ServiceId, Vec<Arc<Target>>>,
    groups: BTreeMap<(ServiceId, DeploymentId), Vec<Arc<Target>>>,
}

impl Directory {
    /// Indexes `upstreams` for a gateway in `data_centre`. The upstreams in `unlisted` are no
    /// longer in the list of upstreams; a group with such members still serves as long as its
    /// leader is listed. Upstreams in an evacuated data centre are left out, and so are groups with a
    /// member there.
    pub fn new(
        config: &FleetConfig,
        upstreams: &BTreeMap<VmId, Upstream>,
        unlisted: &BTreeMap<VmId, Upstream>,
        evacuations: &Evacuations,
        data_centre: &str,
    ) -> Directory {
        let mut directory = Directory::default();
        let takes_requests = |upstream: &&Upstream| {
            upstream.is_ready() && !evacuations.is_evacuated(&upstream.data_centre)
        };
        for upstream in upstreams.values().filter(takes_requests) {
            let service = config.services.get(&upstream.service);
            if service.is_none_or(|service| service.engine.is_some()) {
                continue;
            }
            let key = format!("{}/{}", upstream.id, upstream.started_unix_ms);
            let target = target(upstream, &key, data_centre, upstream.slots, None);
            let targets = directory.plain.entry(upstream.service.clone()).or_default();
            targets.push(target);
        }
        for (service, engine) in config.engines() {
            let members = upstreams
                .values()
                .chain(unlisted.values())
                .filter(|upstream| &upstream.service == service);
            for group in groups_of(members).into_values() {
                let model = group.model_spec(engine);
                let leader = group.leader().and_then(|id| upstreams.get(id));
                let (Some(model), Some(leader)) = (model, leader) else {
                    continue;
                };
                let is_evacuated = |id: &VmId| {
                    let member = upstreams.get(id).or_else(|| unlisted.get(id));
                    member.is_some_and(|member| evacuations.is_evacuated(&member.data_centre))
                };
                if !group.is_serving(model.size) || group.members.values().any(is_evacuated) {
                    continue;
                }
                let key = format!("{}/{}", group.id, group.epoch);
                let members = group.members.values().cloned().collect();
                let group = Some(TargetGroup {
                    id: group.id.clone(),
                    model: model.name.clone(),
                    members,
                });
                let target = target(leader, &key, data_centre, engine.slots, group);
                let service_and_model = (service.clone(), model.name.clone());
                directory
                    .groups
                    .entry(service_and_model)
                    .or_default()
                    .push(target);
            }
        }
        directory
    }

    /// Returns the ready upstreams of a plain service.
    pub fn plain(&self, service: &ServiceId) -> &[Arc<Target>] {
        self.plain.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the groups that serve a model.
    pub fn groups(&self, service: &ServiceId, model: &DeploymentId) -> &[Arc<Target>] {
        let service_and_model = (service.clone(), model.clone());
        self.groups
            .get(&service_and_model)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns all targets of all services.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.plain.values().chain(self.groups.values()).flatten()
    }
}

/// Returns the targets in the regions that `homes` allows.
pub fn targets_at_home<'a>(
    targets: &'a [Arc<Target>],
    homes: &Homes,
    regions: &Regions,
) -> Cow<'a, [Arc<Target>]> {
    if !homes.is_restricted() {
        return Cow::Borrowed(targets);
    }
    let is_at_home = |target: &&Arc<Target>| homes.allow(regions.of(target.data_centre.as_str()));
    targets.iter().filter(is_at_home).cloned().collect()
}

fn target(
    upstream: &Upstream,
    key: &str,
    data_centre: &str,
    slots: u32,
    group: Option<TargetGroup>,
) -> Arc<Target> {
    Arc::new(Target {
        key: TargetKey(Arc::from(key)),
        upstream: upstream.id.clone(),
        started_unix_ms: upstream.started_unix_ms,
        address: upstream.address,
        data_centre: upstream.data_centre.clone(),
        is_near: upstream.data_centre.as_str() == data_centre,
        slots: slots.max(1),
        group,
    })
}
