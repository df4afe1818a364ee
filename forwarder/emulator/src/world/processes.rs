//! Lives of a forwarder: its start, stalls and ends, the record that outlasts a process, and what happens to
//! what was held when one ends.

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_forwarder_config::scenario::Repeats;
use plankhill_invariants::{AttemptEnd, Observation};
use rustc_hash::FxHashSet;

use super::state::Incoming;
use super::{CallKey, Step, World};
use crate::deciders::{EventKey, Input};
use crate::outcome::LossCause;
use crate::random::exponential;

/// A process that was asked to end stays for so long at the least: clients still come.
pub(super) const CLOSING_LEAST: Ms = 1_000.0;

impl World<'_> {
    pub(super) fn stall(&mut self, at: u32, until: Ms) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.is_none() {
            return;
        }
        it.stalled_until = it.stalled_until.max(until);
        let incarnation = it.incarnation;
        self.observe(Observation::Halted { forwarder: at });
        self.queue.put(until, Step::StallEnds(at, incarnation));
    }

    pub(super) fn end_stall(&mut self, at: u32, incarnation: u32) {
        let it = &self.forwarders[at as usize];
        if it.incarnation == incarnation && it.stalled_until <= self.now {
            self.observe(Observation::Resumed {
                forwarder: at,
                is_new_process: false,
            });
            self.schedule_iteration(at);
        }
    }

    pub(super) fn begin_shutdown(&mut self, at: u32) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.is_none() || it.closing.is_some() {
            return;
        }
        let ends = self.now + self.scenario.forwarders.closing;
        it.closing = Some((self.now, ends));
        let incarnation = it.incarnation;
        self.incoming(at, Input::ShutdownBegan { ends }, None);
        self.queue.put(ends, Step::IncarnationEnds(at, incarnation));
        self.queue
            .put(self.now + CLOSING_LEAST, Step::WakeUp(at, incarnation));
    }

    pub(super) fn end_incarnation(&mut self, at: u32, incarnation: u32) {
        if self.forwarders[at as usize].incarnation == incarnation {
            self.end_process(at, self.scenario.forwarders.restart, true);
        }
    }

    /// The process is gone at once. With its folder kept, the next one goes on from there; with the machine
    /// lost, clients learn of it, and what may have run and binds does not come again.
    pub(super) fn end_process(&mut self, at: u32, gone_for: Ms, folder_kept: bool) {
        let it = &mut self.forwarders[at as usize];
        if it.decider.take().is_none() {
            return;
        }
        it.incarnation += 1;
        it.died_at = Some(self.now);
        it.closing = None;
        it.iteration_scheduled = false;
        it.next_wake_up = f64::INFINITY;
        it.introduced.clear();
        let inbox = std::mem::take(&mut it.inbox);
        let targets: Vec<u32> = it.idle.keys().copied().collect();
        self.observe(Observation::Halted { forwarder: at });
        for target in targets {
            self.close_idle(at, target);
        }
        let mut unwritten = FxHashSet::default();
        // What lay unread is as if never said: a client that was not answered hands in again.
        for incoming in inbox {
            match incoming {
                Incoming::HandIn(client_event) => {
                    self.coming -= 1;
                    self.on_no_forwarder(client_event)
                }
                Incoming::Input(Input::CompletionAcknowledged { event }, _) => {
                    // The client has heard, only the process has not.
                    if let Some(held) = self.events.remove(event) {
                        self.forwarders[at as usize].held -= 1;
                        self.observe(Observation::CompletionAcknowledged { event: held.number });
                    }
                }
                Incoming::Input(Input::AttemptEnded { event, .. }, Some((_, false))) => {
                    unwritten.insert(event);
                }
                Incoming::Input(..) => (),
            }
        }
        self.drop_calls(at, unwritten);
        if !folder_kept {
            self.machine_lost(at);
        }
        self.queue.put(self.now + gone_for, Step::ProcessStarts(at));
    }

    /// The forwarder's side of all its calls is over: what was written may run. Its record can't tell what
    /// was not, but the rules can.
    pub(super) fn drop_calls(&mut self, at: u32, mut unwritten: FxHashSet<EventKey>) {
        let ours = self
            .calls
            .iter()
            .filter(|(_, call)| call.forwarder == at && !call.abandoned_by_sender);
        let ours: Vec<CallKey> = ours.map(|(key, _)| key).collect();
        for key in ours {
            let call = &mut self.calls[key];
            call.abandoned_by_sender = true;
            let (target, written) = (call.target, call.written);
            // A connection that is coming up is given back when it is up.
            let coming_up = !written && call.fate != AttemptOutcome::ConnectFailed;
            if !written {
                unwritten.extend(call.members.iter().map(|member| member.event));
            }
            if !call.there && !coming_up {
                self.calls.remove(key);
            }
            if written && self.tracked(self.targets[target as usize].destination) {
                self.close_connections(target, 1);
            }
        }
        // Sends whose end lay unread count as out too.
        let mut out: Vec<(u64, EventKey)> = Vec::new();
        for (key, event) in &self.events {
            if event.forwarder == at && event.out.is_some() {
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
                    forwarder: at,
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

    pub(super) fn machine_lost(&mut self, at: u32) {
        let held = self
            .events
            .iter()
            .filter(|(_, event)| event.forwarder == at);
        let mut held: Vec<(u64, EventKey)> = held.map(|(key, event)| (event.number, key)).collect();
        held.sort_unstable();
        self.forwarders[at as usize].cold.clear();
        self.forwarders[at as usize].held = 0;
        for (number, key) in held {
            let event = self.events.remove(key).expect("held");
            self.observe(Observation::EventLost { event: number });
            if event.ended && event.unacknowledged.is_none() {
                continue; // its client has heard
            }
            self.tally.totals.lost += 1;
            let mut client_event = event.client_event;
            client_event.cause = LossCause::NoForwarder;
            let binds =
                self.scenario.traffic[client_event.traffic as usize].effect == Repeats::Binding;
            if event.ended || binds && event.may_have_run.is_some() {
                self.tally
                    .unpaid(self.scenario, &client_event, LossCause::NoForwarder);
                continue;
            }
            let again = exponential(&mut self.rng_returns, self.scenario.clients.again_after);
            self.resubmit_later(client_event, again);
        }
    }
}
