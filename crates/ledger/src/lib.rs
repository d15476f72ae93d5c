//! Decisions on requests that run at most once.
//!
//! A keyed request is dispatched only under a record that is known to stand in the platform's
//! store. [`SlotLedger`] decides what to read and write for that; [`KeyedRequest`] decides whether
//! a sending runs, waits or ends; [`RunTable`] keeps the answers
//! of the runs of one node; [`check_key`] says which keys may be used at all. This crate does no
//! I/O and reads no clock.

pub use crate::{
    key::{
        BUCKET_MS, Bucket, KeyError, MAX_AHEAD_MS, MAX_NODE_SKEW_MS, PAGES_PER_SLOT, PageName,
        SLOTS, WINDOW_MS, check_key, slot_of,
    },
    keyed_request::{KeyedRequest, Step},
    page::{Page, PageVersion, Record},
    runs::RunTable,
    slot::{Action, Op, ReadResult, SlotLedger, Ticket, WriteResult},
};

mod key;
mod keyed_request;
mod page;
mod page_state;
mod runs;
mod slot;
