//! A site of real processes, callers of it, and the reconciliation of both.

pub use crate::util::{
    caller::{Answer, Call, KEYS},
    checks::{
        check_plans, every_node_answers, fault_survived, let_pass, none_lost, wait_for_answers,
        wait_for_revision,
    },
    command::{Folder, jacinthpoint},
    faults::Faults,
    http::{get_json, get_status, post_json},
    links::Links,
    lone_node::LoneNode,
    process::Process,
    reconcile::{Missing, SHORT_GROUP_BOUND_MS, Tally, read_run_logs, reconcile},
    site::{Site, SiteOptions, Upstream, permitted_groups, status, wait_until},
    traffic::{Sent, Traffic},
};

mod caller;
mod checks;
mod command;
mod faults;
mod http;
mod links;
mod lone_node;
mod process;
mod reconcile;
mod site;
mod traffic;
