//! Memory of the requests that a listener reads and handles, limited in sum.
//!
//! Each body is limited, but many at once exceed the memory of a VM. Short requests always have room, so that
//! ordinary callers are served beside a crowd of long ones. See `docs/design/memory.md`.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Length up to which a request needs no room.
const SHORT_BYTES: usize = 16 * 1024;

/// The memory of all requests of a listener.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    max_bytes: usize,
    held_bytes: AtomicUsize,
}

impl BodyMemory {
    pub(crate) fn new(max_bytes: usize) -> Arc<BodyMemory> {
        Arc::new(BodyMemory {
            max_bytes,
            held_bytes: AtomicUsize::new(0),
        })
    }
}

/// What one request holds, until dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl HeldMemory {
    pub(crate) fn new(memory: &Arc<BodyMemory>) -> HeldMemory {
        HeldMemory {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Lets the request hold this many bytes; returns whether there is room for them.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(more @ 1..) = bytes.checked_sub(self.bytes) else {
            return true;
        };
        if bytes <= SHORT_BYTES {
            return true;
        }
        let held = &self.memory.held_bytes;
        let taken = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(more)
                .filter(|held| *held <= self.memory.max_bytes)
        });
        if taken.is_ok() {
            self.bytes = bytes;
        }
        taken.is_ok()
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        (self.memory.held_bytes).fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
