//! A day of several forwarders on one log, with drawn faults: processes crash at any step, with and without
//! their folder, stand still and wake, are cut off; reports are lost, doubled and come late; cohorts and
//! subscribers change hands all the time. One seed gives one day.

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

/// Faults planted in the hosts, to see that each check bites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    None,
    /// Hands copies in when it asks for them, and not when the log says so.
    HandsBeforeCommit,
    /// Does not look into its ledger after a restart.
    ForgetsLedger,
    /// Says that a copy has ended when its subscriber moves, though a call is out.
    EndsTooEarly,
    /// Sends on past the end of patience.
    OutlastsPatience,
    /// Sends binding copies again after a restart.
    ResendsBinding,
    /// Gives up what an instance held as soon as it is lost.
    GivesUpAtOnce,
    /// Says that an end was told which was not.
    TellsNoEnd,
    /// Says 202 before the log does.
    AnswersEarly,
    /// Loses some of what it is handed.
    DropsHandIn,
}
