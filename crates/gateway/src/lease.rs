//! Holds or watches the lease, so that only one gateway at a time sends orders to the upstreams.
//!
//! The lease is an object in the store that names its holder, the owner. The owner rewrites it
//! every [`RENEWAL_INTERVAL_MS`]. A gateway that sees no change for [`takeover_ms`] on its own
//! clock replaces it by a conditional write. The revision of the write that acquired the lease is
//! the fencing token of all orders that the owner sends. Upstreams refuse orders with a lower token
//! than they have seen, so a former owner that was paused cannot send orders after its lease was
//! taken over. The protocol does not depend on the wall clocks of the gateways.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use jacinthpoint_adapter::StoredObject;
#[cfg(doc)]
use jacinthpoint_fleet::takeover_ms;
use jacinthpoint_fleet::{Continuity, HistoryPosition};
use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;
use serde_json::{Value, json};

use crate::{
    clock::sleep_ms,
    events::log_event,
    state::{Gateway, Phase},
    store::{Availability, StoreClient, StoreError},
};

/// Kind of the lease in the store.
const KIND: &str = "leases";
/// Name of the lease in the store.
const NAME: &str = "groups";
/// Time between two renewals of the lease, and between two checks of another gateway's lease by a
/// candidate.
const RENEWAL_INTERVAL_MS: u64 = 500;
/// Time between two checks of the lease by a gateway that is not a candidate. Candidates check more
/// often, so such a gateway normally takes over only if all candidates are gone.
const NON_CANDIDATE_INTERVAL_MS: u64 = 2_500;
/// Time without a path to any upstream after which the owner releases the lease: another gateway may
/// reach them.
const MAX_CUT_MS: u64 = 1_000;
/// Time after a renewal for which the owner may send orders. It is shorter than any [`takeover_ms`],
/// so that the owner stops before another gateway takes over.
const VALID_MS: u64 = 1_400;

/// The state of the lease at this gateway.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// The fencing token, from the acquisition of the lease until it is given up. It stays set when
    /// the right to send orders expires.
    held_token: Cell<Option<u64>>,
    /// Time at which the right to send orders ends, unless the lease is renewed before.
    valid_until: Cell<Option<Deadline>>,
    /// Position in the store's history of the last change of another gateway's lease, and the time at
    /// which this gateway first saw it.
    last_change: RefCell<Option<(HistoryPosition, TimeMs)>>,
}

impl Lease {
    /// Returns the fencing token if this gateway may send orders at `now`.
    pub(crate) fn valid_token(&self, now: TimeMs) -> Option<u64> {
        let valid_until = self.valid_until.get()?;
        self.held_token
            .get()
            .filter(|_| !valid_until.has_passed(now))
    }

    /// Ends the right to send orders; `why` is logged.
    pub(crate) fn give_up(&self, why: &'static str) {
        if let Some(token) = self.held_token.take() {
            log_event!(
                warn,
                OwnershipLost,
                fence = token,
                why,
                "this gateway sends no more orders"
            );
        }
        self.valid_until.set(None);
    }

    /// Records an acquisition or renewal by a call that began at `sent_at`. The validity starts
    /// then, because other gateways may have seen the write at any time since.
    ///
    /// If the call found an earlier write of this gateway whose answer was lost, the validity
    /// starts later than that write. Validity may then end after another gateway's takeover;
    /// upstreams refuse orders under the lower fencing token.
    fn extend(&self, token: u64, sent_at: TimeMs) {
        if self.held_token.replace(Some(token)) != Some(token) {
            log_event!(
                info,
                OwnershipGained,
                fence = token,
                "this gateway sends the orders"
            );
        }
        self.valid_until
            .set(Some(Deadline::after_ms(sent_at, VALID_MS)));
    }
}

/// Renews the lease, or acquires it when it is free, until the gateway stops. Then releases it.
pub(crate) async fn maintain_lease(gateway: Rc<Gateway>, lease: Rc<Lease>) {
    let mut availability = Availability::default();
    let mut store = StoreClient::new(gateway.settings().store);
    let incarnation = gateway.rng.borrow_mut().random::<u32>();
    let mut attempts = 0_u64;
    let mut revision = None;
    // At the start, only the candidates compete for the lease.
    gateway.roster.wait_until_known().await;
    if !is_candidate(&gateway) {
        sleep_ms(NON_CANDIDATE_INTERVAL_MS).await;
    }
    loop {
        if *gateway.phase.borrow() != Phase::Serving {
            release(&gateway, &lease, &mut store, revision, "planned stop").await;
            return;
        }
        if gateway.reach.borrow().cut_ms(gateway.now()) >= MAX_CUT_MS {
            let why = "this gateway reaches no upstream";
            release(&gateway, &lease, &mut store, revision.take(), why).await;
            sleep_ms(RENEWAL_INTERVAL_MS).await;
            continue;
        }
        let sent_at = gateway.now();
        attempts += 1;
        let content = content(gateway.settings().name.as_str(), incarnation, attempts);
        let result = match (lease.held_token.get(), revision) {
            (Some(_), Some(held)) => store.replace(KIND, NAME, held, &content).await,
            _ => try_acquire(&gateway, &lease, &mut store, &content).await,
        };
        match result {
            Ok(object) => {
                // `false`: the answer is from the store, not from a relay.
                availability.on_answer(KIND, false, gateway.now());
                revision = Some(object.revision);
                let token = lease.held_token.get().unwrap_or(object.revision);
                lease.extend(token, sent_at);
                *gateway.owner.borrow_mut() = Some(gateway.settings().name.to_string());
            }
            Err(StoreError::Conflict(current)) => {
                availability.on_answer(KIND, false, gateway.now());
                // An earlier write of this gateway whose answer was lost may have taken effect.
                // Then the current content has the random number of this incarnation.
                let is_own =
                    |object: &StoredObject| object.content.get("life") == content.get("life");
                let own = current.as_ref().filter(|object| is_own(object));
                if let Some(object) = own {
                    revision = Some(object.revision);
                    let token = lease.held_token.get().unwrap_or(object.revision);
                    lease.extend(token, sent_at);
                } else {
                    lease.give_up("another gateway holds the lease");
                    revision = None;
                    let position = current.as_deref().map(|object| store.position_of(object));
                    record_change(&lease, position, sent_at);
                }
            }
            // The lease was removed from the store. The next pass creates it if it is still absent.
            // A held token stays.
            Err(StoreError::Refused(404)) => revision = None,
            Err(error) => availability.on_failure(KIND, &error, gateway.now()),
        }
        let is_active = lease.held_token.get().is_some() || is_candidate(&gateway);
        let pause_ms = if is_active {
            RENEWAL_INTERVAL_MS
        } else {
            NON_CANDIDATE_INTERVAL_MS
        };
        let jitter_ms = gateway
            .rng
            .borrow_mut()
            .random_range(0..RENEWAL_INTERVAL_MS / 5);
        sleep_ms(pause_ms - jitter_ms).await;
    }
}

/// Returns whether this gateway is a candidate for the lease.
fn is_candidate(gateway: &Gateway) -> bool {
    gateway.roster.is_candidate()
}

/// Returns the content of the lease. The number of attempts makes each write a change. By the
/// random number of its incarnation, a gateway recognises its own write.
fn content(holder: &str, incarnation: u32, attempts: u64) -> Value {
    json!({ "holder": holder, "life": incarnation, "renewals": attempts })
}

/// Records the last change of another gateway's lease, and returns the milliseconds for which this
/// gateway has seen no newer one.
fn record_change(lease: &Lease, position: Option<HistoryPosition>, now: TimeMs) -> u64 {
    let mut last_change = lease.last_change.borrow_mut();
    let Some(position) = position else {
        return 0;
    };
    if let Some((known, since)) = *last_change {
        let is_newer = match position.continuity(&known) {
            Continuity::Continues => position.revision > known.revision,
            // The holder writes in the restored store, too, under lower revisions.
            Continuity::Restored => true,
            Continuity::Older | Continuity::Lost => false,
        };
        if !is_newer {
            return now.since_ms(since);
        }
    }
    *last_change = Some((position, now));
    0
}

/// Acquires the lease if it does not exist, was released, or was not changed for [`takeover_ms`].
///
/// Fails with [`StoreError::Conflict`] if another gateway holds it.
async fn try_acquire(
    gateway: &Gateway,
    lease: &Lease,
    store: &mut StoreClient,
    content: &Value,
) -> Result<StoredObject, StoreError> {
    let Some(current) = store.get_stale(KIND, NAME).await? else {
        return store.create(KIND, NAME, content).await;
    };
    let holder = current.content.get("holder").and_then(Value::as_str);
    *gateway.owner.borrow_mut() = holder.map(str::to_owned);
    let is_released = current.content.get("holder") == Some(&Value::Null);
    let position = store.position_of(&current);
    let unchanged_ms = record_change(lease, Some(position), gateway.now());
    if is_released || unchanged_ms >= gateway.roster.takeover_ms() {
        return store.replace(KIND, NAME, current.revision, content).await;
    }
    Err(StoreError::Conflict(Some(Box::new(current))))
}

/// Releases the lease, so that another gateway can acquire it at once instead of after
/// [`takeover_ms`].
async fn release(
    gateway: &Gateway,
    lease: &Lease,
    store: &mut StoreClient,
    revision: Option<u64>,
    why: &'static str,
) {
    if lease.held_token.get().is_none() {
        return;
    }
    lease.give_up(why);
    let Some(revision) = revision else {
        return;
    };
    let released = json!({ "holder": null });
    if let Err(error) = store.replace(KIND, NAME, revision, &released).await {
        let node = gateway.settings().name.clone();
        log_event!(warn, OwnershipLost, %node, %error,
            "the lease could not be released; it expires");
    }
}
