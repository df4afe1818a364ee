//! Attributes the loss of each window to the faults around it.

use std::collections::BTreeMap;

use crate::report::{DayReport, Event, Window};

/// A window's programs may meet a fault that begins this long after the window, in seconds: about
/// as long as a program runs.
const PROGRAM_DURATION_S: f64 = 1.5;
/// A fault has effects for this long after its end, in seconds.
const AFTER_EFFECT_S: f64 = 2.0;
/// The length of a window where there is only one, in seconds.
const ONLY_WINDOW_S: f64 = 2.0;
/// Prefixes of the kinds of planned work that by themselves cost no program anything.
const HARMLESS_KINDS: [&str; 2] = ["config_change", "add_nodes"];
/// The cause of a loss while no fault is under way.
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
    /// The same as a share of all programs of the day.
    pub share: f64,
}

/// The loss of a day by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LossReport {
    /// All programs.
    pub programs: u32,
    /// Programs that ended late.
    pub late: u32,
    /// Programs that were rejected or failed.
    pub not_served: u32,
    /// The losses by cause, the largest first. They add up to the loss of the day.
    pub losses: Vec<LossByCause>,
}

impl LossReport {
    /// The losses of a day.
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

    /// The loss of the day, in programs.
    pub fn total_loss(&self) -> f64 {
        self.losses.iter().map(|loss| loss.programs).sum()
    }
}

fn lost_by_cause(report: &DayReport) -> BTreeMap<String, f64> {
    let window_length = match &report.windows[..] {
        [first, second, ..] => second.from - first.from,
        _ => ONLY_WINDOW_S,
    };
    let mut lost = BTreeMap::new();
    for window in report.windows.iter().filter(|window| window.value < 1.0) {
        let span = Span {
            from: window.from,
            to: window.from + window_length,
        };
        let causes = causes_around(&report.events, span);
        let share = lost_in(window) / causes.len() as f64;
        for cause in causes {
            *lost.entry(cause).or_default() += share;
        }
    }
    lost
}

fn lost_in(window: &Window) -> f64 {
    f64::from(window.programs) * (1.0 - window.value)
}

/// The kinds of the faults under way around the span, each as often as it is; never empty.
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
