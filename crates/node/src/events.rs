//! Numbered log events. `docs/EVENTS.md` is their catalogue; a test compares the two.

/// What a log line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EventCode {
    /// The node started.
    NodeStarted = 100,
    /// The node began its planned stop.
    DrainBegan = 101,
    /// The node stopped; says how many requests were cut.
    NodeStopped = 102,
    /// The planned stop closed the callers' listener.
    ListenerClosed = 103,
    /// A listener failed; the node can no longer do its work.
    ListenerFailed = 104,
    /// A request was cut by the end of a planned stop.
    RequestCut = 105,
    /// A newer configuration is in force.
    ConfigInForce = 200,
    /// A configuration cannot be read; the one in force stays.
    ConfigRefused = 201,
    /// The platform does not answer as it should.
    PlatformFailed = 202,
    /// A plan was written.
    PlanWritten = 300,
    /// Another controller wrote the plan first.
    PlanConflict = 301,
    /// An engine refused an order by its fencing number.
    OrderFenced = 302,
    /// An order did not reach its engine.
    OrderFailed = 303,
    /// A standby replaced a member while the platform could not be asked.
    StandbySwapped = 304,
    /// An order was not sent, because its authority had run out.
    OrderExpired = 305,
    /// A message of a node could not be read.
    MessageDropped = 400,
    /// An attempt failed; the request goes on elsewhere.
    AttemptFailed = 500,
    /// A request ended without an answer.
    RequestFailed = 501,
    /// A page of at-most-once records could not be read or written.
    LedgerFailed = 510,
    /// Another owner wrote a page of at-most-once records first.
    LedgerConflict = 511,
    /// The owner of a slot did not answer; another node is asked.
    LedgerOwnerSilent = 512,
    /// A limit of an organisation is reached; the request is refused.
    LimitReached = 600,
    /// A limit that only watches is reached; the request goes on.
    LimitWatched = 601,
    /// A request is refused in front of the groups: shed, or too late for its deadline.
    GateRefused = 610,
    /// A layer that only watches would refuse a request; it goes on.
    GateWatched = 611,
    /// A group is left alone for a time, because it fails while others do not.
    GroupEjected = 620,
}

impl EventCode {
    /// The number in the log line.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs a numbered event: level, code, then fields and message as in `tracing`.
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
