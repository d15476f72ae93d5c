//! Which gateway gives orders to the upstreams.
//!
//! One object in the store names the owner. The owner writes it anew every [`RENEW_MS`]; another
//! gateway that sees no change for [`TAKEOVER_MS`] on its own clock replaces it by a conditional
//! write. The revision of the write that took the ownership is the fencing token of all orders
//! under it, so an owner that was paused and goes on is refused by the upstreams. Nothing rests on
//! the time of day.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use jacinthpoint_adapter::StoredObject;
use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;
use serde_json::{Value, json};

use crate::{
    clock::sleep_ms,
    events::log_event,
    state::{Gateway, Phase},
    store::{Availability, Store, StoreError},
};

/// Kind and name of the object.
const KIND: &str = "leases";
const NAME: &str = "groups";
/// Time between two renewals, and between two looks at another's lease.
const RENEW_MS: u64 = 500;
/// Time between two looks of a gateway that is no candidate: it steps in when all candidates are
/// gone.
const IDLE_LOOK_MS: u64 = 2_500;
/// Time without a change after which a lease is taken over: three missed renewals.
const TAKEOVER_MS: u64 = 1_600;
/// Time after a renewal for which the owner may give orders. It is shorter than the time after
/// which another takes over.
const VALID_MS: u64 = 1_400;

/// The ownership, as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    fence: Cell<Option<u64>>,
    until: Cell<Option<Deadline>>,
    seen: RefCell<Option<(u64, TimeMs)>>,
}

impl Lease {
    /// The fencing token, if this gateway may give orders now.
    pub(crate) fn fence(&self, now: TimeMs) -> Option<u64> {
        let until = self.until.get()?;
        self.fence.get().filter(|_| !until.has_passed(now))
    }

    /// Gives the ownership up because an upstream has seen a higher fencing token.
    pub(crate) fn lose(&self, why: &'static str) {
        if let Some(fence) = self.fence.take() {
            log_event!(
                warn,
                OwnershipLost,
                fence,
                why,
                "this gateway gives no more orders"
            );
        }
        self.until.set(None);
    }

    fn hold(&self, fence: u64, sent_at: TimeMs) {
        if self.fence.replace(Some(fence)) != Some(fence) {
            log_event!(
                info,
                OwnershipGained,
                fence,
                "this gateway gives the orders"
            );
        }
        self.until.set(Some(Deadline::after_ms(sent_at, VALID_MS)));
    }
}

/// Holds the lease or waits for it, until the gateway stops.
pub(crate) async fn maintain_lease(gateway: Rc<Gateway>, lease: Rc<Lease>) {
    let mut availability = Availability::default();
    let mut store = Store::new(gateway.settings().store);
    let life = gateway.rng.borrow_mut().random::<u32>();
    let mut renewals = 0_u64;
    let mut revision = None;
    // Only candidates compete for the lease at the start.
    gateway.roster.wait_known().await;
    if !is_candidate(&gateway) {
        sleep_ms(IDLE_LOOK_MS).await;
    }
    loop {
        if *gateway.phase.borrow() != Phase::Serving {
            release(&gateway, &lease, &mut store, revision).await;
            return;
        }
        let sent_at = gateway.now();
        renewals += 1;
        let content = content(gateway.settings().name.as_str(), life, renewals);
        let result = match (lease.fence.get(), revision) {
            (Some(_), Some(held)) => store.replace(KIND, NAME, held, &content).await,
            _ => try_take(&gateway, &lease, &mut store, &content).await,
        };
        match result {
            Ok(object) => {
                availability.on_answer(KIND, false, gateway.now());
                revision = Some(object.revision);
                let fence = lease.fence.get().unwrap_or(object.revision);
                lease.hold(fence, sent_at);
                *gateway.owner.borrow_mut() = Some(gateway.settings().name.to_string());
            }
            Err(StoreError::Conflict(current)) => {
                availability.on_answer(KIND, false, gateway.now());
                // A write whose answer was lost may have taken effect: then the content is ours.
                let is_own =
                    |object: &StoredObject| object.content.get("life") == content.get("life");
                let own = current.as_ref().filter(|object| is_own(object));
                if let Some(object) = own {
                    revision = Some(object.revision);
                    let fence = lease.fence.get().unwrap_or(object.revision);
                    lease.hold(fence, sent_at);
                } else {
                    lease.lose("another gateway holds the lease");
                    revision = None;
                    note(
                        &lease,
                        current.as_deref().map(|object| object.revision),
                        sent_at,
                    );
                }
            }
            Err(StoreError::Refused(404)) => revision = None,
            Err(error) => availability.on_failure(KIND, &error, gateway.now()),
        }
        let is_active = lease.fence.get().is_some() || is_candidate(&gateway);
        let pause_ms = if is_active { RENEW_MS } else { IDLE_LOOK_MS };
        let jitter_ms = gateway.rng.borrow_mut().random_range(0..RENEW_MS / 5);
        sleep_ms(pause_ms - jitter_ms).await;
    }
}

fn is_candidate(gateway: &Gateway) -> bool {
    gateway
        .roster
        .is_candidate(gateway.settings().name.as_str())
}

fn content(holder: &str, life: u32, renewals: u64) -> Value {
    json!({ "holder": holder, "life": life, "renewals": renewals })
}

/// Notes the revision of another's lease and since when it is unchanged.
fn note(lease: &Lease, revision: Option<u64>, now: TimeMs) -> u64 {
    let mut seen = lease.seen.borrow_mut();
    match (*seen, revision) {
        (Some((known, since)), Some(revision)) if known >= revision => now.since_ms(since),
        (_, Some(revision)) => {
            *seen = Some((revision, now));
            0
        }
        (_, None) => 0,
    }
}

/// Takes the lease if nobody holds it. Not holding it is reported as a conflict.
async fn try_take(
    gateway: &Gateway,
    lease: &Lease,
    store: &mut Store,
    content: &Value,
) -> Result<StoredObject, StoreError> {
    let Some(current) = store.get_stale(KIND, NAME).await? else {
        return store.create(KIND, NAME, content).await;
    };
    let holder = current.content.get("holder").and_then(Value::as_str);
    *gateway.owner.borrow_mut() = holder.map(str::to_owned);
    let is_released = current.content.get("holder") == Some(&Value::Null);
    let unchanged_ms = note(lease, Some(current.revision), gateway.now());
    if is_released || unchanged_ms >= TAKEOVER_MS {
        return store.replace(KIND, NAME, current.revision, content).await;
    }
    Err(StoreError::Conflict(Some(Box::new(current))))
}

/// Gives the lease up, so that another gateway need not wait for it to run out.
async fn release(gateway: &Gateway, lease: &Lease, store: &mut Store, revision: Option<u64>) {
    if lease.fence.get().is_none() {
        return;
    }
    lease.lose("planned stop");
    let Some(revision) = revision else {
        return;
    };
    let released = json!({ "holder": null });
    if let Err(error) = store.replace(KIND, NAME, revision, &released).await {
        let node = gateway.settings().name.clone();
        log_event!(warn, OwnershipLost, %node, %error, "the lease runs out by itself");
    }
}
