//! Numbered log events. `docs/EVENTS.md` lists them; a test compares the two lists.

/// Number and name of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EventCode {
    /// The node started.
    NodeStarted = 100,
    /// The node began its planned stop.
    DrainBegan = 101,
    /// The node stopped; the line states how many requests were cut.
    NodeStopped = 102,
    /// The callers' listener was closed, by a planned stop or after a failure.
    ListenerClosed = 103,
    /// A listener failed; the node cannot work without it.
    ListenerFailed = 104,
    /// A request was in flight when the node stopped, and was cut.
    RequestCut = 105,
    /// A connection could not be accepted or served.
    AcceptFailed = 106,
    /// A caller's connection failed within a request, or before its refusal was sent.
    ConnectionFailed = 107,
    /// The process did not run for a time.
    ProcessPaused = 108,
    /// Work of a thread ended by a panic.
    ThreadPanicked = 109,
    /// A newer configuration is in force.
    ConfigInForce = 200,
    /// A configuration is invalid; the one in force is kept.
    ConfigRefused = 201,
    /// A request to the platform failed, or what it returned is invalid.
    PlatformFailed = 202,
    /// A plan was written.
    PlanWritten = 300,
    /// Another controller wrote the plan first.
    PlanConflict = 301,
    /// An engine refused an order because of its fencing token.
    OrderFenced = 302,
    /// An order to an engine failed or was not answered.
    OrderFailed = 303,
    /// A standby replaced a member while the platform was unavailable.
    StandbySwapped = 304,
    /// An order was not sent because its deadline had passed.
    OrderExpired = 305,
    /// Another version of a plan is known: one that was read, or that this node wrote.
    PlanKnown = 306,
    /// The node may use a group, or may no longer use it.
    GroupChanged = 307,
    /// A message from another node could not be decoded.
    MessageDropped = 400,
    /// What is known of another node changed.
    PeerChanged = 401,
    /// Datagrams of other nodes could not be received.
    ReceiveFailed = 402,
    /// An attempt failed; the request may be retried on another upstream.
    AttemptFailed = 500,
    /// A request ended without an answer.
    RequestFailed = 501,
    /// A page of records of requests with an idempotency key could not be read or written.
    LedgerFailed = 510,
    /// Another owner wrote a page of such records first.
    LedgerConflict = 511,
    /// The owner of a ledger slot did not answer; the operation goes to the next node in rank or is
    /// run by this node.
    LedgerOwnerSilent = 512,
    /// A limit of an organisation is reached; the request was refused.
    LimitReached = 600,
    /// A limit that is not enforced is reached; the request was admitted.
    LimitWatched = 601,
    /// A request was refused at the queue: it was shed, or its deadline cannot be met.
    GateRefused = 610,
    /// An admission layer that is not enforced would have refused a request; it was queued.
    GateWatched = 611,
    /// A group was ejected for a time because it fails while others do not.
    GroupEjected = 620,
}

impl EventCode {
    /// Returns the number in the log line.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs a numbered event. Arguments: level, code, then fields and message as in `tracing`.
macro_rules! log_event {
    ($level:ident, $code:ident, $($rest:tt)+) => {
        tracing::$level!(
            event = $crate::events::EventCode::$code.number(),
            name = %$crate::events::EventCode::$code,
            $($rest)+
        )
    };
}

pub(crate) use log_event;
