//! The days of an experiment: their order, and the record of each day.

use plankhill_emulator::outcome::Outcome;
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;
use serde::{Deserialize, Serialize};
use toml::Value;

/// One day to simulate.
#[derive(Clone, Debug)]
pub struct Day {
    pub number: usize,
    pub variant: usize,
    /// The position in each sweep's list of values.
    pub point: Vec<usize>,
    pub seed: u64,
    scenario: Scenario,
}

/// The outcome of a simulated day, with everything needed to simulate it again in addition to the folder's
/// `scenario.toml`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    pub number: usize,
    pub variant: String,
    /// The sweeps' keys and values.
    pub point: Vec<(String, String)>,
    /// All keys of the scenario that were overridden, in the order in which they were set.
    pub set: Vec<(String, String)>,
    pub seed: u64,
    pub version: String,
    pub commit: String,
    /// The upper bound of the payoff, if the experiment requests it.
    pub bound: Option<f64>,
    pub outcome: Outcome,
}

/// An experiment with its scenario and the days to simulate.
pub struct Plan {
    pub experiment: Experiment,
    pub experiment_text: String,
    pub scenario_text: String,
    pub days: Vec<Day>,
    /// The overridden keys of each day, by the day's number.
    overrides: Vec<Vec<(String, String)>>,
    pub commit: String,
}

impl Plan {
    /// `scenario` is the scenario that the experiment names. The scenarios of all days are checked here, before the
    /// first day is simulated.
    pub fn new(
        experiment: Experiment,
        experiment_text: String,
        scenario: &Text,
        scenario_text: String,
        commit: String,
    ) -> Result<Plan, String> {
        let (mut days, mut overrides) = (Vec::new(), Vec::new());
        let points = points(&experiment);
        for point in &points {
            for (at, variant) in experiment.variants.iter().enumerate() {
                let mut text = scenario.clone();
                let mut set = Vec::new();
                let mut put = |key: &str, value: &Value| {
                    set.push((key.to_owned(), to_text(value)));
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
                    overrides.push(set.clone());
                }
            }
        }
        Ok(Plan {
            experiment,
            experiment_text,
            scenario_text,
            days,
            overrides,
            commit,
        })
    }

    /// The key and value of each sweep for a day.
    pub fn point_of(&self, day: &Day) -> Vec<(String, String)> {
        let sweeps = self.experiment.sweep.iter().zip(&day.point);
        sweeps
            .map(|(sweep, place)| (sweep.key.clone(), to_text(&sweep.values[*place])))
            .collect()
    }

    pub fn play(&self, day: &Day) -> Record {
        let mut outcome = plankhill_emulator::play(&day.scenario);
        // Series and heat map are kept for one seed of each variant and point only; the totals suffice for the others.
        if day.seed != self.experiment.first_seed {
            outcome.heat.clear();
            outcome.series = Default::default();
        }
        Record {
            number: day.number,
            variant: self.experiment.variants[day.variant].name.clone(),
            point: self.point_of(day),
            set: self.overrides[day.number].clone(),
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

/// All combinations of positions in the sweeps; the last sweep varies fastest.
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

fn to_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
