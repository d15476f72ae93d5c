//! Control calls to an engine: its state, orders and cancel.

use std::{net::SocketAddr, time::Duration};

use jacinthpoint_types::{Assignment, AttemptId, Epoch, GroupId, VmId};
use serde::{Deserialize, Serialize};

use crate::error::UpstreamError;

/// What an engine believes and how it does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The VM it runs on. Another VM may have taken over an address.
    pub vm: VmId,
    /// Raised each time the engine starts.
    pub incarnation: u64,
    /// The group it belongs to.
    pub assignment: Option<Assignment>,
    /// Whether its VM is about to go.
    #[serde(default)]
    pub leaving: bool,
    /// Whether the weights are loaded and every step completes.
    pub ready: bool,
    /// Time of its last step, measured against the usual time; 1.0 is usual, more is slower.
    pub slowness: f64,
    /// Requests running, as of `report_age_ms` ago.
    pub running: u32,
    /// Requests queued, as of `report_age_ms` ago.
    pub queued: u32,
    /// Age of the load report.
    pub report_age_ms: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load the model and serve as a member of the group.
    Serve {
        /// The group to join.
        assignment: Assignment,
    },
    /// Leave the group and stop its requests.
    Leave {
        /// The group to leave.
        group: GroupId,
        /// Fencing number of the order.
        epoch: Epoch,
    },
}

impl Order {
    /// Fencing number of the order.
    pub fn epoch(&self) -> Epoch {
        match self {
            Order::Serve { assignment } => assignment.epoch,
            Order::Leave { epoch, .. } => *epoch,
        }
    }
}

/// What an engine did with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// It obeys.
    Accepted,
    /// The order's fencing number is lower than one it has seen.
    Fenced {
        /// The highest fencing number it has seen.
        highest: Epoch,
    },
}

#[derive(Deserialize)]
struct FencedBody {
    highest: Epoch,
}

/// Asks an engine for its state.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms`.
pub fn state(address: SocketAddr, timeout_ms: u64) -> Result<EngineState, UpstreamError> {
    let timeout = Duration::from_millis(timeout_ms);
    let answer = attohttpc::get(format!("http://{address}/state"))
        .connect_timeout(timeout)
        .timeout(timeout)
        .send()?
        .error_for_status()?;
    Ok(answer.json()?)
}

/// Gives an engine an order.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms`; it may have obeyed all the same.
pub fn order(
    address: SocketAddr,
    order: &Order,
    timeout_ms: u64,
) -> Result<OrderReply, UpstreamError> {
    let timeout = Duration::from_millis(timeout_ms);
    let answer = attohttpc::post(format!("http://{address}/orders"))
        .connect_timeout(timeout)
        .timeout(timeout)
        .json(order)?
        .send()?;
    if answer.status().as_u16() == 409 {
        let body: FencedBody = answer.json()?;
        return Ok(OrderReply::Fenced {
            highest: body.highest,
        });
    }
    answer.error_for_status()?;
    Ok(OrderReply::Accepted)
}

/// Cancels an attempt. An engine that no longer knows it has nothing to do.
///
/// # Errors
///
/// Fails if the engine does not answer within `timeout_ms`.
pub fn cancel(
    address: SocketAddr,
    attempt: AttemptId,
    timeout_ms: u64,
) -> Result<(), UpstreamError> {
    let timeout = Duration::from_millis(timeout_ms);
    attohttpc::delete(format!("http://{address}/streams/{attempt}"))
        .connect_timeout(timeout)
        .timeout(timeout)
        .send()?;
    Ok(())
}
