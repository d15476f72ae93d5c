//! Decides which requests with an idempotency key run, so that each key runs at most once.
//!
//! A caller may send the same request again, through another node and while the first one still
//! runs, and nodes may stop at any moment. A keyed request is therefore dispatched only under a
//! claim whose record is known to be committed in the platform's store.
//!
//! The node that receives a keyed request is its runner. A claim is the runner's request for the
//! right to run the keyed request. It has an id of its own, a new `AttemptId`, and is granted when
//! its record is committed.
//!
//! - [`check_key`] decides which keys are accepted.
//! - [`SlotLedger`] is the state of a slot, a share of all keys, at its owner. It decides what to
//!   read from and write to the store.
//! - [`KeyedRequest`] is the state of one keyed request at its runner. It decides whether the
//!   request runs, waits for another run or ends.
//! - [`RunTable`] keeps the states and answers of the claims of one node.
//!
//! This crate does no I/O and reads no clock.

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
