//! What a day came to: figures, series over time, and all that is needed to play it again.

use std::collections::BTreeMap;

use plankhill_forwarder_config::scenario::Ms;
use serde::{Deserialize, Serialize};

/// What kept payoff from being delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// It was delivered, past its soft limit.
    Late,
    /// Not sent once: parked, or behind others.
    Waited,
    /// Its last send was refused.
    Refused,
    /// Its last send met no connection.
    Unconnected,
    /// Its last send had no answer in time.
    Unanswered,
    /// Its last send was cut off or answered with an error.
    Failed,
    /// It may have run, and ended so.
    MayHaveRun,
    /// Turned away at the door.
    NoRoom,
    /// No forwarder was there, or its machine was lost.
    NoForwarder,
    /// The day was over before it was.
    DayOver,
}

impl LossCause {
    pub fn description(self) -> &'static str {
        match self {
            LossCause::Late => "delivered late",
            LossCause::Waited => "never sent: parked or behind others",
            LossCause::Refused => "refused by the destination",
            LossCause::Unconnected => "no connection",
            LossCause::Unanswered => "no answer in time",
            LossCause::Failed => "error or cut off",
            LossCause::MayHaveRun => "may have run, could not be sent again",
            LossCause::NoRoom => "turned away at the door",
            LossCause::NoForwarder => "no forwarder, or its machine lost",
            LossCause::DayOver => "the day ended first",
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Events of clients, each counted once, and how often they were handed in.
    pub events: u64,
    pub handed_in: u64,
    pub taken: u64,
    pub delivered: u64,
    pub dismissed: u64,
    pub written_off: u64,
    pub lost: u64,
    pub asked: f64,
    pub paid: f64,
    pub sends: u64,
    pub calls: u64,
    pub pings: u64,
    pub refused_calls: u64,
    pub failed_calls: u64,
    /// Destinations that were pushed over.
    pub tipped: u64,
    /// The most load that a cold destination got, against the load that tips it.
    pub cold_load: f64,
    /// Effects of retriable and fingerprinted events that came about more than once are allowed; these are
    /// the calls that ran though their forwarder did not hear of it.
    pub ran_unheard: u64,
    pub steps: u64,
    pub rounds: u64,
    pub most_held: u64,
    pub most_out: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrafficOutcome {
    pub name: String,
    pub events: u64,
    pub delivered: u64,
    pub asked: f64,
    pub paid: f64,
    /// The mean time to delivery.
    pub mean: Ms,
    /// Time to delivery at these shares of the delivered events, in milliseconds.
    pub times: Vec<(f64, Ms)>,
    /// Upper edge of a step of the time to delivery in milliseconds, and the events in it.
    pub spread: Vec<(Ms, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Of one step of all series, in milliseconds.
    pub width: Ms,
    /// Payoff asked for, by when the event was first handed in, and what of it was delivered in the end.
    pub asked: Vec<f64>,
    pub paid: Vec<f64>,
    pub calls: Vec<u64>,
    pub failed: Vec<u64>,
    pub refused: Vec<u64>,
    /// At the end of the step.
    pub held: Vec<u64>,
    pub out: Vec<u64>,
    /// Calls at the destinations that a trouble strikes, and what they could have served.
    pub load: Vec<f64>,
    pub capacity: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeatRow {
    pub destination: u32,
    pub group: String,
    pub struck: bool,
    pub calls: Vec<u32>,
    pub failed: Vec<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultInterval {
    #[serde(rename = "trouble")]
    pub fault: String,
    pub start: Ms,
    pub end: Ms,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleCount {
    pub rule: String,
    pub broken: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub about: String,
    pub seed: u64,
    pub decisions: String,
    pub length: Ms,
    /// Payoff delivered, as a share of what was asked for.
    pub payoff: f64,
    pub totals: Totals,
    pub causes: BTreeMap<LossCause, f64>,
    pub traffic: Vec<TrafficOutcome>,
    pub series: Series,
    pub heat: Vec<HeatRow>,
    #[serde(rename = "shades")]
    pub fault_intervals: Vec<FaultInterval>,
    pub rules: Vec<RuleCount>,
    pub breaches: Vec<String>,
}

impl Outcome {
    pub fn broken(&self) -> u64 {
        self.rules.iter().map(|rule| rule.broken).sum()
    }
}
