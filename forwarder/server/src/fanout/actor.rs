//! Hears the control group's log, asks it for what this instance is to do, and proposes while it leads.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use plankhill_decisions::interface::*;
use plankhill_fanout::{Command, Coordinator, HostRequest, InstanceId, Rejection};
use plankhill_hot_restart::Verdict;
use plankhill_raft_groups::{GroupEvent, GroupId, GroupRequest as ToFleet, Purpose};
use slog::{debug, info, warn};

use super::{machine, FanOut, Owed, BUSY};
use crate::common::Common;
use crate::exchange::until;
use crate::mail::CameIn;

/// Between looks at what is to be asked, while there is nothing.
const IDLE: Duration = Duration::from_millis(200);
/// A call may outlast its event's patience by so much, in ms: the longest time a module gives one.
const LONGEST_CALL: Ms = 10_000.0;
/// Between proposals of what the file says, until the log has it.
const LAYING: Ms = 2000.0;

pub(super) struct Actor {
    pub(super) common: Common,
    pub(super) fanout: Rc<FanOut>,
    pub(super) to_rounds: Sender<CameIn>,
    /// The control group while this instance leads it.
    leads: Option<GroupId>,
    leading: Coordinator,
    laid: Ms,
    number: u64,
    up: BTreeSet<InstanceId>,
    pub(super) names: HashMap<String, TrafficTypeId>,
}

/// Runs as long as the process; does nothing where no lists are named.
pub async fn run(common: Common, news: Receiver<GroupEvent>, to_rounds: Sender<CameIn>) {
    let Some(fanout) = common.fanout.clone() else {
        return;
    };
    let names = common.told.names.traffic.iter().enumerate();
    let names = names
        .map(|(at, name)| (name.clone(), TrafficTypeId(at)))
        .collect();
    let up = BTreeSet::from([fanout.station.borrow().me()]);
    let (leads, leading) = (None, Coordinator::default());
    let mut actor = Actor {
        common,
        fanout,
        to_rounds,
        leads,
        leading,
        laid: f64::NEG_INFINITY,
        number: 0,
        up,
        names,
    };
    loop {
        let idle =
            actor.fanout.station.borrow().is_idle() && actor.fanout.telling.borrow().is_empty();
        let by = Instant::now() + if idle { IDLE } else { BUSY };
        let bell = actor.fanout.bell.1.clone();
        let rung = async {
            let _ = bell.recv().await;
            None
        };
        let first = future::or(async { Some(news.recv().await) }, rung);
        let mut orders = match until(by, first).await.flatten() {
            Some(Ok(news)) => actor.hears(news),
            Some(Err(_)) => return,
            None => Vec::new(),
        };
        while let Ok(news) = news.try_recv() {
            orders.extend(actor.hears(news));
        }
        actor.carries_out(orders).await;
        actor.asks();
        actor.tells().await;
    }
}

impl Actor {
    fn hears(&mut self, news: GroupEvent) -> Vec<HostRequest> {
        let now = self.common.clock.now();
        match news {
            GroupEvent::Applied { command, .. } => {
                let Some(command) = machine::from_bytes(&command) else {
                    return Vec::new();
                };
                let owed = self.fanout.owed.borrow();
                self.fanout
                    .station
                    .borrow_mut()
                    .applied(now, &Owed(&owed), command)
            }
            GroupEvent::SnapshotInstalled { state } => {
                let Some(state) = machine::state(&state) else {
                    warn!(self.common.log, "the control group's state cannot be read");
                    return Vec::new();
                };
                let owed = self.fanout.owed.borrow();
                self.fanout
                    .station
                    .borrow_mut()
                    .replaced(now, &Owed(&owed), state)
            }
            GroupEvent::ReportReceived {
                incarnation, body, ..
            } => {
                // Nobody speaks for another.
                let told = Command::from_bytes(&body)
                    .filter(|c| c.by() == Some(InstanceId(incarnation.0)));
                told.into_iter().for_each(|command| self.proposes(&command));
                Vec::new()
            }
            GroupEvent::Elected {
                group,
                purpose: Purpose::Control,
                ..
            } => {
                info!(self.common.log, "leads the control group");
                (self.leads, self.leading) = (Some(group), Coordinator::default());
                Vec::new()
            }
            GroupEvent::Deposed { group } => {
                self.leads = self.leads.filter(|leads| *leads != group);
                Vec::new()
            }
            GroupEvent::PeerChanged {
                incarnation,
                reachable: up,
                ..
            } => {
                let id = InstanceId(incarnation.0);
                let _ = if up {
                    self.up.insert(id)
                } else {
                    self.up.remove(&id)
                };
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A full ring refuses it: all of it is asked again.
    fn proposes(&mut self, command: &Command) {
        let (Some(group), Some(ground)) = (self.leads, &self.common.ground) else {
            return;
        };
        let command = machine::to_bytes(command);
        if ground
            .order(ToFleet::Propose {
                group,
                number: self.number + 1,
                command,
            })
            .is_ok()
        {
            self.number += 1;
        }
    }

    fn asks(&mut self) {
        let now = self.common.clock.now();
        let Some(ground) = self.common.ground.clone() else {
            return;
        };
        let asked = self.fanout.station.borrow_mut().poll_commands(now);
        for command in asked {
            if self.fanout.closing.get() && matches!(command, Command::Spread { .. }) {
                continue;
            }
            let _ = ground.order(ToFleet::Report {
                body: command.to_bytes(),
            });
        }
        if self.leads.is_none() {
            return;
        }
        let up: Vec<InstanceId> = self.up.iter().copied().collect();
        let station = self.fanout.station.borrow();
        let mut commands = self
            .leading
            .poll_commands(now, station.state(), &up, LONGEST_CALL);
        if !station.state().is_laid(&self.fanout.layout) && now - self.laid >= LAYING {
            self.laid = now;
            commands.insert(0, Command::Laid(self.fanout.layout.clone()));
        }
        drop(station);
        for command in commands {
            if let Command::Moved {
                subscriber,
                from,
                to,
            } = &command
            {
                let judged = self.fanout.station.borrow().state().judged(*subscriber);
                info!(self.common.log, "a subscriber is to be regrouped"; "destination" => subscriber.0,
                    "from" => from.0, "to" => to.0, "judged" => ?judged);
            }
            self.proposes(&command);
        }
    }

    async fn carries_out(&mut self, orders: Vec<HostRequest>) {
        for order in orders {
            match order {
                HostRequest::Accepted(number) => self.answers(number, Verdict::TakenOn),
                HostRequest::Rejected(number, why) => {
                    debug!(self.common.log, "a broadcast is refused"; "why" => ?why);
                    let wait = Some(why).filter(|why| *why == Rejection::Full);
                    let wait = wait.and(self.common.told.decisions.max_retry_after);
                    self.answers(number, Verdict::Refused(wait));
                }
                HostRequest::BroadcastCompleted(id, [completed, dismissed, written_off]) => {
                    debug!(self.common.log, "a broadcast has ended"; "broadcast" => &id.0,
                        "completed" => completed, "dismissed" => dismissed, "written_off" => written_off);
                }
                HostRequest::NotifyOutcome {
                    event,
                    subscriber,
                    position,
                    outcome,
                } => {
                    self.fanout
                        .telling
                        .borrow_mut()
                        .add(event, (subscriber, position), outcome);
                }
                HostRequest::Submit {
                    event,
                    subscriber,
                    position,
                    deadline: patience_ends,
                } => {
                    self.hands_in(event, (subscriber, position), patience_ends)
                        .await;
                }
            }
        }
    }

    fn answers(&self, number: u64, verdict: Verdict) {
        let waits = self.fanout.waiting.borrow_mut().remove(&number);
        waits.map(|answer| answer.try_send(verdict));
    }
}
