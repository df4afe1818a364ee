//! Statistics over days: means with bootstrap intervals, and differences between variants, paired by seed.

use plankhill_emulator::random::{stream, uniform, RandomStream};
use plankhill_forwarder_config::experiment::Measure;

use crate::days::{Plan, Record};
use crate::folder::ExperimentError;

/// A mean with its 95% interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub days: usize,
}

/// Bootstrap samples per interval. With this many, another set of samples moves the interval's edges by less than
/// the width of a plotted line.
const RESAMPLES: usize = 2000;

/// The mean and its bootstrap interval: days are drawn with replacement, from a fixed seed.
pub fn estimate(values: &[f64]) -> Option<Estimate> {
    if values.is_empty() {
        return None;
    }
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let mut rng = stream(values.len() as u64, RandomStream::Baselines);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let drawn = (0..values.len())
                .map(|_| values[(uniform(&mut rng) * values.len() as f64) as usize]);
            drawn.sum::<f64>() / values.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[((means.len() - 1) as f64 * share).round() as usize];
    Some(Estimate {
        mean,
        low: at(0.025),
        high: at(0.975),
        days: values.len(),
    })
}

/// The days of one variant at one point of the sweeps.
pub struct Cell<'a> {
    pub variant: &'a str,
    pub point: &'a [(String, String)],
    /// The days, in the order of their seeds.
    pub days: Vec<&'a Record>,
}

impl<'a> Cell<'a> {
    /// The cell of another variant at the same point.
    pub fn at_same_point<'c>(&self, cells: &'c [Cell<'a>], variant: &str) -> Option<&'c Cell<'a>> {
        cells
            .iter()
            .find(|other| other.variant == variant && other.point == self.point)
    }
}

/// All cells in the order of the days.
pub fn cells(records: &[Record]) -> Vec<Cell<'_>> {
    let mut cells: Vec<Cell> = Vec::new();
    for record in records {
        match cells
            .last_mut()
            .filter(|cell| cell.variant == record.variant && cell.point == record.point)
        {
            Some(cell) => cell.days.push(record),
            None => cells.push(Cell {
                variant: &record.variant,
                point: &record.point,
                days: vec![record],
            }),
        }
    }
    cells
}

pub fn payoff(record: &Record) -> f64 {
    record.outcome.payoff
}

pub fn measure(measure: Measure, record: &Record) -> f64 {
    let (totals, outcome) = (&record.outcome.totals, &record.outcome);
    let calls = totals.calls.max(1) as f64;
    match measure {
        Measure::WarmUpLoad => totals.cold_load,
        Measure::Overloads => totals.tipped as f64,
        Measure::CallsPerEvent => totals.calls as f64 / totals.events.max(1) as f64,
        Measure::IterationsPerEvent => totals.rounds as f64 / totals.events.max(1) as f64,
        Measure::RejectedShare => totals.refused_calls as f64 / calls,
        Measure::FailedShare => totals.failed_calls as f64 / calls,
        Measure::PeakPendingEvents => totals.most_held as f64,
        Measure::LateShare => {
            let late = outcome
                .causes
                .get(&plankhill_emulator::outcome::LossCause::Late);
            late.copied().unwrap_or(0.0) / totals.asked.max(1e-9)
        }
        Measure::InvariantViolations => outcome.broken() as f64,
    }
}

/// The differences between a variant and the reference, seed by seed. Days whose seed the reference lacks are left
/// out.
pub fn paired_differences(
    cell: &Cell,
    reference: &Cell,
    value: impl Fn(&Record) -> f64,
) -> Vec<f64> {
    let counterpart = |day: &&Record| {
        reference
            .days
            .iter()
            .find(|other| other.seed == day.seed)
            .copied()
    };
    cell.days
        .iter()
        .filter_map(|day| Some(value(day) - value(counterpart(day)?)))
        .collect()
}

fn csv(rows: Vec<Vec<String>>) -> Result<Vec<u8>, ExperimentError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer
            .write_record(&row)
            .map_err(|e| ExperimentError::Io(e.to_string()))?;
    }
    writer
        .into_inner()
        .map_err(|e| ExperimentError::Io(e.to_string()))
}

/// A row for each day.
pub fn days_csv(plan: &Plan, records: &[Record]) -> Result<Vec<u8>, ExperimentError> {
    let keys = plan.experiment.sweep.iter().map(|sweep| sweep.key.clone());
    let mut head: Vec<String> = vec!["variant".into()];
    head.extend(keys);
    let names = [
        "seed",
        "payoff",
        "bound",
        "events",
        "taken",
        "delivered",
        "dismissed",
        "written_off",
        "lost",
        "calls",
        "sends",
        "pings",
        "refused_calls",
        "failed_calls",
        "tipped",
        "cold_load",
        "most_held",
        "broken_rules",
        "version",
        "commit",
    ];
    head.extend(names.map(String::from));
    let traffic = records
        .first()
        .map(|record| &record.outcome.traffic[..])
        .unwrap_or_default();
    for of in traffic {
        head.extend([format!("{}_half_ms", of.name), format!("{}_99_ms", of.name)]);
    }
    let mut rows = vec![head];
    for record in records {
        let (totals, outcome) = (&record.outcome.totals, &record.outcome);
        let mut row = vec![record.variant.clone()];
        row.extend(record.point.iter().map(|(_, value)| value.clone()));
        row.extend([record.seed.to_string(), outcome.payoff.to_string()]);
        row.push(
            record
                .bound
                .map_or(String::new(), |bound| bound.to_string()),
        );
        let counts = [
            totals.events,
            totals.taken,
            totals.delivered,
            totals.dismissed,
            totals.written_off,
            totals.lost,
            totals.calls,
            totals.sends,
            totals.pings,
            totals.refused_calls,
            totals.failed_calls,
            totals.tipped,
        ];
        row.extend(counts.map(|count| count.to_string()));
        row.extend([
            totals.cold_load.to_string(),
            totals.most_held.to_string(),
            outcome.broken().to_string(),
        ]);
        row.extend([record.version.clone(), record.commit.clone()]);
        for of in &outcome.traffic {
            let time = |share: f64| {
                of.times
                    .iter()
                    .find(|(q, _)| *q == share)
                    .map_or(0.0, |(_, time)| *time)
            };
            row.extend([time(0.5).to_string(), time(0.99).to_string()]);
        }
        rows.push(row);
    }
    csv(rows)
}

/// A row for each variant at each point: its payoff, and its difference from the first variant.
pub fn compare_csv(plan: &Plan, records: &[Record]) -> Result<Vec<u8>, ExperimentError> {
    let mut head: Vec<String> = vec!["variant".into()];
    head.extend(plan.experiment.sweep.iter().map(|sweep| sweep.key.clone()));
    let names = [
        "days",
        "payoff",
        "low",
        "high",
        "over_first",
        "over_low",
        "over_high",
    ];
    head.extend(names.map(String::from));
    let cells = cells(records);
    let mut rows = vec![head];
    for cell in &cells {
        let mut row = vec![cell.variant.to_owned()];
        row.extend(cell.point.iter().map(|(_, value)| value.clone()));
        let payoffs: Vec<f64> = cell.days.iter().map(|day| payoff(day)).collect();
        let own = estimate(&payoffs).expect("a cell has days");
        row.push(own.days.to_string());
        row.extend([own.mean, own.low, own.high].map(|value| format!("{value:.6}")));
        let first = &plan.experiment.variants[0].name;
        let reference = cell.at_same_point(&cells, first);
        let over =
            reference.and_then(|reference| estimate(&paired_differences(cell, reference, payoff)));
        let over = over.map_or([String::new(), String::new(), String::new()], |over| {
            [over.mean, over.low, over.high].map(|value| format!("{value:.6}"))
        });
        row.extend(over);
        rows.push(row);
    }
    csv(rows)
}
