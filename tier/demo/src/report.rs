//! What clients saw, in figures.

use std::fmt;
use std::time::Duration;

use crate::counts::Counts;

/// What clients saw.
#[derive(Debug, Clone)]
pub struct Report {
    pub(crate) counts: Counts,
    /// Requests that targets executed again.
    pub(crate) repeated_executions: usize,
    /// Time from the order that drained a proxy until it was empty.
    pub(crate) drain_time: Duration,
    /// Time from the acknowledgement of the second configuration until every ready proxy served it.
    pub(crate) propagation: Option<Duration>,
    /// Whether the operator read back what was acknowledged.
    pub(crate) read_back: bool,
    /// Processes that ended by themselves.
    pub(crate) ended: Vec<String>,
    /// Processes that had to be killed at the end.
    pub(crate) killed_at_end: usize,
}

impl Report {
    /// Whether every program completed, every prompt was right, nothing ran twice, and the
    /// configuration was in force and read back.
    pub fn is_success(&self) -> bool {
        let counts = &self.counts;
        let programs =
            counts.programs_started > 0 && counts.programs_completed == counts.programs_started;
        let turns = counts.wrong_prompts == 0
            && counts.budget_rejections == 1
            && self.repeated_executions == 0;
        programs && turns && self.propagation.is_some() && self.read_back && self.ended.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(formatter, "What clients saw")?;
        writeln!(
            formatter,
            "  programs       {} of {} whole",
            counts.programs_completed, counts.programs_started
        )?;
        writeln!(
            formatter,
            "  turns          {}, median {}, slowest {}",
            counts.turns,
            self.time(0.5),
            self.time(1.0)
        )?;
        writeln!(formatter, "  tool calls     {}", counts.tool_calls)?;
        writeln!(formatter, "  failed tries   {}", self.failed_attempts())?;
        writeln!(formatter, "  wrong prompts  {}", counts.wrong_prompts)?;
        writeln!(formatter, "  run twice      {}", self.repeated_executions)?;
        writeln!(
            formatter,
            "  budget spent   {} (one program has a budget of two turns)",
            counts.budget_rejections
        )?;
        writeln!(
            formatter,
            "  drained        a proxy was empty after {} ms",
            self.drain_time.as_millis()
        )?;
        match self.propagation {
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
    /// Failed attempts by what they saw, for people.
    fn failed_attempts(&self) -> String {
        let kinds = self
            .counts
            .failed_attempts
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
        let index = (share * times.len().saturating_sub(1) as f64).round() as usize;
        times
            .get(index)
            .map_or("-".to_owned(), |time| format!("{} ms", time.as_millis()))
    }
}
