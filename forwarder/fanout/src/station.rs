//! One instance's part: what it holds, asks for and tells, over its own copy of the state. It knows the time
//! only as it is told, in ms on one clock that does not run backwards. Reports may be lost and come twice, so
//! all that it asks is asked again until the log answers.

mod asking;

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;

use crate::command::{Broadcast, Command, News, Outcome};
use crate::host::{Host, HostRequest};
use crate::names::*;
use crate::state::FanoutState;

type Copy = (Subscriber, Position);

#[derive(Default)]
struct Held {
    since: Ms,
    first_call: Option<Ms>,
    told_out: bool,
    /// Its end and parts of its lag, to be told until the log has it; and when it was told last.
    over: Option<(Outcome, Ms, Ms)>,
    told: Option<Ms>,
}

pub struct LocalInstance {
    me: InstanceId,
    /// Its number; it has started once the log says so.
    process: u64,
    started: bool,
    state: FanoutState,
    tickets: BTreeMap<u64, Ms>,
    next_ticket: u64,
    next_number: u64,
    asked: Option<Ms>,
    held: BTreeMap<Copy, Held>,
    /// What clients handed in and the log has not decided.
    attempts: BTreeMap<u64, Attempt>,
    /// Where the host saw a subscriber parked or cold, until when it holds.
    resting: BTreeMap<Subscriber, Ms>,
}

struct Attempt {
    broadcast: Broadcast,
    since: Ms,
    asked: Option<Ms>,
}

impl LocalInstance {
    /// `process` is a number above those of the instance's earlier processes, as far as is known: the system
    /// clock's microseconds serve. `state` may be of any age, if `applied` is told all commands since.
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
            asked: None,
            held: BTreeMap::new(),
            attempts: BTreeMap::new(),
            resting: BTreeMap::new(),
        }
    }

    fn is_mine(&self, by: InstanceId, process: u64) -> bool {
        (by, process) == (self.me, self.process)
    }

    pub fn state(&self) -> &FanoutState {
        &self.state
    }

    pub fn me(&self) -> InstanceId {
        self.me
    }

    /// This process has started in the log: all that earlier ones told counts by now, and nothing more of it
    /// will. What they held is this one's. Sooner, a copy could be sent again whose end is on its way.
    fn starts(&mut self, now: Ms, host: &impl Host) -> Vec<HostRequest> {
        if self.started || self.state.process(self.me) != self.process {
            // Another process was ahead of this one in numbers.
            if !self.started && self.state.process(self.me) > self.process {
                self.process = self.state.process(self.me) + 1;
            }
            return Vec::new();
        }
        (self.started, self.asked) = (true, None);
        self.finds(now, host)
    }

    /// What the state says is here and this process does not know of.
    fn finds(&mut self, now: Ms, host: &impl Host) -> Vec<HostRequest> {
        let there = self.state.held_by(self.me);
        let unknown = there
            .into_iter()
            .filter(|(s, p, _)| !self.holds((*s, *p)))
            .collect::<Vec<_>>();
        unknown
            .into_iter()
            .filter_map(|(s, p, end)| self.found(now, host, (s, p), end))
            .collect()
    }

    /// A copy that this process did not ask for. What the ledger owes, the host goes on with. What it does not
    /// owe was never written down, or has ended and the log never heard how: sent again it could come after
    /// later ones of its key, or a second time, so it is written off.
    fn found(
        &mut self,
        now: Ms,
        host: &impl Host,
        copy: Copy,
        end: Option<Outcome>,
    ) -> Option<HostRequest> {
        let (subscriber, position) = copy;
        let event = copy_id(&self.state.broadcast(position)?.id, subscriber);
        self.held.insert(
            copy,
            Held {
                since: now,
                ..Held::default()
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

    /// The state as a whole, in place of commands that were missed.
    pub fn replaced(&mut self, now: Ms, host: &impl Host, state: FanoutState) -> Vec<HostRequest> {
        self.state = state;
        self.forget_others();
        let mut orders = self.starts(now, host);
        if self.started {
            orders.extend(self.finds(now, host));
        }
        orders
    }

    fn forget_others(&mut self) {
        let there = self.state.held_by(self.me);
        self.held
            .retain(|copy, _| there.iter().any(|(s, p, _)| (*s, *p) == *copy));
    }

    /// Whether the copy is this instance's to deliver or to tell the end of: asked once more before an order
    /// is carried out, when several commands were applied at once.
    pub fn holds(&self, copy: Copy) -> bool {
        self.held.contains_key(&copy)
    }

    pub fn applied(&mut self, now: Ms, host: &impl Host, command: Command) -> Vec<HostRequest> {
        if let Command::Ended { by, process, ends } = &command {
            if self.is_mine(*by, *process) {
                for end in ends {
                    self.held.remove(&(end.subscriber, end.position));
                }
            }
        }
        let given_up =
            matches!(&command, Command::GivenUp { instance, .. } if *instance == self.me);
        if matches!(&command, Command::Spread { by, process, .. } if self.is_mine(*by, *process)) {
            self.asked = None;
        }
        let mut orders = Vec::new();
        for news in self.state.apply(command) {
            match news {
                News::Hand {
                    to,
                    ticket,
                    subscriber,
                    position,
                    end,
                } if to == self.me && self.started => {
                    let asked = ticket.and_then(|ticket| self.tickets.get(&ticket)).copied();
                    let copy = (subscriber, position);
                    orders.extend(match (asked, end) {
                        (Some(asked), None) => self.hand(now, asked, copy),
                        _ => self.found(now, host, copy, end),
                    });
                }
                News::Taken {
                    by,
                    process,
                    number,
                    ..
                } if self.is_mine(by, process) => {
                    self.attempts
                        .remove(&number)
                        .is_some()
                        .then(|| orders.push(HostRequest::Accepted(number)));
                }
                News::Refused {
                    by,
                    process,
                    number,
                    why,
                } if self.is_mine(by, process) => {
                    self.attempts
                        .remove(&number)
                        .is_some()
                        .then(|| orders.push(HostRequest::Rejected(number, why)));
                }
                News::AllEnded { id, outcomes, .. } => {
                    orders.push(HostRequest::BroadcastCompleted(id, outcomes))
                }
                _ => (),
            }
        }
        if given_up {
            // Others tell the ends of all that.
            self.forget_others();
        }
        orders.extend(self.starts(now, host));
        orders
    }

    /// Its patience counts from the taking, and at the latest from when this process asked for it: whoever
    /// gives this instance up counts from later than that, on a clock of his own. A process that slept past it
    /// has never handed it in, and does not now.
    fn hand(&mut self, now: Ms, asked: Ms, copy: Copy) -> Option<HostRequest> {
        let (subscriber, position) = copy;
        let broadcast = self.state.broadcast(position)?;
        let event = copy_id(&broadcast.id, subscriber);
        let patience_ends = broadcast.patience + asked.min(broadcast.at);
        self.held.insert(
            copy,
            Held {
                since: now,
                ..Held::default()
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

    /// The broadcast of which it is a copy, while that is kept.
    pub fn fields(&self, position: Position) -> Option<&Broadcast> {
        self.state.broadcast(position)
    }

    /// A call of the copy goes out.
    pub fn on_attempt_started(&mut self, now: Ms, copy: Copy) {
        if let Some(held) = self.held.get_mut(&copy) {
            held.first_call.get_or_insert(now);
        }
    }

    /// The copy has its end, and whoever was to hear of it has.
    pub fn on_outcome_acknowledged(&mut self, now: Ms, copy: Copy, outcome: Outcome) {
        if let Some(held) = self.held.get_mut(&copy).filter(|held| held.over.is_none()) {
            let called = held.first_call.unwrap_or(now);
            held.over = Some((outcome, called - held.since, now - called));
        }
    }
}
