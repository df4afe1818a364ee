//! The processes of a forwarder: stalls and ends, the event log that survives a process, and the
//! handling of pending events and calls when a process ends.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_forwarder_config::scenario::Idempotency;
use plankhill_invariants::{AttemptEnd, Observation};
use rustc_hash::FxHashSet;

use super::state::Incoming;
use super::{CallKey, Step, World};
use crate::deciders::{EventKey, Input};
use crate::outcome::LossCause;
use crate::random::exponential;

/// A process that shuts down keeps running for at least this long, because clients still connect.
pub(super) const MIN_SHUTDOWN_DURATION: Ms = 1_000.0;

impl World<'_> {
    pub(super) fn stall(&mut self, forwarder_id: u32, until: Ms) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        if forwarder.decider.is_none() {
            return;
        }
        forwarder.stalled_until = forwarder.stalled_until.max(until);
        let incarnation = forwarder.incarnation;
        self.observe(Observation::Halted {
            forwarder: forwarder_id,
        });
        self.queue
            .put(until, Step::StallEnds(forwarder_id, incarnation));
    }

    pub(super) fn end_stall(&mut self, forwarder_id: u32, incarnation: u32) {
        let forwarder = &self.forwarders[forwarder_id as usize];
        if forwarder.incarnation == incarnation && forwarder.stalled_until <= self.now {
            self.observe(Observation::Resumed {
                forwarder: forwarder_id,
                is_new_process: false,
            });
            self.schedule_iteration(forwarder_id);
        }
    }

    pub(super) fn begin_shutdown(&mut self, forwarder_id: u32) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        if forwarder.decider.is_none() || forwarder.closing.is_some() {
            return;
        }
        let ends = self.now + self.scenario.forwarders.shutdown_timeout;
        forwarder.closing = Some((self.now, ends));
        let incarnation = forwarder.incarnation;
        self.incoming(forwarder_id, Input::ShutdownBegan { ends }, None);
        self.queue
            .put(ends, Step::IncarnationEnds(forwarder_id, incarnation));
        self.queue.put(
            self.now + MIN_SHUTDOWN_DURATION,
            Step::WakeUp(forwarder_id, incarnation),
        );
    }

    pub(super) fn end_incarnation(&mut self, forwarder_id: u32, incarnation: u32) {
        if self.forwarders[forwarder_id as usize].incarnation == incarnation {
            self.end_process(forwarder_id, self.scenario.forwarders.restart_delay, true);
        }
    }

    /// Ends the process at once. If its folder is kept, the next process continues from the event log.
    /// If the machine is lost, clients are notified, and non-idempotent events that may have run are
    /// not submitted again.
    pub(super) fn end_process(&mut self, forwarder_id: u32, downtime: Ms, keeps_folder: bool) {
        let forwarder = &mut self.forwarders[forwarder_id as usize];
        if forwarder.decider.take().is_none() {
            return;
        }
        forwarder.incarnation += 1;
        forwarder.died_at = Some(self.now);
        forwarder.closing = None;
        forwarder.iteration_scheduled = false;
        forwarder.next_wake_up = f64::INFINITY;
        forwarder.introduced.clear();
        let inbox = std::mem::take(&mut forwarder.inbox);
        let targets: Vec<u32> = forwarder.idle.keys().copied().collect();
        self.observe(Observation::Halted {
            forwarder: forwarder_id,
        });
        for target in targets {
            self.close_idle(forwarder_id, target);
        }
        let mut unwritten = FxHashSet::default();
        // Unread messages count as never sent: a client without a response submits again.
        for incoming in inbox {
            match incoming {
                Incoming::Submission(client_event) => {
                    self.submissions_in_transit -= 1;
                    self.on_no_forwarder(client_event)
                }
                Incoming::Input(Input::CompletionAcknowledged { event }, _) => {
                    // The client has acknowledged the completion; only the process has not read that.
                    if let Some(pending) = self.events.remove(event) {
                        self.forwarders[forwarder_id as usize].pending_events -= 1;
                        self.observe(Observation::CompletionAcknowledged {
                            event: pending.number,
                        });
                    }
                }
                Incoming::Input(Input::AttemptEnded { event, .. }, Some((_, false))) => {
                    unwritten.insert(event);
                }
                Incoming::Input(..) => (),
            }
        }
        self.drop_calls(forwarder_id, unwritten);
        if !keeps_folder {
            self.lose_machine(forwarder_id);
        }
        self.queue
            .put(self.now + downtime, Step::ProcessStarts(forwarder_id));
    }

    /// Ends the forwarder's side of all its calls; those already written may still run. The event log
    /// does not record which calls were not written, but the invariants can use that.
    pub(super) fn drop_calls(&mut self, forwarder_id: u32, mut unwritten: FxHashSet<EventKey>) {
        let ours = self
            .calls
            .iter()
            .filter(|(_, call)| call.forwarder == forwarder_id && !call.abandoned_by_sender);
        let ours: Vec<CallKey> = ours.map(|(key, _)| key).collect();
        for key in ours {
            let call = &mut self.calls[key];
            call.abandoned_by_sender = true;
            let target = call.target;
            let written = call.written;
            // A connection that is still being set up is returned once it is established.
            let is_connecting = !written && call.outcome != AttemptOutcome::ConnectFailed;
            if !written {
                unwritten.extend(call.members.iter().map(|member| member.event));
            }
            if !call.is_at_target && !is_connecting {
                self.calls.remove(key);
            }
            if written && self.tracked(self.targets[target as usize].destination) {
                self.close_connections(target, 1);
            }
        }
        // Attempts whose outcome was not read yet count as in flight too.
        let mut out: Vec<(u64, EventKey)> = Vec::new();
        for (key, event) in &self.events {
            if event.forwarder == forwarder_id && event.out.is_some() {
                out.push((event.number, key));
            }
        }
        out.sort_unstable();
        for (number, key) in out {
            let zone = self.zone_of_last_call(key);
            let event = &mut self.events[key];
            event.may_have_run.get_or_insert((event.sent_at, zone));
            if !unwritten.contains(&key) {
                self.observe(Observation::AttemptEnded {
                    forwarder: forwarder_id,
                    event: number,
                    outcome: AttemptEnd::CutShort,
                });
            }
        }
    }

    pub(super) fn zone_of_last_call(&self, key: EventKey) -> usize {
        let call = self.events[key].out.and_then(|call| self.calls.get(call));
        call.map_or(0, |call| self.targets[call.target as usize].zone as usize)
    }

    pub(super) fn lose_machine(&mut self, forwarder_id: u32) {
        let pending = self
            .events
            .iter()
            .filter(|(_, event)| event.forwarder == forwarder_id);
        let mut pending: Vec<(u64, EventKey)> =
            pending.map(|(key, event)| (event.number, key)).collect();
        pending.sort_unstable();
        self.forwarders[forwarder_id as usize].cold.clear();
        self.forwarders[forwarder_id as usize].pending_events = 0;
        for (number, key) in pending {
            let event = self.events.remove(key).expect("the event is pending");
            self.observe(Observation::EventLost { event: number });
            if event.ended && event.unacknowledged.is_none() {
                continue; // its client has been notified
            }
            self.tally.totals.lost += 1;
            let mut client_event = event.client_event;
            client_event.cause = LossCause::NoForwarder;
            let is_non_idempotent = self.scenario.traffic[client_event.traffic as usize].effect
                == Idempotency::NonIdempotent;
            if event.ended || is_non_idempotent && event.may_have_run.is_some() {
                self.tally
                    .record_loss(self.scenario, &client_event, LossCause::NoForwarder);
                continue;
            }
            let again = exponential(
                &mut self.rng_resubmissions,
                self.scenario.clients.retry_pause,
            );
            self.resubmit_later(client_event, again);
        }
    }
}
