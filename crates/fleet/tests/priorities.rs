//! Tests of which services have requests of different priorities.

use jacinthpoint_fleet::{
    CallerLimits, ConfigVersion, FleetConfig, Homes, Organisation, RequestKind, Route,
    WeightedService,
};
use jacinthpoint_types::ServiceId;

fn service() -> ServiceId {
    "engines".parse().expect("valid service name")
}

/// Returns a route to the service.
fn route(priority: u8, is_public: bool) -> Route {
    Route {
        name: format!("route-{priority}"),
        host: "host".to_owned(),
        path_prefix: format!("/{priority}/"),
        kind: RequestKind::Stream,
        is_resumable: true,
        timeout_ms: 6_000,
        answer_objective_ms: 400,
        gap_objective_ms: 300,
        priority,
        targets: vec![WeightedService {
            service: service(),
            weight: 1.0,
        }],
        max_attempts: 2,
        is_public,
        homes: Homes::default(),
    }
}

/// Returns whether the requests of these routes and organisations have different priorities.
fn has_priorities(routes: &[(u8, bool)], organisations: &[Option<u8>]) -> bool {
    let organisation = |(index, priority): (usize, &Option<u8>)| {
        let organisation = Organisation {
            name: format!("organisation-{index}"),
            priority: *priority,
            homes: Homes::default(),
        };
        (organisation, vec![format!("key-{index}")])
    };
    let routes = routes
        .iter()
        .map(|(priority, is_public)| route(*priority, *is_public));
    let config = FleetConfig::new(
        ConfigVersion(1),
        routes.collect(),
        Vec::new(),
        organisations.iter().enumerate().map(organisation).collect(),
        CallerLimits::default(),
    );
    config.has_priorities(&service())
}

macro_rules! priority_test {
    ($name:ident, $routes:expr, $organisations:expr, $expected:expr) => {
        #[test]
        fn $name() {
            assert_eq!(has_priorities(&$routes, &$organisations), $expected);
        }
    };
}

priority_test!(no_routes, [], [Some(1)], false);
priority_test!(equal_routes, [(1, false), (1, false)], [], false);
priority_test!(different_routes, [(1, false), (2, false)], [], true);
priority_test!(
    different_routes_of_equal_organisations,
    [(1, false), (2, false)],
    [Some(3)],
    true
);
priority_test!(
    different_organisations,
    [(1, false)],
    [Some(0), Some(1)],
    true
);
priority_test!(
    organisation_without_priority,
    [(1, false)],
    [Some(0), None],
    true
);
priority_test!(
    equal_organisations_before_another_route,
    [(0, false)],
    [Some(1), Some(1)],
    false
);
priority_test!(
    public_route_without_organisation,
    [(0, true)],
    [Some(1)],
    true
);
