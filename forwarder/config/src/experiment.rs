//! What an experiment plays: a scenario, variants of it, sweeps over its keys, and seeds.

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::tables::Text;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The question, in one sentence.
    pub about: String,
    /// A file beside this one, or the name of a scenario that comes with the program.
    pub scenario: String,
    /// Each point and variant is played with so many seeds, from `first_seed` on.
    pub seeds: u64,
    #[serde(default = "first_seed")]
    pub first_seed: u64,
    /// Keys set for all days.
    #[serde(default)]
    pub set: Table,
    /// The first is the one that the others are held against.
    pub variants: Vec<Variant>,
    /// Every value of one with every value of the others.
    #[serde(default)]
    pub sweep: Vec<Sweep>,
    /// What is plotted over the sweep, beside the payoff.
    #[serde(default)]
    pub measures: Vec<Measure>,
    /// Works out the upper bound of each day too.
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
    /// A key of the scenario, as `forwarders.count`; several separated by a comma get the same value.
    pub key: String,
    pub values: Vec<Value>,
    /// What the axis is called; the key if nothing is said.
    #[serde(default)]
    pub label: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    ColdLoad,
    Tipped,
    CallsPerEvent,
    /// What a fleet's decisions cost: a round of one forwarder looks at what came in for it.
    RoundsPerEvent,
    RefusedShare,
    FailedShare,
    MostHeld,
    LateShare,
    Rules,
}

impl Measure {
    /// What an axis says.
    pub fn words(self) -> &'static str {
        match self {
            Measure::ColdLoad => {
                "most load on a returning destination, against the load that tips it"
            }
            Measure::Tipped => "destinations pushed over, a day",
            Measure::CallsPerEvent => "calls for each event of a client",
            Measure::RoundsPerEvent => "rounds of decisions for each event of a client",
            Measure::RefusedShare => "share of calls refused",
            Measure::FailedShare => "share of calls failed",
            Measure::MostHeld => "most events held at once",
            Measure::LateShare => "share of the payoff lost to lateness",
            Measure::Rules => "breaches of rules, a day",
        }
    }
}

fn first_seed() -> u64 {
    1
}

impl Experiment {
    pub fn read(text: &Text) -> Result<Experiment, String> {
        let experiment: Experiment = text.holds()?;
        if experiment.seeds == 0 {
            return Err(text.wrong("seeds", "0 is not allowed, 1 or more is"));
        }
        if experiment.variants.is_empty() {
            return Err(text.wrong("variants", "one [[variants]] at least is needed"));
        }
        for (at, variant) in experiment.variants.iter().enumerate() {
            if experiment.variants[..at]
                .iter()
                .any(|other| other.name == variant.name)
            {
                let key = format!("variants[{at}].name");
                return Err(text.wrong(&key, &format!("{:?} is there twice", variant.name)));
            }
        }
        for (at, sweep) in experiment.sweep.iter().enumerate() {
            if sweep.values.is_empty() {
                return Err(text.wrong(
                    &format!("sweep[{at}].values"),
                    "one value at least is needed",
                ));
            }
        }
        Ok(experiment)
    }
}
