//! Where requests can go: an index over one view of the fleet, built anew when the view changes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use jacinthpoint_fleet::{FleetConfig, Upstream, groups_of};
use jacinthpoint_types::{DeploymentId, GroupId, ServiceId, VmId};

/// Identity of a target over the lives of its members: a group with its epoch, or an upstream with
/// its start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct TargetKey(Arc<str>);

impl TargetKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A place that runs requests: the head of a serving group, or a plain upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its identity.
    pub key: TargetKey,
    /// The upstream that requests are sent to.
    pub upstream: VmId,
    /// Where that listens.
    pub address: SocketAddr,
    /// Whether it is in the gateway's data centre.
    pub is_near: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The group, if it is one.
    pub group: Option<TargetGroup>,
}

/// The group behind a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetGroup {
    /// Its name.
    pub id: GroupId,
    /// The model that it serves.
    pub model: DeploymentId,
    /// Its members, the head first.
    pub members: Vec<VmId>,
}

/// The index.
#[derive(Debug, Default)]
pub struct Directory {
    plain: BTreeMap<ServiceId, Vec<Arc<Target>>>,
    groups: BTreeMap<(ServiceId, DeploymentId), Vec<Arc<Target>>>,
}

impl Directory {
    /// Indexes the upstreams for a gateway in `data_centre`. Members in `unlisted` dropped out of
    /// the list; their groups go on as long as their heads are listed.
    pub fn new(
        config: &FleetConfig,
        upstreams: &BTreeMap<VmId, Upstream>,
        unlisted: &BTreeMap<VmId, Upstream>,
        data_centre: &str,
    ) -> Directory {
        let mut directory = Directory::default();
        for upstream in upstreams.values().filter(|upstream| upstream.is_ready()) {
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
                let head = group.leader().and_then(|id| upstreams.get(id));
                let (Some(model), Some(head)) = (model, head) else {
                    continue;
                };
                if !group.is_serving(model.size) {
                    continue;
                }
                let key = format!("{}/{}", group.id, group.epoch);
                let members = group.members.values().cloned().collect();
                let group = Some(TargetGroup {
                    id: group.id.clone(),
                    model: model.name.clone(),
                    members,
                });
                let target = target(head, &key, data_centre, engine.slots, group);
                let at = (service.clone(), model.name.clone());
                directory.groups.entry(at).or_default().push(target);
            }
        }
        directory
    }

    /// Upstreams of a plain service.
    pub fn plain(&self, service: &ServiceId) -> &[Arc<Target>] {
        self.plain.get(service).map_or(&[], Vec::as_slice)
    }

    /// Serving groups of a model.
    pub fn groups(&self, service: &ServiceId, model: &DeploymentId) -> &[Arc<Target>] {
        let at = (service.clone(), model.clone());
        self.groups.get(&at).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.plain.values().chain(self.groups.values()).flatten()
    }
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
        address: upstream.address,
        is_near: upstream.data_centre.as_str() == data_centre,
        slots: slots.max(1),
        group,
    })
}
