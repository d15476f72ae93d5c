//! A site of real processes, and callers of it.

pub use crate::util::{
    caller::{Call, KEYS},
    process::Process,
    site::{Site, SiteOptions, permitted_groups, status, wait_until},
};

mod caller;
mod process;
mod site;
