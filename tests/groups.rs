//! Replica groups are gated and repaired.

use serde_json::json;

use crate::util::{Call, SiteOptions, permitted_groups, wait_until};

/// Bound on the time from the loss of a member to the last node's loss of its permits: the life of
/// a permit, one probe on its way and one round of permits.
const GATE_BOUND_MS: u64 = 2_500;

site_test!(
    paused_member_closes_its_group,
    SiteOptions::small(),
    |site| {
        site.engine_fault("rack-1-vm-2", &json!({ "mode": "pause" }));
        wait_until("every node gives up the permit", GATE_BOUND_MS, || {
            site.nodes.iter().all(|node| {
                let groups = permitted_groups(node.operators);
                groups
                    .iter()
                    .all(|members| !members.contains("rack-1-vm-2"))
            })
        });
    }
);

site_test!(
    serving_goes_on_without_the_platform,
    SiteOptions::small(),
    |mut site| {
        site.platform.signal("KILL");
        assert!(site.platform.wait(5_000).is_some());
        std::thread::sleep(std::time::Duration::from_millis(3_000));
        let call = Call::new("while the platform is away");
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!(
            (answer.outcome.as_str(), answer.text),
            ("answered", call.expected())
        );
    }
);
