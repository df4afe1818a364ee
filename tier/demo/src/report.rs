//! What clients saw, in figures.

use std::fmt;
use std::time::Duration;

use crate::tally::Counts;

/// What clients saw.
#[derive(Debug, Clone)]
pub struct Report {
    pub(crate) counts: Counts,
    /// Requests that targets ran again.
    pub(crate) run_again: usize,
    /// Time from the order that drained a proxy until it was empty.
    pub(crate) empty_after: Duration,
    /// Time from the acknowledgement of the second configuration until every ready proxy served it.
    pub(crate) spread: Option<Duration>,
    /// Whether the operator read back what was acknowledged.
    pub(crate) read_back: bool,
    /// Processes that ended by themselves.
    pub(crate) ended: Vec<String>,
    /// Processes that had to be killed at the end.
    pub(crate) killed_at_end: usize,
}

impl Report {
    /// True if every program ended whole, every prompt was right, nothing ran twice, and the
    /// configuration was in force and read back.
    pub fn is_whole(&self) -> bool {
        let counts = &self.counts;
        let programs = counts.programs_begun > 0 && counts.programs_whole == counts.programs_begun;
        let turns =
            counts.wrong_histories == 0 && counts.budget_refusals == 1 && self.run_again == 0;
        programs && turns && self.spread.is_some() && self.read_back && self.ended.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(formatter, "What clients saw")?;
        writeln!(
            formatter,
            "  programs       {} of {} whole",
            counts.programs_whole, counts.programs_begun
        )?;
        writeln!(
            formatter,
            "  turns          {}, median {}, slowest {}",
            counts.turns,
            self.time(0.5),
            self.time(1.0)
        )?;
        writeln!(formatter, "  tool calls     {}", counts.calls)?;
        writeln!(formatter, "  failed tries   {}", self.failed_tries())?;
        writeln!(formatter, "  wrong prompts  {}", counts.wrong_histories)?;
        writeln!(formatter, "  run twice      {}", self.run_again)?;
        writeln!(
            formatter,
            "  budget spent   {} (one program has a budget of two turns)",
            counts.budget_refusals
        )?;
        writeln!(
            formatter,
            "  drained        a proxy was empty after {} ms",
            self.empty_after.as_millis()
        )?;
        match self.spread {
            Some(time) => writeln!(
                formatter,
                "  configuration  on every proxy {} ms after its acknowledgement",
                time.as_millis()
            )?,
            None => writeln!(formatter, "  configuration  not on every proxy in time")?,
        }
        writeln!(
            formatter,
            "  read back      {}",
            if self.read_back {
                "as acknowledged"
            } else {
                "not as acknowledged"
            }
        )?;
        for failure in &counts.failures {
            writeln!(formatter, "  failed         {failure}")?;
        }
        for process in &self.ended {
            writeln!(formatter, "  ended          {process}")?;
        }
        write!(formatter, "  killed at end  {}", self.killed_at_end)
    }
}

impl Report {
    /// Failed tries by what they saw, for people.
    fn failed_tries(&self) -> String {
        let kinds = self
            .counts
            .failed_tries
            .iter()
            .map(|(what, count)| format!("{count} {what}"));
        let listed = kinds.collect::<Vec<_>>().join(", ");
        if listed.is_empty() {
            "none".to_owned()
        } else {
            listed
        }
    }

    /// The time below which `share` of the turns took, for people.
    fn time(&self, share: f64) -> String {
        let mut times = self.counts.turn_times.clone();
        times.sort_unstable();
        let place = (share * times.len().saturating_sub(1) as f64).round() as usize;
        times
            .get(place)
            .map_or("-".to_owned(), |time| format!("{} ms", time.as_millis()))
    }
}
