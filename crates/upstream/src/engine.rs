//! Control calls to an engine: reading its state, sending orders and cancelling attempts.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthpoint_types::{Assignment, AttemptId, Epoch, GroupId, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    bounded::read_json,
    error::UpstreamError,
    exchange::{self, Answer, ExchangeError, Request, TimeLimit},
};

/// Holds the state that an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The VM on which the engine runs. Another VM may have taken over the address that was called.
    pub vm: VmId,
    /// Number that increases each time the engine starts.
    pub incarnation: u64,
    /// Assignment of the group to which the engine belongs, if any.
    pub assignment: Option<Assignment>,
    /// True if the engine's VM is about to leave.
    #[serde(default)]
    pub leaving: bool,
    /// True if the weights are loaded and every step completes.
    pub ready: bool,
    /// Time of the engine's last step as a multiple of the usual step time.
    pub slowness: f64,
    /// Number of requests running, as of `report_age_ms` ago.
    pub running: u32,
    /// Number of requests queued, as of `report_age_ms` ago.
    pub queued: u32,
    /// Age of `running` and `queued` when the engine answered.
    pub report_age_ms: u64,
}

/// Order to an engine to join or leave a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load the model and serve requests as a member of the group.
    Serve {
        /// The group to join.
        assignment: Assignment,
    },
    /// Leave the group and stop its requests.
    Leave {
        /// The group to leave.
        group: GroupId,
        /// Epoch made from the plan's fencing token. An engine that honours fencing tokens refuses
        /// the order if it has received a higher epoch.
        epoch: Epoch,
    },
}

impl Order {
    /// Returns the epoch of the order.
    pub fn epoch(&self) -> Epoch {
        match self {
            Order::Serve { assignment } => assignment.epoch,
            Order::Leave { epoch, .. } => *epoch,
        }
    }
}

/// Answer of an engine to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine carries out the order.
    Accepted,
    /// The engine refused the order, because it has already received a higher epoch.
    Fenced {
        /// Highest epoch that the engine has received.
        highest: Epoch,
    },
}

#[derive(Deserialize)]
struct FencedBody {
    highest: Epoch,
}

/// Requests the state of an engine.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms`, answers with an error status, or
/// answers with something that is not an [`EngineState`].
pub fn state(address: SocketAddr, timeout_ms: u64) -> Result<EngineState, UpstreamError> {
    let answer = call(address, "GET", "/state", &[], timeout_ms)?;
    check_success(&answer)?;
    Ok(read_json(answer.body)?)
}

/// Sends an order to an engine.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms` or answers with an error status. The
/// engine may have carried out the order nevertheless. Status 409 is no error but
/// [`OrderReply::Fenced`].
pub fn order(
    address: SocketAddr,
    order: &Order,
    timeout_ms: u64,
) -> Result<OrderReply, UpstreamError> {
    let body = serde_json::to_vec(order).map_err(io::Error::from)?;
    let answer = call(address, "POST", "/orders", &body, timeout_ms)?;
    if answer.status == 409 {
        let body: FencedBody = read_json(answer.body)?;
        return Ok(OrderReply::Fenced {
            highest: body.highest,
        });
    }
    check_success(&answer)?;
    Ok(OrderReply::Accepted)
}

/// Cancels an attempt. Any answer counts as success, because an engine that no longer holds the
/// attempt has nothing to cancel.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms`.
pub fn cancel(
    address: SocketAddr,
    attempt: AttemptId,
    timeout_ms: u64,
) -> Result<(), UpstreamError> {
    let path = format!("/streams/{attempt}");
    call(address, "DELETE", &path, &[], timeout_ms)?;
    Ok(())
}

/// Sends a control call with a JSON body, if it has one, and returns the answer.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout_ms: u64,
) -> Result<Answer, ExchangeError> {
    let timeout = Duration::from_millis(timeout_ms);
    let limit = TimeLimit::Until(Instant::now() + timeout);
    let content_type = [("content-type", "application/json".to_owned())];
    let request = Request {
        method,
        path,
        fields: if body.is_empty() { &[] } else { &content_type },
        body,
    };
    exchange::send(address, &request, timeout, limit)
}

fn check_success(answer: &Answer) -> Result<(), UpstreamError> {
    if answer.is_success() {
        return Ok(());
    }
    Err(UpstreamError {
        message: format!("the engine answered with status {}", answer.status),
    })
}
