//! Prints an outcome as text.

use std::io::{self, Write};
use std::time::Duration;

use plankhill_emulator::outcome::Outcome;

/// Prints an outcome, with the time `took` that the run of the scenario took.
///
/// # Errors
/// Errors of `out`.
pub fn print(out: &mut impl Write, outcome: &Outcome, took: Duration) -> io::Result<()> {
    print_totals(out, outcome, took)?;
    print_traffic(out, outcome)?;
    print_causes(out, outcome)?;
    print_rules(out, outcome)
}

fn print_totals(out: &mut impl Write, outcome: &Outcome, took: Duration) -> io::Result<()> {
    let totals = &outcome.totals;
    let minutes = outcome.length / 60_000.0;
    writeln!(out, "{}", outcome.about)?;
    writeln!(
        out,
        "{minutes:.1} minutes played in {:.2} s; seed {}, decided by {}\n",
        took.as_secs_f64(),
        outcome.seed,
        outcome.decisions
    )?;
    writeln!(out, "payoff    {:.4} of what was asked for", outcome.payoff)?;
    writeln!(
        out,
        "events    {} by clients, {} delivered, {} hand-ins dismissed, {} written off, {} lost with a machine",
        totals.events, totals.delivered, totals.dismissed, totals.written_off, totals.lost
    )?;
    writeln!(
        out,
        "calls     {} ({} events, {} pings), {} refused, {} failed; {} destinations pushed over",
        totals.calls,
        totals.sends,
        totals.pings,
        totals.refused_calls,
        totals.failed_calls,
        totals.tipped
    )?;
    writeln!(
        out,
        "most      {} events held, {} calls out\n",
        totals.most_held, totals.most_out
    )
}

fn print_traffic(out: &mut impl Write, outcome: &Outcome) -> io::Result<()> {
    writeln!(
        out,
        "time to delivery     events   delivered  payoff     half     95%     99%   longest"
    )?;
    for traffic in &outcome.traffic {
        let time = |share: f64| {
            traffic
                .times
                .iter()
                .find(|(q, _)| *q == share)
                .map_or(0.0, |(_, time)| *time)
        };
        let payoff = if traffic.asked > 0.0 {
            traffic.paid / traffic.asked
        } else {
            1.0
        };
        writeln!(
            out,
            "  {:16} {:9} {:10}   {payoff:.4} {:>8} {:>7} {:>7} {:>9}",
            traffic.name,
            traffic.events,
            traffic.delivered,
            span(time(0.5)),
            span(time(0.95)),
            span(time(0.99)),
            span(time(1.0))
        )?;
    }
    Ok(())
}

fn print_causes(out: &mut impl Write, outcome: &Outcome) -> io::Result<()> {
    if outcome.causes.is_empty() {
        return Ok(());
    }
    writeln!(out, "\npayoff that was not delivered, by cause")?;
    let mut causes: Vec<_> = outcome.causes.iter().collect();
    causes.sort_by(|a, b| b.1.total_cmp(a.1));
    for (cause, lost) in causes {
        let share = 100.0 * lost / outcome.totals.asked.max(1e-9);
        writeln!(out, "  {share:6.2}%  {}", cause.description())?;
    }
    Ok(())
}

fn print_rules(out: &mut impl Write, outcome: &Outcome) -> io::Result<()> {
    if outcome.broken() == 0 {
        return writeln!(out, "\nall six rules kept");
    }
    writeln!(out, "\nRULES BROKEN")?;
    for rule in outcome.rules.iter().filter(|rule| rule.broken > 0) {
        writeln!(out, "  {:6}  {}", rule.broken, rule.rule)?;
    }
    for breach in &outcome.breaches {
        writeln!(out, "  {breach}")?;
    }
    Ok(())
}

/// Formats a duration in milliseconds, in a suitable unit.
fn span(time: f64) -> String {
    match time {
        time if time < 1000.0 => format!("{time:.0} ms"),
        time if time < 100_000.0 => format!("{:.1} s", time / 1000.0),
        time => format!("{:.1} min", time / 60_000.0),
    }
}
