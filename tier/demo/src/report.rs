//! The report of a demo run.

use std::fmt;
use std::time::Duration;

use crate::counts::Counts;

/// The results that clients observed, with the measurements of the demo's steps.
#[derive(Debug, Clone)]
pub struct Report {
    pub(crate) counts: Counts,
    /// Number of executions beyond the first of each request id.
    pub(crate) repeated_executions: usize,
    /// Time from the drain order for a proxy until the proxy was empty.
    pub(crate) drain_time: Duration,
    /// Time from the acknowledgement of the updated configuration until every proxy served it;
    /// `None` if this took too long.
    pub(crate) propagation: Option<Duration>,
    /// Whether the configuration read back is the acknowledged one.
    pub(crate) configuration_matches: bool,
    /// Processes that exited before the demo stopped them.
    pub(crate) exited_early: Vec<String>,
    /// Number of processes that did not exit within the grace period at the end.
    pub(crate) killed_at_end: usize,
}

impl Report {
    /// Whether at least one program started and all completed, every prompt was correct, no request
    /// id was executed twice, exactly one turn was rejected because of its budget, the updated
    /// configuration reached every proxy in time and was read back, and no process exited early.
    pub fn is_success(&self) -> bool {
        let counts = &self.counts;
        let programs =
            counts.programs_started > 0 && counts.programs_completed == counts.programs_started;
        let turns = counts.wrong_prompts == 0
            && counts.budget_rejections == 1
            && self.repeated_executions == 0;
        programs
            && turns
            && self.propagation.is_some()
            && self.configuration_matches
            && self.exited_early.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(formatter, "Results observed by clients")?;
        writeln!(
            formatter,
            "  programs       {} of {} whole",
            counts.programs_completed, counts.programs_started
        )?;
        writeln!(
            formatter,
            "  turns          {}, median {}, slowest {}",
            counts.turns,
            self.turn_time(0.5),
            self.turn_time(1.0)
        )?;
        writeln!(formatter, "  tool calls     {}", counts.tool_calls)?;
        writeln!(formatter, "  failed tries   {}", self.failed_attempts())?;
        writeln!(formatter, "  wrong prompts  {}", counts.wrong_prompts)?;
        writeln!(formatter, "  repeated runs  {}", self.repeated_executions)?;
        writeln!(
            formatter,
            "  over budget    {} (one program has a budget of two turns)",
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
            if self.configuration_matches {
                "as acknowledged"
            } else {
                "not as acknowledged"
            }
        )?;
        for failure in &counts.failures {
            writeln!(formatter, "  failed         {failure}")?;
        }
        for process in &self.exited_early {
            writeln!(formatter, "  exited early   {process}")?;
        }
        write!(formatter, "  killed at end  {}", self.killed_at_end)
    }
}

impl Report {
    /// Formats the failed attempts by kind of failure.
    fn failed_attempts(&self) -> String {
        let kinds = self
            .counts
            .failed_attempts
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"));
        let listed = kinds.collect::<Vec<_>>().join(", ");
        if listed.is_empty() {
            "none".to_owned()
        } else {
            listed
        }
    }

    /// Formats the given quantile (0 to 1) of the turn times; `-` if there are none.
    fn turn_time(&self, quantile: f64) -> String {
        let mut times = self.counts.turn_times.clone();
        times.sort_unstable();
        let index = (quantile * times.len().saturating_sub(1) as f64).round() as usize;
        times
            .get(index)
            .map_or("-".to_owned(), |time| format!("{} ms", time.as_millis()))
    }
}
