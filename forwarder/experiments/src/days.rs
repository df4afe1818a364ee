//! The days of an experiment: which there are, in which order, and what is kept of each.

use plankhill_emulator::outcome::Outcome;
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;
use serde::{Deserialize, Serialize};
use toml::Value;

/// One day to be played.
#[derive(Clone, Debug)]
pub struct Day {
    pub number: usize,
    pub variant: usize,
    /// The place in each sweep.
    pub point: Vec<usize>,
    pub seed: u64,
    scenario: Scenario,
}

/// A day that was played, with all that is needed to play it again beside the folder's `scenario.toml`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub number: usize,
    pub variant: String,
    /// The sweeps' keys and values.
    pub point: Vec<(String, String)>,
    /// All keys that were set over the scenario, in their order.
    pub set: Vec<(String, String)>,
    pub seed: u64,
    pub version: String,
    pub commit: String,
    /// The upper bound of the payoff, where it was asked for.
    pub bound: Option<f64>,
    pub outcome: Outcome,
}

/// An experiment with its scenario, laid out in days.
pub struct Plan {
    pub experiment: Experiment,
    pub experiment_text: String,
    pub scenario_text: String,
    pub days: Vec<Day>,
    /// By day: what was set over the scenario.
    sets: Vec<Vec<(String, String)>>,
    pub commit: String,
}

impl Plan {
    /// `scenario` is the text that the experiment names. Every day's scenario is checked here, before the
    /// first is played.
    pub fn new(
        experiment: Experiment,
        experiment_text: String,
        scenario: &Text,
        scenario_text: String,
        commit: String,
    ) -> Result<Plan, String> {
        let (mut days, mut sets) = (Vec::new(), Vec::new());
        let points = points(&experiment);
        for point in &points {
            for (at, variant) in experiment.variants.iter().enumerate() {
                let mut text = scenario.clone();
                let mut set = Vec::new();
                let mut put = |key: &str, value: &Value| {
                    set.push((key.to_owned(), plain(value)));
                    text.set_value(key, value.clone())
                };
                for (key, value) in experiment.set.iter().chain(&variant.set) {
                    put(key, value)?;
                }
                for (sweep, place) in experiment.sweep.iter().zip(point) {
                    for key in sweep.key.split(',') {
                        put(key.trim(), &sweep.values[*place])?;
                    }
                }
                for seed in experiment.first_seed..experiment.first_seed + experiment.seeds {
                    text.set_value("seed", Value::Integer(seed as i64))?;
                    let scenario = Scenario::read(&text)?;
                    let number = days.len();
                    days.push(Day {
                        number,
                        variant: at,
                        point: point.clone(),
                        seed,
                        scenario,
                    });
                    sets.push(set.clone());
                }
            }
        }
        Ok(Plan {
            experiment,
            experiment_text,
            scenario_text,
            days,
            sets,
            commit,
        })
    }

    /// What each sweep is at for a day.
    pub fn point_of(&self, day: &Day) -> Vec<(String, String)> {
        let sweeps = self.experiment.sweep.iter().zip(&day.point);
        sweeps
            .map(|(sweep, place)| (sweep.key.clone(), plain(&sweep.values[*place])))
            .collect()
    }

    pub fn play(&self, day: &Day) -> Record {
        let mut outcome = plankhill_emulator::play(&day.scenario);
        // Series and heat are kept of one seed for each variant and point: figures of the rest are enough.
        if day.seed != self.experiment.first_seed {
            outcome.heat.clear();
            outcome.series = Default::default();
        }
        Record {
            number: day.number,
            variant: self.experiment.variants[day.variant].name.clone(),
            point: self.point_of(day),
            set: self.sets[day.number].clone(),
            seed: day.seed,
            version: env!("CARGO_PKG_VERSION").to_owned(),
            commit: self.commit.clone(),
            bound: self
                .experiment
                .bound
                .then(|| plankhill_emulator::bound::max_value_share(&day.scenario)),
            outcome,
        }
    }
}

/// All combinations of the sweeps' places, the last sweep turning fastest.
fn points(experiment: &Experiment) -> Vec<Vec<usize>> {
    let mut points = vec![Vec::new()];
    for sweep in &experiment.sweep {
        let mut longer = Vec::new();
        for point in &points {
            for place in 0..sweep.values.len() {
                let mut next: Vec<usize> = point.clone();
                next.push(place);
                longer.push(next);
            }
        }
        points = longer;
    }
    points
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
