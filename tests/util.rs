//! A site of real processes, and callers of it.

pub use crate::util::{
    caller::{Answer, Call, KEYS},
    command::{Folder, jacinthpoint},
    lone_node::LoneNode,
    process::Process,
    site::{Site, SiteOptions, permitted_groups, status, wait_until},
};

mod caller;
mod command;
mod lone_node;
mod process;
mod site;
