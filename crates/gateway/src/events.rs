//! Numbered log events of the gateway. They are listed in `docs/GATEWAY-EVENTS.md`, and a test
//! compares that list with [`EventCode`].

/// Kind of a log event, with its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum EventCode {
    /// The gateway started.
    GatewayStarted = 700,
    /// The gateway received a signal to stop and began its planned stop.
    StopBegan = 701,
    /// The gateway stopped. The event has the number of requests that were cut.
    GatewayStopped = 702,
    /// The settings file was read again.
    SettingsReloaded = 703,
    /// The settings file has errors or cannot be read; the settings in force stay.
    SettingsRefused = 704,
    /// A connection was not accepted, or the address for metrics could not be bound.
    AcceptFailed = 705,
    /// Log lines were dropped because they were not read fast enough.
    LogLinesDropped = 706,
    /// The gateway's answer to readiness checks changed.
    ReadyChanged = 707,
    /// A configuration was read. The event's outcome says whether it changed the view of the fleet.
    ConfigInForce = 710,
    /// A configuration could not be decoded; the one in force stays.
    ConfigRefused = 711,
    /// An entry of the store could not be read, or that of an upstream could not be decoded; it is not used.
    EntryRefused = 712,
    /// The list of upstreams was read, or an entry changed in a way that affects routing.
    UpstreamChanged = 713,
    /// An upstream was removed from the view of the fleet.
    UpstreamGone = 714,
    /// Calls to the store began to fail, or the store is available again.
    StoreChanged = 715,
    /// The source of a watch no longer has the changes that the watch needs; the list is read
    /// again.
    HistoryLost = 716,
    /// The gateway reports its loads to another hub than before, or its cell's to another root.
    HubChanged = 717,
    /// An entry of an upstream is older than the one that is known, and is not used.
    EntryOutdated = 718,
    /// A report of an upstream is older than an order that it has begun, and is not used.
    ReportOutdated = 719,
    /// This gateway acquired the lease and sends orders from now on.
    OwnershipGained = 720,
    /// This gateway gave up the lease and sends no more orders.
    OwnershipLost = 721,
    /// An order to an upstream was answered, or no answer arrived in time.
    OrderAnswered = 722,
    /// An upstream did not answer probes and is considered dead.
    UpstreamDead = 723,
    /// A group of upstreams receives requests from now on, or no longer.
    GroupChanged = 724,
    /// An unlisted upstream answered a health check, which shows whether it is leaving.
    StayAnswered = 725,
    /// The owner began to form a group. The event has the state by which each member counted as
    /// free.
    FormationStarted = 726,
    /// The owner ended the formation of a group. The event says whether the group opened, or why it
    /// did not.
    FormationEnded = 727,
    /// The owner closed groups so that their upstreams form groups of another model, of which callers
    /// miss some. The event has the numbers of groups that decided it.
    ConversionStarted = 728,
    /// The upstreams of closed groups form groups of the other model, or are released.
    ConversionEnded = 729,
    /// A request was sent to an upstream.
    RequestSent = 730,
    /// An attempt failed or was refused, or could not be made.
    AttemptFailed = 731,
    /// A request ended.
    RequestEnded = 732,
    /// A request was refused or failed, and the caller received an error.
    RequestFailed = 733,
    /// The caller closed the connection before the end of the response.
    CallerLeft = 734,
    /// A stream was resumed at another upstream.
    StreamResumed = 735,
    /// A group stalled, has a dead member, or named a faulty one. It receives no requests for a
    /// time, unless it stalled before the answer or the first event of a stream.
    GroupSilent = 736,
    /// An upstream is ejected for a time, because it fails while others do not.
    UpstreamEjected = 737,
    /// A retry is sent, or denied because the service's retry budget is used up.
    RetryDecided = 738,
    /// An upstream named a limit or another one, or named none any more.
    LimitChanged = 739,
    /// The store named an era of its history for the first time, or another one than before.
    StoreHistory = 740,
    /// A list of objects is older than what the gateway has read, and is not used.
    ListRefused = 741,
    /// An upstream closed its connection before a request had its second event, as it does when it
    /// crashes.
    CrashSuspected = 742,
    /// A request or a part of prompts is in quarantine, because it crashes upstreams, or is released.
    QuarantineChanged = 743,
    /// The record of a suspect could not be decoded; it is not used.
    RecordRefused = 744,
    /// This gateway reaches no upstream, or reaches one again.
    ReachChanged = 745,
    /// A request was offered to another gateway, because this one reaches no upstream.
    RequestForwarded = 746,
    /// An upstream stated in an answer that it leaves, or that it wants no requests for a time.
    UpstreamStated = 747,
    /// The gateway called the store since the event before.
    StoreCalled = 748,
    /// A relay failed or has no recent data, and the gateway does not use it for a time.
    SourceLeft = 749,
    /// A caller's connection ended. The event says why, and how many requests it carried.
    ConnectionEnded = 750,
    /// A task of the gateway panicked; what it did has ended.
    TaskPanicked = 751,
    /// The process did not run for a time.
    ProcessPaused = 752,
    /// An attempt makes no progress. The event has the times and the limit that decided it.
    AttemptStalled = 753,
    /// An attempt is given up, since another one of the same request goes on.
    AttemptGivenUp = 754,
    /// A caller's connection ended while a request had no whole answer.
    AnswerUnfinished = 755,
    /// A request arrived after the end of its connection and was not read.
    RequestUnread = 756,
    /// Connections ended, and requests were refused, since others needed their memory or places. The event says
    /// how many since the one before.
    ConnectionsRevoked = 757,
    /// A request in quarantine was sent, to find out whether it still crashes upstreams.
    QuarantineTried = 758,
    /// A list of the store could not go on to its end. What was read of it is used.
    ListUnfinished = 760,
    /// The evacuation of a data centre began or ended.
    EvacuationChanged = 761,
    /// A request waits for room, is sent after a wait, or is refused because more urgent ones need the
    /// room or it would be late.
    RoomDecided = 764,
    /// An upstream is cold, and gets requests at a limited rate.
    UpstreamCold = 765,
    /// An upstream takes fewer requests well than was known.
    CapacityLowered = 780,
}

impl EventCode {
    /// Returns the event's number in the log.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Logs a numbered event. The arguments are its level and code, then fields and a message as in the
/// macros of `tracing`.
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
