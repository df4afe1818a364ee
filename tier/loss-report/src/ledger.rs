//! Puts each window's loss down to the faults around it.

use std::collections::BTreeMap;

use crate::report::{DayReport, Event, Window};

/// A window's programs may meet a fault that begins this long after the window, in seconds: about as long as they take.
const PROGRAM_TAKES: f64 = 1.5;
/// A fault is felt for this long after its end, in seconds.
const AFTER_EFFECT: f64 = 2.0;
/// The length of a window where there is only one, in seconds.
const ONLY_WINDOW: f64 = 2.0;
/// Planned work that by itself costs no program anything.
const HARMLESS: [&str; 2] = ["config_change", "add_nodes"];
/// What is lost while nothing is under way.
const NOTHING: &str = "nothing under way";

/// From when to when, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The beginning.
    pub from: f64,
    /// The end.
    pub to: f64,
}

/// What was lost to one kind of fault.
#[derive(Clone, Debug, PartialEq)]
pub struct LostTo {
    /// The kind of fault.
    pub cause: String,
    /// Programs' worth, counted in programs.
    pub programs: f64,
    /// The same as a share of all programs of the day.
    pub share: f64,
}

/// The loss of a day by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// All programs.
    pub programs: u32,
    /// Programs that ended late.
    pub late: u32,
    /// Programs that were refused or failed.
    pub not_served: u32,
    /// The causes, the largest first. They add up to all that was lost.
    pub causes: Vec<LostTo>,
}

impl Ledger {
    /// Of a day.
    pub fn of(report: &DayReport) -> Self {
        let programs = report.windows.iter().map(|window| window.programs).sum();
        let lost = lost_by_cause(report);
        let share = |lost: f64| lost / f64::from(u32::max(programs, 1));
        let mut causes: Vec<LostTo> = lost
            .into_iter()
            .map(|(cause, lost)| LostTo {
                cause,
                programs: lost,
                share: share(lost),
            })
            .collect();
        causes.sort_by(|one, other| other.programs.total_cmp(&one.programs));
        Ledger {
            programs,
            late: report.windows.iter().map(|window| window.late).sum(),
            not_served: report
                .windows
                .iter()
                .map(|window| window.refused + window.failed)
                .sum(),
            causes,
        }
    }

    /// All that was lost, counted in programs.
    pub fn lost(&self) -> f64 {
        self.causes.iter().map(|cause| cause.programs).sum()
    }
}

fn lost_by_cause(report: &DayReport) -> BTreeMap<String, f64> {
    let length = match &report.windows[..] {
        [first, second, ..] => second.from - first.from,
        _ => ONLY_WINDOW,
    };
    let mut lost = BTreeMap::new();
    for window in report.windows.iter().filter(|window| window.worth < 1.0) {
        let span = Span {
            from: window.from,
            to: window.from + length,
        };
        let causes = causes(&report.events, span);
        let part = lost_in(window) / causes.len() as f64;
        for cause in causes {
            *lost.entry(cause).or_default() += part;
        }
    }
    lost
}

fn lost_in(window: &Window) -> f64 {
    f64::from(window.programs) * (1.0 - window.worth)
}

/// The kinds of faults under way around the span, each as often as it is; never empty.
fn causes(events: &[Event], span: Span) -> Vec<String> {
    let harmful = events
        .iter()
        .filter(|event| !HARMLESS.iter().any(|kind| event.kind.starts_with(kind)));
    let around = harmful.filter(|event| {
        event.at_s < span.to + PROGRAM_TAKES && event.to_s + AFTER_EFFECT > span.from
    });
    let mut causes: Vec<String> = around.map(|event| event.kind.clone()).collect();
    if causes.is_empty() {
        causes.push(NOTHING.to_owned());
    }
    causes
}
