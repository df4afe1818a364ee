//! The actor of the decisions: hands all that came in to one round of the module and carries out what it
//! decides. It owns the ledger, the bodies of the events held, and the mailboxes of the targets. What was
//! taken on or sent is in the ledger before a client or target can know of it.

mod adopting;
mod carrying;
mod copies;
mod hands;
mod keeps;
mod listing;
mod past;
pub mod promises;
mod restoring;
mod staging;
mod standing;
#[cfg(test)]
mod stories;
mod taking;
mod telling;

use std::cell::Cell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_hot_restart::{State, Verdict};
use serde_json::Value;
use slog::error;

use self::copies::Copies;
use self::hands::Hands;
use self::keeps::Keeps;
use self::past::Past;
use crate::common::Common;
use crate::exchange::until;
use crate::left_out::LeftOut;
use crate::look;
use crate::mail::{After, CameIn, Notice, StoodStill};
use crate::passes::Told;
use crate::roster::Roster;
use crate::targets::Reach;

/// Those who wait to be heard beyond that wait at their end.
pub const MAILBOX: usize = 1024;

pub struct Rounds {
    hands: Hands,
    forwarder: Scheduler,
    to_notices: Sender<Notice>,
    closing: bool,
    /// Events taken in the round, whose clients have no answer yet.
    fresh: Vec<EventId>,
    /// A new process is to take over once the round is over.
    asked: Option<(Sender<StoodStill>, Receiver<After>)>,
}

impl Rounds {
    pub fn new(
        common: Common,
        ledger: EventLog,
        left_out: LeftOut,
        to_notices: Sender<Notice>,
        to_rounds: Sender<CameIn>,
    ) -> Self {
        let now = common.clock.now();
        let forwarder = Scheduler::new(common.told.decisions.clone(), now);
        let reach = Reach {
            common: common.clone(),
            to_rounds,
            idle: Rc::new(Cell::new(0)),
        };
        let keeps = match common.copies() {
            Some(ground) => Keeps::Copies(Box::new(Copies::new(ground.clone(), ledger))),
            None => Keeps::File(Box::new(ledger)),
        };
        let hands = Hands {
            common,
            keeps,
            left_out,
            promises: Default::default(),
            now,
            held: HashMap::new(),
            pings: HashSet::new(),
            elder: None,
            out: HashSet::new(),
            past: Past::default(),
            settled: Past::default(),
            stuck: Vec::new(),
            untold: VecDeque::new(),
            later: Vec::new(),
            targets: Roster::new(reach),
            outbox: Vec::new(),
            notices: Vec::new(),
            unheard: 0,
            wake_at: None,
        };
        Rounds {
            hands,
            forwarder,
            to_notices,
            closing: false,
            fresh: Vec::new(),
            asked: None,
        }
    }

    /// Serves until it is closing and nothing is held or unheard.
    pub async fn run(mut self, mailbox: Receiver<CameIn>) {
        // Decisions are as of then: nothing that came due in a stall since is decided without another look.
        let mut as_of = Instant::now();
        while !(self.closing && self.hands.is_done()) {
            let first = match self.hands.wake_at {
                Some(at) => until(self.hands.common.clock.instant(at), mailbox.recv()).await,
                None => Some(mailbox.recv().await),
            };
            let before = std::mem::replace(&mut as_of, Instant::now());
            self.hands.now = self.hands.common.clock.at(as_of);
            if as_of - before > look::STILL {
                look::all_sockets().await;
            }
            let mut came_in = match first {
                None => Vec::new(),
                Some(Ok(first)) => vec![first],
                Some(Err(_)) => return,
            };
            while let Ok(next) = mailbox.try_recv() {
                came_in.push(next);
            }
            self.round(came_in);
            if let Some((state, outcome)) = self.asked.take() {
                match self.stand_still(state, outcome).await {
                    After::GoesOn => self.hands.wake_at = Some(self.hands.common.clock.now()),
                    After::Relays(to, from) => return self.relay(to, from).run(mailbox).await,
                    After::Ends => return,
                }
            }
        }
    }

    /// The first round: the list, and what an earlier process noted of its targets and still owes.
    pub fn restore(&mut self, list: &Value, owed: Vec<PendingEvent>) {
        self.hands.now = self.hands.common.clock.now();
        self.decide(|forwarder, hands| {
            hands.listed(forwarder, list);
            // What went while no process ran is not in the list, and no word of it will come.
            hands
                .keeps
                .forget_targets(|target| hands.targets.holds(&TargetId(target.into())));
            let Keeps::File(ledger) = &hands.keeps else {
                return hands.founds();
            };
            for (target, since, usual) in ledger.warming_up_targets() {
                forwarder.restore_warm_up(&TargetId(target.into()), since, usual);
            }
            owed.into_iter()
                .for_each(|event| hands.restore(forwarder, event));
        });
    }

    /// The first round of a process that takes over: the list may have news. What the module kept is read
    /// before, by `Rounds::inherit`.
    pub fn resume(&mut self, list: &Value) {
        self.hands.now = self.hands.common.clock.now();
        self.decide(|forwarder, hands| {
            hands.listed(forwarder, list);
            hands
                .keeps
                .forget_targets(|target| hands.targets.holds(&TargetId(target.into())));
        });
        // Much may be due.
        self.hands.wake_at = Some(self.hands.common.clock.now());
    }

    /// Goes on from what another process handed over, of which `elder` still has calls out.
    pub fn inherit(
        &mut self,
        forwarder: Scheduler,
        state: State,
        owed: Vec<PendingEvent>,
        elder: Sender<Told>,
    ) {
        self.forwarder = forwarder.resume(self.hands.common.told.decisions.clone());
        self.hands.inherit(state, owed);
        self.hands.elder = Some(elder);
    }

    fn round(&mut self, mut came_in: Vec<CameIn>) {
        if came_in.iter().any(adopting::turns) {
            // Whether a new event can be taken hangs on it.
            let (news, rest) = came_in
                .into_iter()
                .partition(|what| matches!(what, CameIn::Ground(_)));
            came_in = rest;
            let news: Vec<CameIn> = news;
            self.decide(|forwarder, hands| {
                news.into_iter()
                    .for_each(|what| hands.hand_over(forwarder, what))
            });
        }
        self.closing |= came_in.iter().any(|what| matches!(what, CameIn::Closing));
        let mut accepted = Vec::with_capacity(came_in.len());
        let mut fresh = Vec::new();
        for what in came_in {
            if let CameIn::HandOver { state, outcome } = what {
                // One that ends hands nothing over: the folder is free soon.
                self.asked = (!self.closing).then_some((state, outcome));
                continue;
            }
            if let CameIn::Event(handed) = &what {
                let known = self.forwarder.knows_destination(handed.event.destination);
                if self.closing || !known || !self.hands.takes(handed) {
                    let wait = self
                        .hands
                        .common
                        .told
                        .decisions
                        .max_retry_after
                        .filter(|_| !self.closing);
                    let _ = handed.answer.try_send(Verdict::Refused(wait));
                    continue;
                }
                fresh.push(handed.event.id.clone());
            }
            accepted.push(what);
        }
        if let Err(e) = self.hands.keeps.commit() {
            // Not on the disk is not taken on.
            error!(self.hands.common.log, "the ledger cannot be written"; "error" => %e);
            accepted.retain(|what| !matches!(what, CameIn::Event(_)));
            for id in fresh.drain(..) {
                self.hands.keeps.over(&id);
                self.hands
                    .held
                    .remove(&id)
                    .and_then(|h| h.answer)
                    .map(|a| a.try_send(Verdict::Refused(None)));
            }
        }
        self.fresh = fresh;
        self.decide(|forwarder, hands| {
            accepted
                .into_iter()
                .for_each(|what| hands.hand_over(forwarder, what))
        });
        for id in std::mem::take(&mut self.fresh) {
            let answer = self
                .hands
                .held
                .get_mut(&id)
                .and_then(|held| held.answer.take());
            answer.map(|answer| answer.try_send(Verdict::TakenOn));
        }
    }

    fn decide(&mut self, came_in: impl FnOnce(&mut Scheduler, &mut Hands)) {
        let Rounds {
            hands,
            forwarder,
            to_notices,
            closing,
            fresh,
            ..
        } = self;
        let mut writes = true;
        if hands.wake_at.is_some_and(|at| at <= hands.now) {
            hands.wake_at = None;
        }
        let hand_over = |forwarder: &mut Scheduler, hands: &mut Hands| -> Result<(), UnknownId> {
            came_in(forwarder, hands);
            Ok(())
        };
        let _ = forwarder.run_iteration(hands.now, hand_over, hands);
        if hands.keeps.copies().is_some() {
            // What is not committed does not go out.
            hands.stage(std::mem::take(fresh));
            hands.leave(to_notices);
            return hands
                .common
                .ready
                .set(!*closing && !hands.targets.is_empty());
        }
        if let Err(e) = hands.keeps.commit() {
            // What is not on the disk does not go out: a restart must know of each send.
            error!(hands.common.log, "the ledger cannot be written"; "error" => %e);
            hands.unsend();
            writes = false;
        }
        hands
            .common
            .ready
            .set(writes && !*closing && !hands.targets.is_empty());
        hands.carry_out(to_notices);
    }
}
