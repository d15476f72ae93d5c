//! Numbered log events. `docs/GATEWAY-EVENTS.md` is their catalogue; a test compares the two.

/// What a log line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EventCode {
    /// The gateway started.
    GatewayStarted = 700,
    /// The planned stop began.
    StopBegan = 701,
    /// The gateway stopped; says how many requests were cut.
    GatewayStopped = 702,
    /// The settings file was read again.
    SettingsReloaded = 703,
    /// The settings file changed and cannot be read; the settings in force stay.
    SettingsRefused = 704,
    /// A listener failed to accept a connection.
    AcceptFailed = 705,
    /// Log lines were dropped because the reader of the log was too slow.
    LogLinesDropped = 706,
    /// The gateway reports itself ready, or no longer.
    ReadyChanged = 707,
    /// A newer configuration is in force.
    ConfigInForce = 710,
    /// A configuration cannot be read; the one in force stays.
    ConfigRefused = 711,
    /// An entry of an upstream cannot be read; the upstream is not used.
    EntryRefused = 712,
    /// An entry of an upstream changed in a way that routing depends on.
    UpstreamChanged = 713,
    /// An upstream is taken as gone.
    UpstreamGone = 714,
    /// The store answers again, or no longer.
    StoreChanged = 715,
    /// The store dropped the history that a watch needed; the list is read again.
    HistoryLost = 716,
    /// Loads are exchanged through another gateway than before.
    HubChanged = 717,
    /// This gateway gives orders from now on.
    OwnershipGained = 720,
    /// This gateway gives no more orders.
    OwnershipLost = 721,
    /// An order was answered.
    OrderAnswered = 722,
    /// An upstream is taken as dead.
    UpstreamDead = 723,
    /// A group of upstreams takes requests from now on, or no longer.
    GroupChanged = 724,
    /// An upstream that dropped out of the list told whether it stays.
    StayAnswered = 725,
    /// A request was sent to an upstream.
    RequestSent = 730,
    /// An attempt failed or was refused.
    AttemptFailed = 731,
    /// A request ended.
    RequestEnded = 732,
    /// A request was refused or failed.
    RequestFailed = 733,
    /// The caller left before the end of the answer.
    CallerLeft = 734,
    /// A stream goes on at another upstream.
    StreamResumed = 735,
    /// A group makes no progress and gets no requests.
    GroupSilent = 736,
    /// An upstream is left alone for a time, because it fails while others do not.
    UpstreamEjected = 737,
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
