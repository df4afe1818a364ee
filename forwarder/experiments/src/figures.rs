//! Charts as SVG, each with axes, units and a legend.

use std::error::Error;

use plankhill_emulator::outcome::{FaultInterval, HeatRow};
use plotters::prelude::*;

use crate::compare::Estimate;

type SvgResult = Result<String, Box<dyn Error>>;

/// A line of a chart.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
    pub dashed: bool,
}

/// Colours that are distinguishable with red-green colour blindness too.
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(230, 159, 0),
    RGBColor(90, 90, 90),
];

pub fn colour(at: usize) -> RGBColor {
    COLOURS[at % COLOURS.len()]
}

const SIZE: (u32, u32) = (860, 360);
const FONT: &str = "sans-serif";

/// The range of some values with padding.
fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let (low, high) = values
        .filter(|v| v.is_finite())
        .fold((f64::MAX, f64::MIN), |(l, h), v| (l.min(v), h.max(v)));
    if low > high {
        return (0.0, 1.0);
    }
    let padding = if high > low {
        0.05 * (high - low)
    } else {
        0.05 * high.abs().max(0.1)
    };
    (low - padding, high + padding)
}

/// Draws the legend.
fn draw_legend<'a, DB, CT>(
    chart: &mut ChartContext<'a, DB, CT>,
    at: SeriesLabelPosition,
) -> Result<(), Box<dyn Error>>
where
    DB: DrawingBackend + 'a,
    DB::ErrorType: 'static,
    CT: plotters::coord::CoordTranslate,
{
    chart
        .configure_series_labels()
        .label_font((FONT, 13))
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .position(at)
        .draw()?;
    Ok(())
}

/// Lines over time in seconds, with the faults shaded.
pub fn over_time(
    lines: &[Line],
    shades: &[FaultInterval],
    y_label: &str,
    from_zero: bool,
) -> SvgResult {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let end = lines
            .iter()
            .flat_map(|line| &line.points)
            .map(|point| point.0)
            .fold(1.0, f64::max);
        let (low, high) = range(
            lines
                .iter()
                .flat_map(|line| &line.points)
                .map(|point| point.1),
        );
        let low = if from_zero { 0.0 } else { low };
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(38)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end, low..high)?;
        chart
            .configure_mesh()
            .x_desc("time of the day (s)")
            .y_desc(y_label)
            .label_style((FONT, 13))
            .light_line_style(WHITE)
            .draw()?;
        for shade in shades {
            let (from, to) = (shade.start / 1000.0, (shade.end / 1000.0).min(end));
            let area = Rectangle::new(
                [(from, low), (to, high)],
                RGBColor(120, 120, 120).mix(0.10).filled(),
            );
            chart.draw_series(std::iter::once(area))?;
        }
        for (at, line) in lines.iter().enumerate() {
            let style = colour(at).stroke_width(2);
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], style);
            if line.dashed {
                let series = DashedLineSeries::new(line.points.iter().copied(), 6, 4, style);
                chart.draw_series(series)?.label(&line.name).legend(legend);
            } else {
                let series = LineSeries::new(line.points.iter().copied(), style);
                chart.draw_series(series)?.label(&line.name).legend(legend);
            }
        }
        draw_legend(&mut chart, SeriesLabelPosition::LowerLeft)?;
        root.present()?;
    }
    Ok(svg)
}

/// A line of a sweep: the position of each point on the axis, and its estimate.
pub struct SweepSeries {
    pub name: String,
    pub points: Vec<(f64, Estimate)>,
}

/// Estimates with their intervals over a sweep. `names` are the labels of the axis if the values are not numbers.
pub fn over_sweep(
    lines: &[SweepSeries],
    x_label: &str,
    y_label: &str,
    names: &[String],
    log: bool,
) -> SvgResult {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let xs = lines
            .iter()
            .flat_map(|line| &line.points)
            .map(|point| point.0);
        let (least, most) = xs.fold((f64::MAX, f64::MIN), |(l, h), x| (l.min(x), h.max(x)));
        let all = lines.iter().flat_map(|line| &line.points);
        let (low, high) = range(all.flat_map(|(_, e)| [e.low, e.high]));
        let padding = if most > least {
            0.04 * (most - least)
        } else {
            0.5
        };
        // A logarithmic axis is emulated: positions are logarithms, labels are values.
        let place = |x: f64| if log { x.log10() } else { x };
        let (from, to) = if log {
            (place(least) - 0.05, place(most) + 0.05)
        } else {
            (least - padding, most + padding)
        };
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(38)
            .y_label_area_size(64)
            .build_cartesian_2d(from..to, low..high)?;
        let label = |x: &f64| {
            if !names.is_empty() {
                let at = x.round();
                let near = (x - at).abs() < 0.01 && at >= 0.0;
                return if near {
                    names.get(at as usize).cloned().unwrap_or_default()
                } else {
                    String::new()
                };
            }
            if log {
                format_short(10f64.powf(*x))
            } else {
                format_short(*x)
            }
        };
        chart
            .configure_mesh()
            .x_desc(x_label)
            .y_desc(y_label)
            .x_labels(if names.is_empty() {
                10
            } else {
                names.len() * 2
            })
            .x_label_formatter(&label)
            .label_style((FONT, 13))
            .light_line_style(WHITE)
            .draw()?;
        for (at, line) in lines.iter().enumerate() {
            let colour = colour(at);
            // Shifted sideways so that overlapping lines stay visible.
            let shift = (at as f64 - 0.5 * (lines.len() - 1) as f64) * 0.004 * (to - from);
            let spot = |x: f64| place(x) + shift;
            let means = line.points.iter().map(|(x, e)| (spot(*x), e.mean));
            chart
                .draw_series(LineSeries::new(means, colour.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
                });
            let bars = line.points.iter().map(|(x, e)| {
                ErrorBar::new_vertical(spot(*x), e.low, e.mean, e.high, colour.filled(), 6)
            });
            chart.draw_series(bars)?;
        }
        draw_legend(&mut chart, SeriesLabelPosition::LowerLeft)?;
        root.present()?;
    }
    Ok(svg)
}

/// The share of events delivered within a time, over the logarithm of that time.
pub fn by_time(lines: &[Line]) -> SvgResult {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let xs = lines
            .iter()
            .flat_map(|line| &line.points)
            .map(|point| point.0);
        let (least, most) = xs.fold((f64::MAX, f64::MIN), |(l, h), x| (l.min(x), h.max(x)));
        let (from, to) = if least < most {
            (least.log10(), most.log10())
        } else {
            (0.0, 1.0)
        };
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(38)
            .y_label_area_size(64)
            .build_cartesian_2d(from..to, 0.0..1.02)?;
        chart
            .configure_mesh()
            .x_desc("time from the first submission to delivery (ms, logarithmic)")
            .y_desc("share of all client events")
            .x_label_formatter(&|x| format_short(10f64.powf(*x)))
            .label_style((FONT, 13))
            .light_line_style(WHITE)
            .draw()?;
        for (at, line) in lines.iter().enumerate() {
            let colour = colour(at);
            let points = line.points.iter().map(|(x, y)| (x.log10(), *y));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
                });
        }
        draw_legend(&mut chart, SeriesLabelPosition::LowerRight)?;
        root.present()?;
    }
    Ok(svg)
}

/// A bar for each variant, stacked from the losses by cause.
pub fn by_cause(bars: &[(String, Vec<(String, f64)>)], causes: &[String]) -> SvgResult {
    let mut svg = String::new();
    {
        let height = 90 + 34 * bars.len() as u32 + 18 * causes.len().div_ceil(2) as u32;
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let (above, below) =
            root.split_vertically(height - 20 * causes.len().div_ceil(2) as u32 - 10);
        let sum = |parts: &[(String, f64)]| parts.iter().map(|part| part.1).sum::<f64>();
        let most = bars
            .iter()
            .map(|(_, parts)| sum(parts))
            .fold(1e-6, f64::max)
            * 1.05;
        let count = bars.len() as f64;
        let mut chart = ChartBuilder::on(&above)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..100.0 * most, 0.0..count)?;
        let names = |y: &f64| {
            let at = y.floor();
            let middle = (y - at - 0.5).abs() < 0.01;
            let bar = bars.len().checked_sub(1 + at.max(0.0) as usize);
            bar.filter(|_| middle)
                .map_or(String::new(), |bar| bars[bar].0.clone())
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .x_desc("payoff not delivered (% of the payoff of all events)")
            .y_labels(2 * bars.len() + 1)
            .y_label_formatter(&names)
            .label_style((FONT, 13))
            .light_line_style(WHITE)
            .draw()?;
        for (at, (_, parts)) in bars.iter().enumerate() {
            let bottom = (bars.len() - 1 - at) as f64;
            let mut from = 0.0;
            for (cause, part) in parts {
                let fill = colour(causes.iter().position(|known| known == cause).unwrap_or(0));
                let corner = [
                    (100.0 * from, bottom + 0.15),
                    (100.0 * (from + part), bottom + 0.85),
                ];
                chart.draw_series(std::iter::once(Rectangle::new(corner, fill.filled())))?;
                from += part;
            }
        }
        for (at, cause) in causes.iter().enumerate() {
            let (x, y) = (115 + 370 * (at % 2) as i32, 4 + 20 * (at / 2) as i32);
            below.draw(&Rectangle::new(
                [(x, y), (x + 12, y + 12)],
                colour(at).filled(),
            ))?;
            below.draw(&Text::new(
                cause.clone(),
                (x + 18, y),
                (FONT, 13).into_font(),
            ))?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// A row for each destination and a column for each time step; the colour shows the share of calls that failed.
pub fn heat(rows: &[HeatRow], width: f64) -> SvgResult {
    let mut svg = String::new();
    {
        let height = 70 + 11 * rows.len() as u32;
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let steps = rows.first().map_or(1, |row| row.calls.len());
        let count = rows.len() as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(140)
            .build_cartesian_2d(0.0..steps as f64 * width / 1000.0, 0.0..count)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("time of the day (s)")
            .y_labels(0)
            .label_style((FONT, 13))
            .draw()?;
        for (at, row) in rows.iter().enumerate() {
            let bottom = count - 1.0 - at as f64;
            for (step, (&calls, &failed)) in row.calls.iter().zip(&row.failed).enumerate() {
                if calls == 0 && failed == 0 {
                    continue;
                }
                let share = (failed as f64 / calls.max(failed).max(1) as f64).min(1.0);
                // From pale blue, no call failed, to dark red, all calls failed.
                let fade = |none: f64, all: f64| (none + (all - none) * share) as u8;
                let fill = RGBColor(fade(222.0, 165.0), fade(235.0, 15.0), fade(247.0, 21.0));
                let left = step as f64 * width / 1000.0;
                let corner = [
                    (left, bottom + 0.08),
                    (left + width / 1000.0, bottom + 0.92),
                ];
                chart.draw_series(std::iter::once(Rectangle::new(corner, fill.filled())))?;
            }
        }
        let plot = chart.plotting_area().get_pixel_range();
        for (at, row) in rows.iter().enumerate() {
            let y = plot.1.start
                + ((at as f64 + 0.1) * (plot.1.end - plot.1.start) as f64 / count) as i32;
            let mark = if row.struck { " *" } else { "" };
            let name = format!("{} {}{mark}", row.group, row.destination);
            root.draw(&Text::new(name, (8, y), (FONT, 10).into_font()))?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn format_short(value: f64) -> String {
    match value.abs() {
        v if v >= 10_000.0 => format!("{:.0}k", value / 1000.0),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        0.0 => "0".to_owned(),
        _ => format!("{value:.2}"),
    }
}
