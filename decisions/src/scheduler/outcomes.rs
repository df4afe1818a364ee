//! How sends and pings ended, and what that says of a target and its lane.

use super::*;

/// How strongly holds grow with the refused share's square; 4, 10 and 20 times the share served worse.
const EATEN: f64 = 15.0;
/// Answered and lost calls are weighed over a few seconds: long enough for several, short against a trouble.
const TREND: Ms = 5_000.0;

impl Scheduler {
    pub(super) fn rest(&mut self, key: OrderKey) {
        self.rests_until(key, self.here.now + self.here.terms.key_cooldown);
    }

    pub(super) fn rests_until(&mut self, key: OrderKey, until: Ms) {
        let line = self.keys.get_mut(&key).expect("queued");
        line.rests_until = line.rests_until.max(until);
        self.resting.push_back((until, key));
    }

    pub fn on_attempt_ended(&mut self, id: &EventId, ended: AttemptReport) -> InputResult {
        let AttemptReport {
            outcome: fate,
            event_complete: over,
            retry_after: wait,
            ..
        } = ended;
        let &(of, place) = self.places.get(id).ok_or(UnknownId("the event"))?;
        let (now, here) = (self.here.now, &mut self.here);
        let to = self.destinations.get_mut(&of).expect("placed");
        let call = to
            .events
            .get_mut(&place)
            .and_then(|event| event.call.take());
        let number = call.ok_or(UnknownId("the send"))?;
        let call = to.calls.get_mut(&number).expect("a call has members");
        call.members -= 1;
        let (sent, reuses, target) = (call.sent, call.reuses, call.target.clone());
        let (first, last) = (
            !std::mem::replace(&mut call.judged, true),
            call.members == 0,
        );
        // Every event of a call may be told a wait of its own; a long one is that of a shut destination.
        let at = to.lane_of(&target).expect("kept while called");
        let lane = &mut to.lanes[at];
        lane.closed_until = lane.closed_until.max(now + wait);
        (wait > 2.0 * PING).then(|| lane.chill(now));
        let zone = lane.target(&target).expect("found").zone;
        if first {
            let lost = reuses && matches!(fate, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
            here.reused.add(now, TREND, reuses as u8 as f64);
            here.stale.add(now, TREND, lost as u8 as f64);
            if reuses && here.stale.read(now, TREND) > 0.4 + 0.05 * here.reused.read(now, TREND) {
                here.stale_until = now + 10_000.0;
            }
            to.judge(here, at, &target, sent, ended);
        }
        if last {
            self.doubtful_out -= to.calls.remove(&number).expect("seen").doubtful as usize;
            self.calls_out -= 1;
            let called = to.lanes[at].target_mut(&target).expect("found");
            called.out -= 1;
            called.idle_since = (called.out == 0).then_some(now);
        }
        let event = to.events.get_mut(&place).expect("placed");
        event.over |= over || fate == AttemptOutcome::Delivered;
        // Half a second, or as told, doubling with its sends, jittered.
        let pause = here.terms.tuning.retry_backoff.initial(fate)
            * f64::powi(2.0, event.sends.min(6) as i32 - 1);
        event.not_before = now + pause * jitter(here.draw(place));
        if fate.may_have_run() {
            event.may_have_run.get_or_insert((sent, zone));
        }
        let cut = matches!(
            fate,
            AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled
        );
        event
            .key
            .filter(|_| cut)
            .into_iter()
            .for_each(|key| self.rest(key));
        self.changed.insert(of);
        self.forget_if_over(of, place);
        Ok(())
    }

    pub fn on_health_check_ended(
        &mut self,
        target: &TargetId,
        fate: AttemptOutcome,
    ) -> InputResult {
        let &of = self.homes.get(target).ok_or(UnknownId("the target"))?;
        let to = self.destinations.get_mut(&of).expect("a home");
        let at = to.lane_of(target).expect("at home");
        let pause = to.ping_pause(&mut self.here, at);
        // The fleet learns of a return within a ping's pause: its first calls are spread over a cold spacing.
        let first = to.rate(&self.here, at).map_or(0.0, |rate| 1000.0 / rate) * self.here.draw(3);
        let (lane, now) = (&mut to.lanes[at], self.here.now);
        (lane.ping_out, lane.ping_at) = (false, now + pause);
        if matches!(fate, AttemptOutcome::Delivered | AttemptOutcome::Rejected) {
            lane.next_slot = lane.next_slot.max(now + first.min(2.0 * pause));
            lane.release(now);
        } else {
            lane.chill(now);
        }
        self.changed.insert(of);
        Ok(())
    }
}

impl Destination {
    /// Reads the outcome of a call (once, however many events it carried) for its target and lane.
    pub(super) fn judge(
        &mut self,
        here: &mut Here,
        at: usize,
        id: &TargetId,
        sent: Ms,
        ended: AttemptReport,
    ) {
        let AttemptReport {
            outcome: fate,
            elapsed: took,
            retry_after: wait,
            limit_remaining: left,
            ..
        } = ended;
        let left = left.filter(|share| (0.0..=1.0).contains(share));
        let (now, chance) = (here.now, here.draw(1));
        let cold_spacing = self
            .rate(here, at)
            .filter(|_| wait > 2.0 * PING)
            .map_or(0.0, |rate| 1000.0 / rate);
        let (crowded, spacings) = (self.crowded(here), 8000.0 / self.usual(here).max(1e-9));
        let trial = if here.terms.health_checks_allowed {
            0.0
        } else {
            self.ping_pause(here, at)
        };
        let lane = &mut self.lanes[at];
        if matches!(fate, AttemptOutcome::Delivered | AttemptOutcome::Rejected) {
            // A connection refused, and answered soon after: no outage, its targets take no more of them.
            let crammed = lane
                .unconnected_at
                .take()
                .is_some_and(|at| now - at < 3.0 * PING);
            here.counts[self.kind.0]
                .unconnected
                .add(now, REUSE, crammed as u8 as f64);
            (!lane.offline || !here.terms.tuning.release_on_health_check_only)
                .then(|| lane.release(now));
        }
        let target = lane
            .targets
            .iter_mut()
            .find(|target| target.id == *id)
            .expect("kept while called");
        match fate {
            AttemptOutcome::Delivered => {
                (
                    target.failures,
                    lane.refusals,
                    lane.shut_signs,
                    lane.delivered_at,
                ) = (0, 0, 0, now);
                here.counts[self.kind.0].answered.add(now, REUSE, 1.0);
                // Under its limit, as far as answers tell; in sum `rate` bounds it by what chance may add.
                let usual = lane.usual_answer(here);
                lane.trust = if took < 5.0 * usual {
                    (lane.trust.max(1.0) * 1.25).min(4.0)
                } else {
                    1.0
                };
                lane.answers.add(now, MEMORY, took);
                here.answers.add(now, MEMORY, took);
            }
            AttemptOutcome::Rejected => {
                lane.trust = 1.0;
                // Where refused calls use up the limit, nearly all report it used up; 3 in 10 do elsewhere.
                let weight = if left.is_none_or(|left| left < 0.2) {
                    2.0
                } else {
                    0.2
                };
                here.counts[self.kind.0].full.add(now, REUSE, weight);
                if sent >= lane.refused_at {
                    (lane.refusals, lane.refused_at) = (lane.refusals + 1, now);
                    let went = |sum: &Fading, span| sum.read(now, span) * 1000.0 / span;
                    // A clump is refused within less: what went at once tells more, if it is much.
                    let burst =
                        Some(went(&lane.burst, RECENT / 4.0)).filter(|rate| *rate >= 2.0 * OFTEN);
                    let recent = went(&lane.sent, RECENT).max(burst.unwrap_or(0.3));
                    // A tenth less, 8% a second back: half and twice move the loss from lateness to refusals.
                    lane.pace = Some((recent * 0.9, now));
                    // All that were refused, or told the same wait, must not come back together: the more of
                    // a kind's calls are refused, the wider they spread, as these may use up the limit.
                    let KindCounts { full, answered, .. } = &here.counts[self.kind.0];
                    let share = full.read(now, REUSE) / (answered.read(now, REUSE) + 8.0);
                    let wide = (1.0 + EATEN * share * share) * f64::powi(2.0, lane.refusals.min(4));
                    let base = (250.0 * here.terms.forwarder_count.sqrt())
                        .min(here.terms.tuning.max_initial_spread());
                    let spread = (base * wide / (recent / OFTEN).max(1.0)).min(spacings);
                    lane.held_until = now + wait + spread.max(cold_spacing) * chance;
                }
                // Refused again, much of a told limit left, nothing served between: it may be shut, and cold
                // then. Guards whatever refuses all; harmful where a tight limit looks the same for long.
                lane.shut_signs = if left.is_none_or(|left| left >= 0.5) {
                    lane.shut_signs + 1
                } else {
                    0
                };
                let shut = lane.shut_signs >= 2 && now - lane.delivered_at > 1.5 * PING;
                if shut || lane.is_cold(here) && lane.shut_signs > 0 {
                    lane.chill(now);
                }
            }
            AttemptOutcome::TimedOut if took < here.least_time() => (), // cut by the end of patience: no sign of health
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => {
                lane.trust = 1.0;
                target.failures += 1;
                let unconnected = fate == AttemptOutcome::ConnectFailed;
                // Refused connections last: past the pause of a head that met one; half a second did not do.
                let base = jitter(chance) * if unconnected { 2000.0 } else { 500.0 };
                target.shunned_until = now + base * f64::powi(2.0, target.failures.min(5) - 1);
                // One refused where nothing had failed tells of itself in a crowd, not of its destination.
                lane.unconnected_at = unconnected.then_some(now);
                if unconnected && crowded && lane.failures == 0 {
                    here.counts[self.kind.0].unconnected.add(now, REUSE, 1.0);
                }
                let crammed = unconnected && here.closes(self.kind, crowded);
                let beside = (fate == AttemptOutcome::Reset || crammed)
                    && now - lane.delivered_at < 2.0 * PING;
                lane.failures += !beside as i32;
                if fate == AttemptOutcome::TimedOut && lane.answered_at < sent {
                    // Slow: it gets more time. Lost, if others were answered meanwhile: that would pin slots.
                    lane.answers.add(now, MEMORY, took);
                }
                (lane.failures >= 2).then(|| lane.park(now, trial));
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => (),
        }
    }
}
