//! A report page that requires no knowledge of these experiments: the question, the results, and charts with a
//! sentence each on how to read them. The page is self-contained: no script, no other file.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use plankhill_emulator::outcome::LossCause;
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::tables::Text;

use crate::compare::{cells, estimate, measure, paired_differences, payoff, Cell};
use crate::days::Record;
use crate::figures::{self, Line, SweepSeries};
use crate::folder::{self, ExperimentError};

/// Writes `report.html` into the folder of an experiment, from the days recorded so far.
pub fn write(dir: &Path) -> Result<(), ExperimentError> {
    let (experiment, _) = folder::read_inputs(dir)?;
    let text = Text::parse(
        dir.join("experiment.toml").display().to_string(),
        experiment,
    )
    .map_err(ExperimentError::InvalidInput)?;
    let experiment = Experiment::read(&text).map_err(ExperimentError::InvalidInput)?;
    let mut records = folder::read(dir)?;
    if records.is_empty() {
        return Err(ExperimentError::InvalidInput(format!(
            "{}: no day has been simulated yet",
            dir.display()
        )));
    }
    records.sort_by_key(|record| record.number);
    let page = page(&experiment, &records)
        .map_err(|e| ExperimentError::Io(format!("report.html: {e}")))?;
    folder::write_atomically(dir, "report.html", page.as_bytes())
}

type Page = Result<String, Box<dyn std::error::Error>>;

fn page(experiment: &Experiment, records: &[Record]) -> Page {
    let cells = cells(records);
    let mut page = String::from(PAGE_HEAD);
    let days = records.len();
    let first = &records[0];
    write!(
        page,
        "<h1>{}</h1><p>{days} days were simulated: {} variants, {} seeds each, version {}, commit {}. Each seed gives \
         all variants the same clients and the same faults, so that they can be compared day by day. Intervals \
         contain the true mean in 95 of 100 experiments like this one (bootstrap).</p>",
        escaped(&experiment.about),
        experiment.variants.len(),
        experiment.seeds,
        first.version,
        escaped(&first.commit),
    )?;
    payoff_table(&mut page, experiment, &cells)?;
    for (at, sweep) in experiment.sweep.iter().enumerate() {
        sweep_section(
            &mut page,
            experiment,
            &cells,
            at,
            sweep.label.as_deref().unwrap_or(&sweep.key),
        )?;
    }
    day_section(&mut page, &cells)?;
    page.push_str("</body></html>\n");
    Ok(page)
}

fn figure(page: &mut String, title: &str, sentence: &str, svg: &str) {
    let _ = write!(
        page,
        "<h2>{}</h2><p>{}</p><figure>{svg}</figure>",
        escaped(title),
        escaped(sentence)
    );
}

fn payoff_table(page: &mut String, experiment: &Experiment, cells: &[Cell]) -> std::fmt::Result {
    let reference = &experiment.variants[0].name;
    write!(page, "<h2>Payoff delivered</h2><p>The delivered share of the payoff of all events, as a mean over the days with its interval, and the difference of each variant from <b>{}</b> on the same days. An interval that does not contain 0 is a significant difference. Rules broken is the sum of invariant violations over all days; it should be 0.</p><table><tr><th>variant</th>", escaped(reference))?;
    for sweep in &experiment.sweep {
        write!(
            page,
            "<th>{}</th>",
            escaped(sweep.label.as_deref().unwrap_or(&sweep.key))
        )?;
    }
    let bound = if experiment.bound {
        "<th>upper bound</th>"
    } else {
        ""
    };
    write!(
        page,
        "<th>payoff</th>{bound}<th>over {}</th><th>rules broken</th></tr>",
        escaped(reference)
    )?;
    for cell in cells {
        write!(page, "<tr><td>{}</td>", escaped(cell.variant))?;
        for (_, value) in cell.point {
            write!(page, "<td>{}</td>", escaped(value))?;
        }
        let payoffs: Vec<f64> = cell.days.iter().map(|day| payoff(day)).collect();
        let own = estimate(&payoffs).expect("a cell has days");
        write!(
            page,
            "<td>{:.4} <small>{:.4} to {:.4}</small></td>",
            own.mean, own.low, own.high
        )?;
        if experiment.bound {
            let bounds: Vec<f64> = cell.days.iter().filter_map(|day| day.bound).collect();
            write!(
                page,
                "<td>{:.4}</td>",
                estimate(&bounds).map_or(1.0, |bound| bound.mean)
            )?;
        }
        let first = cell.at_same_point(cells, reference);
        let over = first.filter(|_| cell.variant != reference);
        match over.and_then(|first| estimate(&paired_differences(cell, first, payoff))) {
            Some(over) => write!(
                page,
                "<td>{:+.4} <small>{:+.4} to {:+.4}</small></td>",
                over.mean, over.low, over.high
            )?,
            None => write!(page, "<td></td>")?,
        }
        let broken: u64 = cell.days.iter().map(|day| day.outcome.broken()).sum();
        let class = if broken > 0 { " class=\"bad\"" } else { "" };
        write!(page, "<td{class}>{broken}</td></tr>")?;
    }
    page.push_str("</table>");
    Ok(())
}

/// Whether all sweeps except the one at position `at` have their first value.
fn on_axis(cell: &Cell, cells: &[Cell], at: usize) -> bool {
    let mut point = cell.point.iter().enumerate();
    point.all(|(other, value)| other == at || value.1 == cells[0].point[other].1)
}

/// The charts over one sweep, with the others at their first value.
fn sweep_section(
    page: &mut String,
    experiment: &Experiment,
    cells: &[Cell],
    at: usize,
    label: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let sweep = &experiment.sweep[at];
    let values: Vec<String> = cells.iter().fold(Vec::new(), |mut values, cell| {
        if !values.contains(&cell.point[at].1) {
            values.push(cell.point[at].1.clone());
        }
        values
    });
    let others_first = |cell: &&Cell| on_axis(cell, cells, at);
    let numbers: Option<Vec<f64>> = values.iter().map(|value| value.parse().ok()).collect();
    let names = if numbers.is_some() {
        Vec::new()
    } else {
        values.clone()
    };
    let place = |value: &str| {
        let place = values.iter().position(|known| known == value).unwrap_or(0);
        numbers
            .as_ref()
            .map_or(place as f64, |numbers| numbers[place])
    };
    let log = numbers.as_ref().is_some_and(|numbers| {
        let (least, most) = numbers
            .iter()
            .fold((f64::MAX, 0.0f64), |(l, h), n| (l.min(*n), h.max(*n)));
        least > 0.0 && most >= 20.0 * least
    });
    let lines = |value: &dyn Fn(&Record) -> f64| -> Vec<SweepSeries> {
        let mut lines = Vec::new();
        for variant in &experiment.variants {
            let own = cells
                .iter()
                .filter(|cell| cell.variant == variant.name)
                .filter(others_first);
            let points = own.filter_map(|cell| {
                let values: Vec<f64> = cell.days.iter().map(|day| value(day)).collect();
                Some((place(&cell.point[at].1), estimate(&values)?))
            });
            lines.push(SweepSeries {
                name: variant.name.clone(),
                points: points.collect(),
            });
        }
        lines
    };
    let mut of_payoff = lines(&payoff);
    if experiment.bound {
        let first = &experiment.variants[0].name;
        let own = cells
            .iter()
            .filter(|cell| cell.variant == first)
            .filter(others_first);
        let points = own.filter_map(|cell| {
            let bounds: Vec<f64> = cell.days.iter().filter_map(|day| day.bound).collect();
            Some((place(&cell.point[at].1), estimate(&bounds)?))
        });
        of_payoff.push(SweepSeries {
            name: "upper bound".into(),
            points: points.collect(),
        });
    }
    let svg = figures::over_sweep(
        &of_payoff,
        label,
        "payoff delivered, share of the payoff of all events",
        &names,
        log,
    )?;
    let others = experiment.sweep.len() > 1;
    let rest = if others {
        " The other sweeps are at their first value."
    } else {
        ""
    };
    let sentence = format!(
        "How the payoff changes with {label}: higher is better, bars are 95% intervals.{rest}"
    );
    figure(page, &format!("Payoff against {label}"), &sentence, &svg);
    if experiment.variants.len() > 1 {
        let svg = figures::over_sweep(
            &differences(experiment, cells, at, &place),
            label,
            "payoff minus the first variant's",
            &names,
            log,
        )?;
        let first = &experiment.variants[0].name;
        let sentence = format!(
            "The payoff of each variant minus that of {first} on the same days: below 0, {first} is better. Pairing \
             removes the variation that all variants have in common on a day.{rest}"
        );
        figure(
            page,
            &format!("Against {first}, day by day"),
            &sentence,
            &svg,
        );
    }
    for &of in &experiment.measures {
        let svg = figures::over_sweep(
            &lines(&|day| measure(of, day)),
            label,
            of.description(),
            &names,
            log,
        )?;
        let sentence = format!(
            "The {}, against {label}; bars are 95% intervals.{rest}",
            of.description()
        );
        figure(
            page,
            &format!("{} ({})", capitalize(of.description()), sweep.key),
            &sentence,
            &svg,
        );
    }
    Ok(())
}

fn differences(
    experiment: &Experiment,
    cells: &[Cell],
    at: usize,
    place: &dyn Fn(&str) -> f64,
) -> Vec<SweepSeries> {
    let first = &experiment.variants[0].name;
    let mut lines = Vec::new();
    for variant in &experiment.variants {
        let mut points = Vec::new();
        for cell in cells.iter().filter(|cell| cell.variant == variant.name) {
            let reference = cell.at_same_point(cells, first);
            if let Some(reference) = reference.filter(|_| on_axis(cell, cells, at)) {
                let over = estimate(&paired_differences(cell, reference, payoff));
                points.extend(over.map(|over| (place(&cell.point[at].1), over)));
            }
        }
        lines.push(SweepSeries {
            name: variant.name.clone(),
            points,
        });
    }
    lines
}

/// The charts of one day, for each variant, at the last point of the sweeps.
fn day_section(page: &mut String, cells: &[Cell]) -> Result<(), Box<dyn std::error::Error>> {
    let Some(last) = cells.last() else {
        return Ok(());
    };
    let chosen: Vec<&Cell> = cells
        .iter()
        .filter(|cell| cell.point == last.point)
        .collect();
    let days: Vec<&Record> = chosen
        .iter()
        .filter_map(|cell| cell.days.first().copied())
        .collect();
    let point: Vec<String> = last
        .point
        .iter()
        .map(|(key, value)| format!("{key} = {value}"))
        .collect();
    let point = if point.is_empty() {
        String::new()
    } else {
        format!(" at {}", point.join(", "))
    };
    write!(
        page,
        "<h1>One day{}, seed {}</h1>",
        escaped(&point),
        days[0].seed
    )?;
    let shades = &days[0].outcome.fault_intervals;
    let faults: Vec<String> = shades
        .iter()
        .map(|shade| {
            format!(
                "{} from {:.0} to {:.0} s",
                shade.fault,
                shade.start / 1000.0,
                shade.end / 1000.0
            )
        })
        .collect();
    if !faults.is_empty() {
        write!(
            page,
            "<p>Shaded in the figures: {}.</p>",
            escaped(&faults.join(", "))
        )?;
    }
    let lines = days.iter().map(|day| {
        let series = &day.outcome.series;
        // Five steps are combined, because single steps are too noisy.
        let steps: Vec<(f64, f64)> = series
            .asked
            .chunks(5)
            .zip(series.paid.chunks(5))
            .enumerate()
            .filter_map(|(at, (asked, paid))| {
                let asked: f64 = asked.iter().sum();
                let middle = (at as f64 + 0.5) * 5.0 * series.width / 1000.0;
                (asked > 0.0).then(|| (middle, paid.iter().sum::<f64>() / asked))
            })
            .collect();
        Line {
            name: day.variant.clone(),
            points: steps,
            dashed: false,
        }
    });
    let svg = figures::over_time(
        &lines.collect::<Vec<_>>(),
        shades,
        "payoff delivered, share",
        false,
    )?;
    figure(page, "Payoff over the day", "The share of the payoff of the events first submitted at that time that was delivered in the end.", &svg);
    let pending = days
        .iter()
        .map(|day| over_steps(day, &day.variant, &day.outcome.series.held));
    let svg = figures::over_time(&pending.collect::<Vec<_>>(), shades, "pending events", true)?;
    figure(
        page,
        "Backlog",
        "Events pending at the forwarders at that time, in flight or queued.",
        &svg,
    );
    let lines = days.iter().map(|day| Line {
        name: day.variant.clone(),
        points: cumulative(day),
        dashed: false,
    });
    let svg = figures::by_time(&lines.collect::<Vec<_>>())?;
    figure(page, "Time to delivery", "The share of all events that were delivered within each time. If a line ends below 1, the remaining events were never delivered.", &svg);
    causes_section(page, &chosen)?;
    let first = days[0];
    if first.outcome.series.load.iter().any(|load| *load > 0.0) {
        let series = &first.outcome.series;
        let per_second = |values: &[f64]| -> Vec<(f64, f64)> {
            let step = series.width / 1000.0;
            values
                .iter()
                .enumerate()
                .map(|(at, value)| ((at as f64 + 0.5) * step, value / step))
                .collect()
        };
        let lines = [
            Line {
                name: format!("calls received ({})", first.variant),
                points: per_second(&series.load),
                dashed: false,
            },
            Line {
                name: "calls that could be served".into(),
                points: per_second(&series.capacity),
                dashed: true,
            },
        ];
        let svg = figures::over_time(&lines, shades, "calls per second", true)?;
        figure(page, "Load at the affected destinations", "Calls and health checks that reached the destinations affected by a fault, against the calls that these could serve at that time, including warm-up and limits. Load above capacity is queued there, is rejected, or overloads a destination that is warming up.", &svg);
    }
    if !first.outcome.heat.is_empty() {
        let svg = figures::heat(&first.outcome.heat, first.outcome.series.width)?;
        figure(page, &format!("Destinations over the day ({})", first.variant), "A row for each destination, the most used and the affected ones (*): pale where calls succeeded, dark red where they failed or were rejected, white where nothing was sent.", &svg);
    }
    Ok(())
}

fn over_steps(day: &Record, name: &str, values: &[u64]) -> Line {
    let step = day.outcome.series.width / 1000.0;
    let points = values
        .iter()
        .enumerate()
        .map(|(at, value)| ((at as f64 + 1.0) * step, *value as f64));
    Line {
        name: name.to_owned(),
        points: points.collect(),
        dashed: false,
    }
}

fn cumulative(day: &Record) -> Vec<(f64, f64)> {
    let mut counts: Vec<(f64, u64)> = day
        .outcome
        .traffic
        .iter()
        .flat_map(|of| of.spread.iter().copied())
        .collect();
    counts.sort_by(|a, b| a.0.total_cmp(&b.0));
    let all = day.outcome.totals.events.max(1) as f64;
    let mut sum = 0;
    let steps = counts.into_iter().map(|(time, count)| {
        sum += count;
        (time.max(0.1), sum as f64 / all)
    });
    steps.collect()
}

fn causes_section(page: &mut String, cells: &[&Cell]) -> Result<(), Box<dyn std::error::Error>> {
    let mut bars = Vec::new();
    let mut weight: BTreeMap<LossCause, f64> = BTreeMap::new();
    for cell in cells {
        let mut parts: BTreeMap<LossCause, f64> = BTreeMap::new();
        for day in &cell.days {
            for (cause, lost) in &day.outcome.causes {
                *parts.entry(*cause).or_default() +=
                    lost / day.outcome.totals.asked.max(1e-9) / cell.days.len() as f64;
            }
        }
        parts
            .iter()
            .for_each(|(cause, part)| *weight.entry(*cause).or_default() += part);
        bars.push((cell.variant.to_owned(), parts));
    }
    let mut order: Vec<LossCause> = weight.keys().copied().collect();
    order.sort_by(|a, b| weight[b].total_cmp(&weight[a]));
    order.truncate(7);
    let words: Vec<String> = order
        .iter()
        .map(|cause| cause.description().to_owned())
        .collect();
    let bars: Vec<(String, Vec<(String, f64)>)> = bars
        .into_iter()
        .map(|(name, parts)| {
            let kept = order
                .iter()
                .filter_map(|cause| Some((cause.description().to_owned(), *parts.get(cause)?)));
            (name, kept.collect())
        })
        .collect();
    let svg = figures::by_cause(&bars, &words)?;
    figure(page, "Where the payoff went", "The payoff that was not delivered, by cause, as a mean over all seeds at this point. Shorter is better.", &svg);
    Ok(())
}

fn capitalize(words: &str) -> String {
    let mut letters = words.chars();
    letters.next().map_or(String::new(), |first| {
        first.to_uppercase().chain(letters).collect()
    })
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>plankhill experiment</title><style>
body{font:15px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-top:1.6em}h2{font-size:1.15em;margin-top:1.8em}
table{border-collapse:collapse}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:left}
small{color:#666}.bad{color:#a50f15;font-weight:bold}figure{margin:0}svg{max-width:100%;height:auto}
</style></head><body>";
