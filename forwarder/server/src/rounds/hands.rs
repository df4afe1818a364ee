//! What the decisions are carried out with.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use async_channel::Sender;
use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_hot_restart::{Verdict, Word};
use plankhill_raft_groups::GroupId;
use slog::{debug, warn};

use super::keeps::Keeps;
use super::past::Past;
use super::promises::Promises;
use crate::budgets::Place;
use crate::common::Common;
use crate::exchange::Body;
use crate::left_out::LeftOut;
use crate::mail::{CameIn, Handed, Notice, Returned, Sending, ToTarget};
use crate::passes::Told;
use crate::roster::Roster;

/// What is kept of an event until it ends.
pub(super) struct Held {
    /// Of the request that handed it in; another may come under the same id.
    pub(super) number: u64,
    pub(super) patience_ends: Ms,
    pub(super) fingerprint: Option<Rc<str>>,
    pub(super) body: Body,
    /// Until the first round is done.
    pub(super) answer: Option<Sender<Verdict>>,
}

/// All that the decisions are carried out with.
pub(super) struct Hands {
    pub(super) common: Common,
    pub(super) keeps: Keeps,
    pub(super) left_out: LeftOut,
    pub(super) promises: Promises,
    pub(super) now: Ms,
    pub(super) held: HashMap<EventId, Held>,
    /// Targets with a ping out.
    pub(super) pings: HashSet<TargetId>,
    /// The process that this one took over from, while it has calls out.
    pub(super) elder: Option<Sender<Told>>,
    /// Events with a send out, also those that are over: an id is not taken again before that has ended.
    pub(super) out: HashSet<EventId>,
    pub(super) past: Past,
    /// Where copies are kept: events that were delivered or written off here, which no record brings back.
    pub(super) settled: Past,
    /// Committed sends that wait for the lease of their group.
    pub(super) stuck: Vec<(TargetId, Sending)>,
    /// Ends found in adopted records that the notices' mailbox had no room for yet.
    pub(super) untold: VecDeque<Notice>,
    /// Events of an adopted record that wait for the end of a call that was withdrawn here under the same id.
    pub(super) later: Vec<(GroupId, EventId)>,
    pub(super) targets: Roster,
    pub(super) outbox: Vec<(TargetId, ToTarget)>,
    pub(super) notices: Vec<Notice>,
    pub(super) unheard: usize,
    pub(super) wake_at: Option<Ms>,
}

impl Hands {
    pub(super) fn hand_over(&mut self, to: &mut Scheduler, what: CameIn) {
        match what {
            CameIn::Event(Handed {
                event,
                patience_ends,
                ..
            }) => {
                to.accept_event(
                    event.id,
                    event.destination,
                    event.traffic,
                    patience_ends,
                    event.key,
                );
            }
            CameIn::Withdrawn(id, number) => {
                if self.held.get(&id).is_some_and(|held| held.number == number) {
                    self.held.remove(&id);
                    self.over(&id);
                    to.withdraw_event(&id);
                }
            }
            CameIn::SendEnded(event, ended) => {
                self.out.remove(&event);
                if ended.event_complete {
                    self.over(&event);
                    self.common
                        .fanout
                        .iter()
                        .for_each(|fanout| fanout.over(&event, true));
                    self.settled.add(&event, self.now);
                    self.held.remove(&event);
                } else if !ended.outcome.may_have_run() {
                    self.keeps.unrun(&event);
                }
                if let Err(UnknownId(what)) = to.on_attempt_ended(&event, ended) {
                    warn!(self.common.log, "a send ended that is not known"; "event" => &*event.0, "what" => what);
                }
                self.has_ended(to, &event);
            }
            CameIn::PingEnded { target, fate } => {
                self.pings.remove(&target);
                if to.on_health_check_ended(&target, fate).is_err() {
                    debug!(self.common.log, "a ping ended at a target that is gone"; "target" => &*target.0);
                }
            }
            CameIn::List(page) => self.listed(to, &page),
            CameIn::AtRest(target) => self.targets.at_rest(&target),
            CameIn::Kept(target, stream, since) => {
                let goes_to = stream.get_ref().peer_addr().ok();
                if let Some(to) = goes_to.filter(|to| self.targets.address(&target) == Some(*to)) {
                    let place = Place::free(&target);
                    let back = Returned {
                        stream,
                        to,
                        since,
                        place,
                    };
                    let _ = self
                        .targets
                        .tell(&target, ToTarget::Returned(Box::new(back)));
                }
            }
            CameIn::Look(reply) => drop(reply.try_send(())),
            CameIn::HandOver { .. } => (), // kept for the end of the round
            CameIn::Heard(events) => {
                self.unheard -= events.len();
                for id in events {
                    self.over(&id);
                    self.common
                        .fanout
                        .iter()
                        .for_each(|fanout| fanout.over(&id, false));
                    to.on_completion_acknowledged(&id);
                }
            }
            CameIn::TellEnd(taken, end) => self.tells(to, taken, end),
            // Who was told meanwhile that it failed waits no more: it is not done behind his back.
            CameIn::Operator(_, reply) if reply.is_closed() => (),
            CameIn::Operator(order, reply) => {
                let _ = reply.try_send(self.order(to, order));
            }
            CameIn::Ground(news) => self.ground_says(to, news),
            CameIn::Closing => to.begin_shutdown(self.now + self.common.told.shutdown_timeout),
        }
    }

    pub(super) fn over(&mut self, event: &EventId) {
        self.keeps.over(event);
        self.past.add(event, self.now);
    }

    /// The calls of the process before are taken back there.
    pub(super) fn tell_elder(&mut self, id: &TargetId) {
        if let Some(elder) = &self.elder {
            let _ = elder.try_send((Word::TakeBack(id.clone()), None));
        }
    }
}
