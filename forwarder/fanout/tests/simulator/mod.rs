//! A simulation of several forwarders on one log, with random faults: processes crash at any step, with and
//! without losing their state folder, are suspended and resumed, or are cut off; reports are lost, duplicated
//! and delayed; cohorts and subscribers move all the time. The same seed gives the same run.

pub mod checker;
mod forwarder;
mod process;
mod random_events;
mod simulation;

pub use simulation::Simulation;

fn bounds() -> plankhill_fanout::Bounds {
    plankhill_fanout::Bounds {
        window: 2,
        slow_window: 4,
        kept_for_one: 8,
        kept_in_all: 1000,
        broadcasts: 100,
        body_bytes: 100_000,
        room: 100,
        moves_at_once: 4,
        moves_a_minute: 1000,
    }
}

/// Faults planted in the hosts, to show that each check detects one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// Submits copies when it requests them, instead of when the log assigns them.
    SubmitsBeforeCommit,
    /// Does not check its event log after a restart.
    IgnoresEventLog,
    /// Reports that a copy has ended when its subscriber moves, though a call is in flight.
    EndsTooEarly,
    /// Sends a copy after the end of its patience.
    SendsAfterPatience,
    /// Sends binding copies again after a restart.
    ResendsBinding,
    /// Abandons the copies of an instance as soon as it is lost.
    AbandonsAtOnce,
    /// Reports an outcome as notified without a notice.
    SkipsNotice,
    /// Answers 202 before the log accepts the broadcast.
    AnswersEarly,
    /// Loses some of the copies that it is to submit.
    DropsSubmission,
}
