//! Targets and engines for tests.

use std::{collections::BTreeMap, sync::Arc};

use jacinthpoint_dispatch::{Directory, Selection, Target};
use jacinthpoint_fleet::{
    CallerLimits, ConfigVersion, Engine, Evacuations, FleetConfig, GroupState, Membership,
    ModelSpec, Service, Upstream, UpstreamState,
};
use jacinthpoint_types::{TimeMs, VmId};

/// Returns the time at which tests start.
pub fn now() -> TimeMs {
    TimeMs(1_000_000)
}

/// Returns the engine settings of a service with one model whose groups have one member.
pub fn engine() -> Engine {
    Engine {
        models: vec![ModelSpec {
            name: "model".parse().expect("valid model name"),
            size: 1,
            demand_share: 1.0,
            time_factor: 1.0,
            load_ms: 16_000,
            warm_ms: 1_600,
        }],
        slots: 26,
        step_ms: 6.0,
        per_sequence_ms: 0.24,
        stride: 5,
        prefill_tokens_per_s: 46_000.0,
        max_prefill_tokens_per_step: 2_048,
        mean_prompt_tokens: 1_076.0,
        mean_answer_tokens: 116.0,
        loads_at_once: 6,
        loads_per_s: 4.0,
        form_ms: 300,
        cross_domain_factor: 2.5,
    }
}

/// Returns `count` groups that serve the same model and have one member each.
pub fn groups(count: usize) -> Vec<Arc<Target>> {
    groups_in(&vec!["dc"; count], &Evacuations::default())
}

/// Returns groups that serve the same model and have one member each, in these data centres.
pub fn groups_in(data_centres: &[&str], evacuations: &Evacuations) -> Vec<Arc<Target>> {
    let count = data_centres.len();
    let service: jacinthpoint_types::ServiceId = "engines".parse().expect("valid service name");
    let model: jacinthpoint_types::DeploymentId = "model".parse().expect("valid model name");
    let config = FleetConfig::new(
        ConfigVersion(1),
        Vec::new(),
        vec![Service {
            id: service.clone(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: Some(engine()),
            warm_up: None,
        }],
        Vec::new(),
        CallerLimits::default(),
    );
    let upstream = |index: usize| Upstream {
        id: format!("i-{index:03}").parse().expect("valid VM name"),
        started_unix_ms: 1,
        service: service.clone(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        data_centre: data_centres[index].parse().expect("valid name"),
        state: UpstreamState::Ready,
        slots: 26,
        domain: Some("domain".parse().expect("valid domain name")),
        staged: vec![model.clone()],
        model: Some(model.clone()),
        membership: Some(Membership {
            group: format!("g{index:03}").parse().expect("valid group name"),
            epoch: 1,
            rank: 0,
            state: GroupState::Open,
        }),
        warm_up_left_ms: Some(0),
        is_listed: true,
    };
    let upstreams: BTreeMap<VmId, Upstream> = (0..count)
        .map(upstream)
        .map(|upstream| (upstream.id.clone(), upstream))
        .collect();
    Directory::new(&config, &upstreams, &BTreeMap::new(), evacuations, "dc")
        .groups(&service, &model)
        .to_vec()
}

/// Returns the selection for the first attempt of a request at any of `targets`.
pub fn selection(targets: &[Arc<Target>]) -> Selection<'_> {
    Selection {
        targets,
        tried: &[],
        queue_share: 0.35,
        prompt: None,
        is_wait_limited: false,
        reserve: None,
        stall_policy: None,
        limits: None,
        warm_ups: None,
    }
}
