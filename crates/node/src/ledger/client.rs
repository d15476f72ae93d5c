//! Client side of the records of requests with an idempotency key: sends operations to the owner of
//! a slot, and queries the node that runs a claim.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use jacinthpoint_ledger::{Op, slot_of};
use jacinthpoint_types::{AttemptId, Deadline, NodeId};
use jacinthpoint_wire::{
    ClaimRequest, ClaimVerdict, PeerReply, PeerRequest, ReleaseRequest, RunState, read_frame,
    write_frame,
};

use crate::{events::log_event, shared::Shared};

/// Maximum number of nodes, in rank order, to which an operation is sent before this node runs it
/// itself.
const MAX_OWNERS_ASKED: usize = 2;
/// Timeout for connecting to a node and for writing the request.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time for the exchange itself, in addition to the time for which the other node waits.
const EXCHANGE_SLACK_MS: u64 = 300;

/// Claims the right to run a request with an idempotency key.
pub(crate) fn claim(shared: &Shared, request: &ClaimRequest) -> ClaimVerdict {
    let op = Op::Claim(request.clone());
    request_from_owner(
        shared,
        op,
        &PeerRequest::Claim(request.clone()),
        request.wait_ms,
    )
}

/// Releases a claim whose request was never dispatched.
pub(crate) fn release(shared: &Shared, request: &ReleaseRequest) -> ClaimVerdict {
    let op = Op::Release(request.clone());
    let message = PeerRequest::Release(request.clone());
    request_from_owner(shared, op, &message, request.wait_ms)
}

/// Sends an operation to the slot's owner. If that fails, sends it to the node next in rank, and
/// then runs it on this node. An operation that reaches two owners takes effect once, because it
/// carries the claim's id and a page is written only if its version is unchanged.
fn request_from_owner(
    shared: &Shared,
    op: Op,
    message: &PeerRequest,
    wait_ms: u32,
) -> ClaimVerdict {
    let task = format!("ledger-slot-{}", slot_of(op.key()));
    let owners = shared
        .ranked_nodes(&task)
        .into_iter()
        .take(MAX_OWNERS_ASKED);
    for owner in owners {
        if owner == shared.settings.name {
            break;
        }
        match exchange(shared, &owner, message, wait_ms) {
            Ok(PeerReply::Verdict(verdict)) => return verdict,
            Ok(_) => {}
            Err(error) => {
                log_event!(
                    info, LedgerOwnerSilent, %owner, %error,
                    "ledger owner did not answer, trying the next node in rank or this node"
                );
            }
        }
    }
    let deadline = Deadline::after_ms(shared.now(), u64::from(wait_ms));
    shared.ledger.run(shared, op, deadline)
}

/// Returns the state of a claim from the node that runs it, or `None` if that node does not answer.
pub(crate) fn run_state(
    shared: &Shared,
    runner: &NodeId,
    claim: AttemptId,
    wait_ms: u32,
) -> Option<RunState> {
    if runner == &shared.settings.name {
        return Some(shared.runs.wait(claim, u64::from(wait_ms)));
    }
    let message = PeerRequest::KeptAnswer { claim, wait_ms };
    match exchange(shared, runner, &message, wait_ms) {
        Ok(PeerReply::Run(state)) => Some(state),
        Ok(_) | Err(_) => None,
    }
}

/// Sends a request to a node and returns its reply. Fails with `NotFound` if its address is
/// unknown.
fn exchange(
    shared: &Shared,
    node: &NodeId,
    message: &PeerRequest,
    wait_ms: u32,
) -> io::Result<PeerReply> {
    let address = node_address(shared, node).ok_or(io::ErrorKind::NotFound)?;
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    let answer_timeout = Duration::from_millis(u64::from(wait_ms) + EXCHANGE_SLACK_MS);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(answer_timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_frame(&mut stream, message)?;
    read_frame(&mut stream)
}

fn node_address(shared: &Shared, node: &NodeId) -> Option<SocketAddr> {
    let peers = shared.peers();
    let mut known = peers.known();
    known
        .find(|update| &update.peer.node == node)
        .map(|update| update.peer.address)
}
