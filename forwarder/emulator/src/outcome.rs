//! The outcome of a simulated day: totals, series over time, and everything needed to simulate the
//! day again.
//!
//! `plankhill emulate --json` prints an [`Outcome`]; the names of its fields are that output's
//! form.

use std::collections::BTreeMap;

use plankhill_forwarder_config::scenario::Ms;
use serde::{Deserialize, Serialize};

/// Why value was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// Delivered past the latency target.
    Late,
    /// Never attempted: the lane was offline, or other events were first.
    Waited,
    /// The last attempt was rejected.
    Refused,
    /// The last attempt had no connection.
    Unconnected,
    /// The last attempt had no answer in time.
    Unanswered,
    /// The last attempt was reset or answered with an error.
    Failed,
    /// The event may have run, and was abandoned.
    MayHaveRun,
    /// Rejected at submission.
    NoRoom,
    /// No forwarder was up, or its machine was lost.
    NoForwarder,
    /// The day ended before the event was completed.
    DayOver,
}

impl LossCause {
    /// The cause in words, for summaries and reports.
    pub fn description(self) -> &'static str {
        match self {
            LossCause::Late => "delivered late",
            LossCause::Waited => "never attempted: lane offline or other events first",
            LossCause::Refused => "rejected by the destination",
            LossCause::Unconnected => "no connection",
            LossCause::Unanswered => "no answer in time",
            LossCause::Failed => "error or reset",
            LossCause::MayHaveRun => "may have run, could not be retried",
            LossCause::NoRoom => "rejected at submission",
            LossCause::NoForwarder => "no forwarder up, or its machine lost",
            LossCause::DayOver => "the day ended before completion",
        }
    }
}

/// Counts and sums over the whole day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Events of clients, each counted once.
    pub events: u64,
    /// Submissions of events, repeated ones included.
    pub handed_in: u64,
    /// Events that a forwarder accepted.
    pub taken: u64,
    /// Events that were delivered.
    pub delivered: u64,
    /// Events that were rejected, each counted once per rejection.
    pub dismissed: u64,
    /// Events that were abandoned.
    pub written_off: u64,
    /// Events that were lost with a machine.
    pub lost: u64,
    /// The value of all events, if each was delivered at once.
    pub asked: f64,
    /// The value that was delivered.
    pub paid: f64,
    /// Attempts of events.
    pub sends: u64,
    /// Calls, of one event or of several.
    pub calls: u64,
    /// Health checks.
    pub pings: u64,
    /// Calls that were rejected.
    pub refused_calls: u64,
    /// Calls that failed otherwise.
    pub failed_calls: u64,
    /// Lanes that were overloaded while they warmed up.
    pub tipped: u64,
    /// The highest load of a lane that was warming up, as a share of the load that overloads it.
    pub cold_load: f64,
    /// Calls that ran though their forwarder got no answer. Repeated effects of idempotent and
    /// deduplicated events are allowed.
    pub ran_unheard: u64,
    /// Steps of the simulation.
    pub steps: u64,
    /// Event loop iterations of all forwarders.
    pub rounds: u64,
    /// The highest number of events pending at once.
    pub most_held: u64,
    /// The highest number of calls in flight at once.
    pub most_out: u64,
}

/// The outcome of one traffic type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficOutcome {
    /// The type's name in the scenario.
    pub name: String,
    /// Events of clients, each counted once.
    pub events: u64,
    /// Events that were delivered.
    pub delivered: u64,
    /// The value of all events.
    pub asked: f64,
    /// The value that was delivered.
    pub paid: f64,
    /// The mean time to delivery in milliseconds.
    pub mean: Ms,
    /// Time to delivery at these shares of the delivered events, in milliseconds.
    pub times: Vec<(f64, Ms)>,
    /// Upper edge of a step of the time to delivery in milliseconds, and the events in it.
    pub spread: Vec<(Ms, u64)>,
}

/// Values over time. All vectors have the same number of steps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The length of one step in milliseconds.
    pub width: Ms,
    /// The value of events by when they were first submitted.
    pub asked: Vec<f64>,
    /// The part of that value that was delivered in the end.
    pub paid: Vec<f64>,
    /// Calls.
    pub calls: Vec<u64>,
    /// Calls that failed without being rejected.
    pub failed: Vec<u64>,
    /// Calls that were rejected.
    pub refused: Vec<u64>,
    /// Events pending at the end of the step.
    pub held: Vec<u64>,
    /// Calls in flight at the end of the step.
    pub out: Vec<u64>,
    /// Calls that reached destinations with a fault.
    pub load: Vec<f64>,
    /// Calls that those destinations could have served.
    pub capacity: Vec<f64>,
}

/// Calls to one destination over time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeatRow {
    /// The destination's number.
    pub destination: u32,
    /// Its group in the scenario.
    pub group: String,
    /// Whether a fault of the scenario affects the destination.
    pub struck: bool,
    /// Calls by step.
    pub calls: Vec<u32>,
    /// Calls that failed or were rejected, by step.
    pub failed: Vec<u32>,
}

/// When a fault of the scenario lasted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultInterval {
    /// The kind of the fault.
    #[serde(rename = "trouble")]
    pub fault: String,
    /// Milliseconds from the start of the day.
    pub start: Ms,
    /// Milliseconds from the start of the day; not past its end.
    pub end: Ms,
}

/// The number of violations of an invariant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleCount {
    /// The invariant's name.
    pub rule: String,
    /// Its violations.
    pub broken: u64,
}

/// The outcome of a simulated day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario's description.
    pub about: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The decider of the forwarders: the decision module or a baseline.
    pub decisions: String,
    /// The length of the day in milliseconds.
    pub length: Ms,
    /// The value that was delivered, as a share of the value of all events.
    pub payoff: f64,
    /// Counts and sums.
    pub totals: Totals,
    /// The value that was not delivered, by cause.
    pub causes: BTreeMap<LossCause, f64>,
    /// By traffic type, in the scenario's order.
    pub traffic: Vec<TrafficOutcome>,
    /// Values over time.
    pub series: Series,
    /// The destinations that are shown, by their traffic.
    pub heat: Vec<HeatRow>,
    /// The scenario's faults.
    #[serde(rename = "shades")]
    pub fault_intervals: Vec<FaultInterval>,
    /// The invariants of a forwarder.
    pub rules: Vec<RuleCount>,
    /// The first violations in words.
    pub breaches: Vec<String>,
}

impl Outcome {
    /// All violations of invariants.
    pub fn broken(&self) -> u64 {
        self.rules.iter().map(|rule| rule.broken).sum()
    }
}
