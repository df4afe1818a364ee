//! The definition of an experiment: a scenario, variants of it, sweeps over its keys, and seeds.

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::tables::Text;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The question, in one sentence.
    pub about: String,
    /// A file in the folder of this one, or the name of a scenario that is shipped with the program.
    pub scenario: String,
    /// The number of seeds, from `first_seed` on, that each point and variant is simulated with.
    pub seeds: u64,
    #[serde(default = "first_seed")]
    pub first_seed: u64,
    /// Keys of the scenario that are set for all days.
    #[serde(default)]
    pub set: Table,
    /// The first variant is the reference that the others are compared with.
    pub variants: Vec<Variant>,
    /// Every value of one sweep is combined with every value of the others.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// The measures plotted over the sweep, beside the payoff.
    #[serde(default)]
    pub measures: Vec<Measure>,
    /// Whether to compute the upper bound of each day's payoff too.
    #[serde(default)]
    pub bound: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    #[serde(default)]
    pub set: Table,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// A key of the scenario, such as `forwarders.count`; several keys separated by commas get the same value.
    pub key: String,
    pub values: Vec<Value>,
    /// The label of the axis; the key by default.
    #[serde(default)]
    pub label: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    #[serde(rename = "cold_load")]
    WarmUpLoad,
    #[serde(rename = "tipped")]
    Overloads,
    CallsPerEvent,
    /// The cost of a fleet's decisions: the event loop iterations of all forwarders.
    #[serde(rename = "rounds_per_event")]
    IterationsPerEvent,
    #[serde(rename = "refused_share")]
    RejectedShare,
    FailedShare,
    #[serde(rename = "most_held")]
    PeakPendingEvents,
    LateShare,
    #[serde(rename = "rules")]
    InvariantViolations,
}

impl Measure {
    /// The measure in words, for axis labels and headings.
    pub fn description(self) -> &'static str {
        match self {
            Measure::WarmUpLoad => {
                "highest load on a recovering destination, as a share of the load that overloads it"
            }
            Measure::Overloads => "destinations overloaded per day",
            Measure::CallsPerEvent => "calls per client event",
            Measure::IterationsPerEvent => "event loop iterations per client event",
            Measure::RejectedShare => "share of calls rejected",
            Measure::FailedShare => "share of calls failed",
            Measure::PeakPendingEvents => "most events pending at once",
            Measure::LateShare => "share of the payoff lost to lateness",
            Measure::InvariantViolations => "violations of invariants per day",
        }
    }
}

fn first_seed() -> u64 {
    1
}

impl Experiment {
    pub fn read(text: &Text) -> Result<Experiment, String> {
        let experiment: Experiment = text.deserialize()?;
        if experiment.seeds == 0 {
            return Err(text.error_at("seeds", "0 is not allowed; must be 1 or more"));
        }
        if experiment.variants.is_empty() {
            return Err(text.error_at("variants", "at least one [[variants]] is required"));
        }
        for (at, variant) in experiment.variants.iter().enumerate() {
            if experiment.variants[..at]
                .iter()
                .any(|other| other.name == variant.name)
            {
                let key = format!("variants[{at}].name");
                return Err(text.error_at(&key, &format!("{:?} is listed twice", variant.name)));
            }
        }
        for (at, sweep) in experiment.sweep.iter().enumerate() {
            if sweep.values.is_empty() {
                return Err(text.error_at(
                    &format!("sweep[{at}].values"),
                    "at least one value is required",
                ));
            }
        }
        Ok(experiment)
    }
}
