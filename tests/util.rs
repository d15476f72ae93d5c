//! A site of real processes, and callers of it.

pub use crate::util::{
    caller::{Call, KEYS},
    command::{Folder, jacinthpoint},
    process::Process,
    site::{Site, SiteOptions, permitted_groups, wait_until},
};

mod caller;
mod command;
mod process;
mod site;
