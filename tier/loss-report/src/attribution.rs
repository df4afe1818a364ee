//! Attributes the loss of each window to the faults that were active around it.

use std::collections::BTreeMap;

use crate::report::{DayReport, Event, Window};

/// Time after the end of a window, in seconds, within which a new fault can affect programs of the
/// window: about the duration of a program.
const PROGRAM_DURATION_S: f64 = 1.5;
/// Time after the end of a fault, in seconds, during which the fault still has effects.
const AFTER_EFFECT_S: f64 = 2.0;
/// Length of the window, in seconds, if a report has only one.
const SINGLE_WINDOW_S: f64 = 2.0;
/// Prefixes of the kinds of planned work that do not cause losses by themselves.
const HARMLESS_KINDS: [&str; 2] = ["config_change", "add_nodes"];
/// The reported cause of a loss while no fault is active.
const NO_FAULT: &str = "nothing under way";

/// A span of time, in seconds from the start of traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The beginning.
    pub from: f64,
    /// The end.
    pub to: f64,
}

/// The loss that is attributed to one kind of fault.
#[derive(Clone, Debug, PartialEq)]
pub struct LossByCause {
    /// The kind of fault.
    pub cause: String,
    /// The lost value, in programs.
    pub programs: f64,
    /// The lost value as a share of all programs of the day.
    pub share: f64,
}

/// The loss of a day by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LossReport {
    /// Number of programs.
    pub programs: u32,
    /// Number of programs that ended late.
    pub late: u32,
    /// Number of programs that were rejected or failed.
    pub not_served: u32,
    /// The losses by cause, the largest first. They add up to the loss of the day.
    pub losses: Vec<LossByCause>,
}

impl LossReport {
    /// Computes the losses of a day.
    pub fn new(report: &DayReport) -> Self {
        let windows = &report.windows;
        let programs = windows.iter().map(|window| window.programs).sum();
        let mut losses = Vec::new();
        for (cause, lost) in lost_by_cause(report) {
            losses.push(LossByCause {
                cause,
                programs: lost,
                share: lost / f64::from(u32::max(programs, 1)),
            });
        }
        losses.sort_by(|one, other| other.programs.total_cmp(&one.programs));
        LossReport {
            programs,
            late: windows.iter().map(|window| window.late).sum(),
            not_served: windows
                .iter()
                .map(|window| window.refused + window.failed)
                .sum(),
            losses,
        }
    }

    /// Returns the loss of the day, in programs.
    pub fn total_loss(&self) -> f64 {
        self.losses.iter().map(|loss| loss.programs).sum()
    }
}

fn lost_by_cause(report: &DayReport) -> BTreeMap<String, f64> {
    let window_length = match &report.windows[..] {
        [first, second, ..] => second.from - first.from,
        _ => SINGLE_WINDOW_S,
    };
    let mut lost = BTreeMap::new();
    for window in report.windows.iter().filter(|window| window.value < 1.0) {
        let span = Span {
            from: window.from,
            to: window.from + window_length,
        };
        let causes = causes_around(&report.events, span);
        let share = window_loss(window) / causes.len() as f64;
        for cause in causes {
            *lost.entry(cause).or_default() += share;
        }
    }
    lost
}

fn window_loss(window: &Window) -> f64 {
    f64::from(window.programs) * (1.0 - window.value)
}

/// Returns the kinds of the faults that were active around the span, with one element for each
/// fault; never empty.
fn causes_around(events: &[Event], span: Span) -> Vec<String> {
    let mut causes = Vec::new();
    for event in events {
        let begins_before_end = event.at_s < span.to + PROGRAM_DURATION_S;
        let ends_after_start = event.to_s + AFTER_EFFECT_S > span.from;
        if !is_harmless(event) && begins_before_end && ends_after_start {
            causes.push(event.kind.clone());
        }
    }
    if causes.is_empty() {
        causes.push(NO_FAULT.to_owned());
    }
    causes
}

fn is_harmless(event: &Event) -> bool {
    HARMLESS_KINDS
        .iter()
        .any(|kind| event.kind.starts_with(kind))
}
