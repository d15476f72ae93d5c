//! Sizes of sites.

/// Size of a site.
#[derive(Clone)]
pub struct SiteOptions {
    pub nodes: usize,
    pub domains: usize,
    pub vms_per_domain: usize,
    pub groups: u16,
    pub group_size: u16,
    pub standbys: u16,
    pub engine_args: Vec<String>,
    /// Added to the settings of each node.
    pub node_settings: String,
    /// Servers of the plain service `enquiries`.
    pub servers: usize,
    /// Age of the platform's membership list.
    pub membership_lag_ms: u64,
    /// Seed of a fault proxy on every link; without one, links are direct.
    pub proxy_seed: Option<u64>,
}

impl SiteOptions {
    /// Two fabric domains, each with a group of three VMs and one more VM; two nodes.
    pub fn small() -> SiteOptions {
        SiteOptions {
            nodes: 2,
            domains: 2,
            vms_per_domain: 4,
            groups: 2,
            group_size: 3,
            standbys: 1,
            engine_args: Vec::new(),
            node_settings: String::new(),
            servers: 1,
            membership_lag_ms: 500,
            proxy_seed: None,
        }
    }

    /// As [`SiteOptions::small`], with three nodes, three servers and every link through a fault
    /// proxy.
    pub fn proxied() -> SiteOptions {
        SiteOptions {
            nodes: 3,
            servers: 3,
            proxy_seed: Some(1),
            ..SiteOptions::small()
        }
    }
}
