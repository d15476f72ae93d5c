//! A site of real processes, and callers of it.

pub use crate::util::{
    caller::{Answer, Call, KEYS},
    process::Process,
    site::{Site, SiteOptions, permitted_groups, wait_until},
};

mod caller;
mod process;
mod site;
