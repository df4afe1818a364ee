//! The local instance's part in the broadcasts: its copies, its requests and its reports, over its own
//! replica of the state. Callers pass the time, in ms on one clock that does not run backwards. Reports may
//! be lost or arrive twice, so every request is repeated until the log answers it.

mod polling;

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;

use crate::command::{Broadcast, Command, Effect, Outcome};
use crate::host::{Host, HostRequest};
use crate::names::*;
use crate::state::FanoutState;

type CopyKey = (Subscriber, Position);

#[derive(Default)]
struct LocalCopy {
    since: Ms,
    first_call: Option<Ms>,
    reported_in_flight: bool,
    /// The outcome and both parts of the lag, to be reported until the log has them; and when they were last
    /// reported.
    outcome: Option<(Outcome, Ms, Ms)>,
    reported_at: Option<Ms>,
}

/// The part of this process in the broadcasts of the fleet.
pub struct LocalInstance {
    me: InstanceId,
    /// The number of this process, which has started once the log has its [`Command::Started`].
    process: u64,
    started: bool,
    state: FanoutState,
    tickets: BTreeMap<u64, Ms>,
    next_ticket: u64,
    next_number: u64,
    requested_at: Option<Ms>,
    copies: BTreeMap<CopyKey, LocalCopy>,
    /// Submissions of clients that the log has not decided.
    submissions: BTreeMap<u64, Submission>,
    /// Subscribers that the host has seen parked or cold here, and until when that is assumed.
    resting_until: BTreeMap<Subscriber, Ms>,
}

struct Submission {
    broadcast: Broadcast,
    since: Ms,
    requested_at: Option<Ms>,
}

impl LocalInstance {
    /// `process` is a number above those of the instance's earlier processes, as far as is known: the system
    /// clock's microseconds serve. `state` may be of any age, if `applied` is called with every command
    /// since.
    pub fn new(me: InstanceId, process: u64, state: FanoutState) -> Self {
        let process = process.max(state.process(me) + 1);
        LocalInstance {
            me,
            process,
            started: false,
            state,
            tickets: BTreeMap::new(),
            next_ticket: 0,
            next_number: 0,
            requested_at: None,
            copies: BTreeMap::new(),
            submissions: BTreeMap::new(),
            resting_until: BTreeMap::new(),
        }
    }

    fn is_this_process(&self, by: InstanceId, process: u64) -> bool {
        (by, process) == (self.me, self.process)
    }

    pub fn state(&self) -> &FanoutState {
        &self.state
    }

    pub fn instance_id(&self) -> InstanceId {
        self.me
    }

    /// Once the log has this process as started, takes over the copies of earlier processes: their reports up
    /// to there count, and later ones do not. Before that, a copy whose end is on its way to the log could be
    /// sent again.
    fn take_over(&mut self, now: Ms, host: &impl Host) -> Vec<HostRequest> {
        if self.started || self.state.process(self.me) != self.process {
            // Another process of the instance has a higher number.
            if !self.started && self.state.process(self.me) > self.process {
                self.process = self.state.process(self.me) + 1;
            }
            return Vec::new();
        }
        (self.started, self.requested_at) = (true, None);
        self.take_over_unknown(now, host)
    }

    /// Takes over the copies that the state assigns to this instance and that this process does not have yet.
    fn take_over_unknown(&mut self, now: Ms, host: &impl Host) -> Vec<HostRequest> {
        let assigned = self.state.assigned_copies(self.me);
        let unknown = assigned
            .into_iter()
            .filter(|(s, p, _)| !self.has_copy((*s, *p)))
            .collect::<Vec<_>>();
        unknown
            .into_iter()
            .filter_map(|(s, p, end)| self.take_over_copy(now, host, (s, p), end))
            .collect()
    }

    /// Takes over a copy that this process did not request. If it is pending in the event log, the host
    /// continues it. If not, it was never recorded, or it ended and the report did not reach the log: sent
    /// again, it could arrive after later copies of its key, or a second time, so it is abandoned.
    fn take_over_copy(
        &mut self,
        now: Ms,
        host: &impl Host,
        copy: CopyKey,
        end: Option<Outcome>,
    ) -> Option<HostRequest> {
        let (subscriber, position) = copy;
        let event = copy_id(&self.state.broadcast(position)?.id, subscriber);
        self.copies.insert(
            copy,
            LocalCopy {
                since: now,
                ..LocalCopy::default()
            },
        );
        let outcome = end.unwrap_or(Outcome::Abandoned);
        (!host.is_pending(&event)).then_some(HostRequest::NotifyOutcome {
            event,
            subscriber,
            position,
            outcome,
        })
    }

    /// Replaces the complete state when commands were missed.
    pub fn install_snapshot(
        &mut self,
        now: Ms,
        host: &impl Host,
        state: FanoutState,
    ) -> Vec<HostRequest> {
        self.state = state;
        self.drop_unassigned();
        let mut requests = self.take_over(now, host);
        if self.started {
            requests.extend(self.take_over_unknown(now, host));
        }
        requests
    }

    fn drop_unassigned(&mut self) {
        let assigned = self.state.assigned_copies(self.me);
        self.copies
            .retain(|copy, _| assigned.iter().any(|(s, p, _)| (*s, *p) == *copy));
    }

    /// Whether the copy is still assigned to this instance, to deliver it or to report its outcome. The host
    /// checks this again before it executes a request, since several commands may have been applied at once.
    pub fn has_copy(&self, copy: CopyKey) -> bool {
        self.copies.contains_key(&copy)
    }

    /// Applies the next command of the log and returns what the host is to do.
    pub fn apply_command(
        &mut self,
        now: Ms,
        host: &impl Host,
        command: Command,
    ) -> Vec<HostRequest> {
        if let Command::Ended { by, process, ends } = &command {
            if self.is_this_process(*by, *process) {
                for end in ends {
                    self.copies.remove(&(end.subscriber, end.position));
                }
            }
        }
        let given_up =
            matches!(&command, Command::GivenUp { instance, .. } if *instance == self.me);
        if matches!(&command, Command::Spread { by, process, .. } if self.is_this_process(*by, *process))
        {
            self.requested_at = None;
        }
        let mut requests = Vec::new();
        for effect in self.state.apply(command) {
            match effect {
                Effect::Assigned {
                    to,
                    ticket,
                    subscriber,
                    position,
                    end,
                } if to == self.me && self.started => {
                    let requested_at = ticket.and_then(|ticket| self.tickets.get(&ticket)).copied();
                    let copy = (subscriber, position);
                    requests.extend(match (requested_at, end) {
                        (Some(requested_at), None) => self.request_submit(now, requested_at, copy),
                        _ => self.take_over_copy(now, host, copy, end),
                    });
                }
                Effect::Accepted {
                    by,
                    process,
                    number,
                    ..
                } if self.is_this_process(by, process) => {
                    self.submissions
                        .remove(&number)
                        .is_some()
                        .then(|| requests.push(HostRequest::Accepted(number)));
                }
                Effect::Rejected {
                    by,
                    process,
                    number,
                    reason,
                } if self.is_this_process(by, process) => {
                    self.submissions
                        .remove(&number)
                        .is_some()
                        .then(|| requests.push(HostRequest::Rejected(number, reason)));
                }
                Effect::BroadcastCompleted { id, outcomes, .. } => {
                    requests.push(HostRequest::BroadcastCompleted(id, outcomes))
                }
                _ => (),
            }
        }
        if given_up {
            // Other instances report the outcomes of these copies.
            self.drop_unassigned();
        }
        requests.extend(self.take_over(now, host));
        requests
    }

    /// The patience counts from the broadcast's acceptance, or from this process's request for copies if that
    /// was earlier: the leader that gives up this instance's copies counts from a later time, on its own
    /// clock. A process that was suspended past the deadline has never submitted the copy, and does not
    /// submit it now.
    fn request_submit(&mut self, now: Ms, requested_at: Ms, copy: CopyKey) -> Option<HostRequest> {
        let (subscriber, position) = copy;
        let broadcast = self.state.broadcast(position)?;
        let event = copy_id(&broadcast.id, subscriber);
        let patience_ends = broadcast.patience + requested_at.min(broadcast.at);
        self.copies.insert(
            copy,
            LocalCopy {
                since: now,
                ..LocalCopy::default()
            },
        );
        Some(match patience_ends <= now {
            true => HostRequest::NotifyOutcome {
                event,
                subscriber,
                position,
                outcome: Outcome::Rejected,
            },
            false => HostRequest::Submit {
                event,
                subscriber,
                position,
                deadline: patience_ends,
            },
        })
    }

    /// The broadcast at this position, while one of its copies has not ended.
    pub fn broadcast(&self, position: Position) -> Option<&Broadcast> {
        self.state.broadcast(position)
    }

    /// A call of the copy starts.
    pub fn on_attempt_started(&mut self, now: Ms, copy: CopyKey) {
        if let Some(local_copy) = self.copies.get_mut(&copy) {
            local_copy.first_call.get_or_insert(now);
        }
    }

    /// The copy has ended, and its outcome was acknowledged by the recipient of the notice, if there is one.
    pub fn on_outcome_acknowledged(&mut self, now: Ms, copy: CopyKey, outcome: Outcome) {
        if let Some(local_copy) = self
            .copies
            .get_mut(&copy)
            .filter(|local_copy| local_copy.outcome.is_none())
        {
            let called = local_copy.first_call.unwrap_or(now);
            local_copy.outcome = Some((outcome, called - local_copy.since, now - called));
        }
    }
}
