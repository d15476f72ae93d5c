//! Decisions on one request: which target it is sent to, when it is retried and when it is refused.
//!
//! Every gateway gets only its own part of the traffic and the loads that upstreams report in their
//! answers, which are out of date when they are read. The modules here estimate the state of the
//! whole fleet from these. This crate does no I/O and reads no clock.

pub use crate::{
    budget::{FleetRetryBudget, FleetRetryBudgetSettings, RetryUsage, SlackShare},
    capacity::{AnswerCounts, AnswerSample, Capacities, SharedCapacities, SharedCapacity},
    crash_notice::CrashNotices,
    demand::WorkMeter,
    directory::{Directory, Target, TargetGroup, TargetKey, targets_at_home},
    durations::RequestDurations,
    load::{LoadTracker, Refusal, Selection, Standing, TargetExplanation, retry_after_ms},
    load_cell::{LoadCell, cell_count, cell_interval_ms, member_interval_ms},
    peer_load::{LoadAggregator, PeerLoad, TargetDigest, TargetReport},
    permit_issuer::{LIMIT_SYNC_MS, PermitIssuer},
    prediction::PromptDemand,
    quarantine::{
        Admission, CrashId, Quarantine, QuarantineChange, RecordWrite, SuspectRecord, Suspicion,
    },
    reach::UpstreamReach,
    stall::{StallPolicy, StallState},
    statement::{AnsweringLife, UpstreamStatements},
    suspect::{ParseSuspectError, RequestContent, SuspectId},
    upstream_limit::{LimitAnswer, LimitReport, MAX_LIMIT_REPORTS, StatementAges, UpstreamLimits},
    urgency::{Reserve, RoomClaim, RoomLine, RoomLines, RoomTerms, Urgency, UrgencyWork},
    warm_up::{
        MAX_WARM_UP_REPORTS, WarmUpAnswer, WarmUpBasis, WarmUpIssuer, WarmUpLimits, WarmUpReport,
        WarmUps,
    },
};

mod budget;
mod capacity;
mod crash_notice;
mod demand;
mod directory;
mod durations;
mod load;
mod load_cell;
mod peer_load;
mod permit_issuer;
mod prediction;
mod quarantine;
mod reach;
mod stall;
mod statement;
mod suspect;
mod unmet_work;
mod upstream_limit;
mod urgency;
mod warm_up;
