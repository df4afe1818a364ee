//! Closing of idle connections.
//!
//! A target or a middlebox may silently drop an idle connection, and a call on it is then lost.
//! Targets may also run out of connections because idle forwarders keep theirs open. In both cases,
//! idle connections are closed for some time. A wrong decision costs only the setup of new
//! connections.

use super::context::Context;
use super::tuning::{CONNECTION_EVIDENCE_WINDOW, IDLE_CONNECTION_GRACE};
use crate::interface::{AttemptOutcome, DestinationKindId, Ms};
use crate::state::Destination;

/// Time constant of the statistics on calls over reused connections: long enough for several calls,
/// short compared with the duration of a fault.
const REUSED_CALLS_WINDOW: Ms = 5_000.0;

/// Duration for which idle connections are closed after calls on them were lost.
const CLOSING_TIME: Ms = 10_000.0;

impl Context {
    /// Counts a call over a connection that had been idle, and whether that call was lost.
    pub(super) fn assess_connection_reuse(&mut self, is_reused: bool, outcome: AttemptOutcome) {
        let now = self.now;
        let is_lost = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
        let reused = if is_reused { 1.0 } else { 0.0 };
        let lost = if is_reused && is_lost { 1.0 } else { 0.0 };
        // Other calls add zero, which only decays the sums to the current time.
        self.reused_calls.add(now, REUSED_CALLS_WINDOW, reused);
        self.lost_reused_calls.add(now, REUSED_CALLS_WINDOW, lost);
        if !is_reused {
            return;
        }
        let lost_calls = self.lost_reused_calls.value(now, REUSED_CALLS_WINDOW);
        let tolerated = 0.4 + 0.05 * self.reused_calls.value(now, REUSED_CALLS_WINDOW);
        if lost_calls > tolerated {
            self.closes_idle_until = now + CLOSING_TIME;
        }
    }

    /// Returns whether idle connections to destinations of the kind are closed now, because calls
    /// on idle connections were lost or new connections were refused. For an oversubscribed
    /// destination, half a refusal is presumed, which takes effect up to 100 deliveries.
    pub(super) fn closes_idle_connections(
        &self,
        kind: DestinationKindId,
        is_oversubscribed: bool,
    ) -> bool {
        if self.now < self.closes_idle_until {
            return true;
        }
        let statistics = &self.kind_statistics[kind.0];
        let presumed = if is_oversubscribed { 0.5 } else { 0.0 };
        let refused = statistics
            .connect_failed
            .value(self.now, CONNECTION_EVIDENCE_WINDOW)
            + presumed;
        let delivered = statistics
            .delivered
            .value(self.now, CONNECTION_EVIDENCE_WINDOW);
        refused > 0.4_f64.max(0.005 * delivered)
    }
}

impl Destination {
    /// Returns whether the fleet has more forwarders than twice the number of calls that each of
    /// the destination's targets serves concurrently, according to the advertised rate.
    pub(super) fn is_oversubscribed(&self, context: &Context) -> bool {
        if self.advertised_rate <= 0.0 {
            return false;
        }
        let running_targets: usize = self
            .lanes
            .iter()
            .map(|lane| lane.running_targets().count())
            .sum();
        let rate_of_each = self.advertised_rate / running_targets.max(1) as f64;
        let calls_at_once = rate_of_each * context.mean_response_time() / 1000.0;
        context.config.forwarder_count > 2.0 * calls_at_once
    }

    /// Returns the time at which the next idle connection is to be closed; `None` if idle
    /// connections are not closed now.
    pub(super) fn next_idle_connection_closes_at(&self, context: &Context) -> Option<Ms> {
        if !context.closes_idle_connections(self.kind, self.is_oversubscribed(context)) {
            return None;
        }
        let targets = self.lanes.iter().flat_map(|lane| &lane.targets);
        let idle_since = targets.filter_map(|target| target.idle_since);
        idle_since
            .map(|since| since + IDLE_CONNECTION_GRACE)
            .reduce(f64::min)
    }
}
