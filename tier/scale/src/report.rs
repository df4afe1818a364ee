//! What was measured.

use std::fmt;
use std::time::Duration;

use crate::measure::SpanFigures;

/// Times of many machines.
#[derive(Clone, Debug, Default)]
pub struct Times(pub Vec<Duration>);

/// What was measured.
#[derive(Clone, Debug)]
pub struct ScaleReport {
    /// Hollow forwarders.
    pub agents: usize,
    /// Hollow targets.
    pub targets: usize,
    /// With the forwarders alone.
    pub quiet: SpanFigures,
    /// With the targets' heartbeats.
    pub beating: SpanFigures,
    /// Heartbeats acknowledged a second in that span.
    pub heartbeats_a_second: f64,
    /// From the acknowledgement of a configuration until each forwarder had it, over all changes.
    pub in_force: Times,
    /// Lost at once, of forwarders and of targets.
    pub lost: usize,
    /// Until each other forwarder knew that the forwarders were lost.
    pub agents_lost: Times,
    /// Until each forwarder knew that the targets were lost.
    pub targets_lost: Times,
}

impl Times {
    /// The time below which that share of them lies.
    pub fn at(&self, share: f64) -> Duration {
        let mut times = self.0.clone();
        times.sort_unstable();
        let place = (share * times.len().saturating_sub(1) as f64).round() as usize;
        times.get(place).copied().unwrap_or_default()
    }
}

impl fmt::Display for Times {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [half, most, all] = [0.5, 0.99, 1.0].map(|share| self.at(share).as_millis());
        write!(formatter, "p50 {half} ms, p99 {most} ms, longest {all} ms")
    }
}

impl fmt::Display for SpanFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for process in &self.processes {
            let megabytes = process.memory as f64 / 1e6;
            writeln!(formatter, "  {:28} {:.4} cores, {megabytes:.1} MB", process.name, process.processor)?;
        }
        writeln!(formatter, "  loopback {:.1} kB/s", self.bytes_a_second / 1e3)
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = self.quiet.bytes_a_second / self.agents.max(1) as f64;
        writeln!(formatter, "{} hollow forwarders, no targets", self.agents)?;
        write!(formatter, "{}", self.quiet)?;
        writeln!(formatter, "  a forwarder {each:.0} B/s, headers of the loopback included")?;
        writeln!(formatter, "{} hollow targets beside them", self.targets)?;
        write!(formatter, "{}", self.beating)?;
        writeln!(formatter, "  heartbeats acknowledged {:.0} a second", self.heartbeats_a_second)?;
        writeln!(formatter, "configuration in force    {}", self.in_force)?;
        writeln!(formatter, "{} forwarders lost, known  {}", self.lost, self.agents_lost)?;
        write!(formatter, "{} targets lost, known     {}", self.lost, self.targets_lost)
    }
}
