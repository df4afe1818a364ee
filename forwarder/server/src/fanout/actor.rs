//! The actor of broadcasts: applies the control group's log, requests copies for this instance from
//! the group, and proposes commands while this instance leads the group. Spawned by `server`.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use plankhill_decisions::interface::{Ms, TrafficTypeId};
use plankhill_fanout::{Command, Coordinator, HostRequest, InstanceId, Rejection};
use plankhill_hot_restart::SubmitResponse;
use plankhill_raft_groups::{GroupEvent, GroupId, GroupRequest, Purpose};
use slog::{debug, info, warn};

use super::state_machine::{decode_command, decode_snapshot, encode_command};
use super::{Broadcasts, PendingCopies, BUSY_POLL_INTERVAL};
use crate::context::ServerContext;
use crate::messages::Input;
use crate::stream::until;

/// Interval of the checks for commands to the control group, while no work is pending.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Limit of the time by which a call outlasts its event's deadline: the longest timeout that the
/// scheduler sets.
const MAX_CALL_OVERRUN: Ms = 10_000.0;
/// Interval between proposals of the fleet file's layout until the log contains the layout.
const LAYOUT_RETRY_INTERVAL: Ms = 2000.0;

pub(super) struct Actor {
    pub(super) context: ServerContext,
    pub(super) broadcasts: Rc<Broadcasts>,
    pub(super) to_event_loop: Sender<Input>,
    /// Ids of the traffic types, by name.
    pub(super) traffic_types: HashMap<String, TrafficTypeId>,
    /// The control group while this instance leads it.
    led_group: Option<GroupId>,
    coordinator: Coordinator,
    layout_proposed_at: Ms,
    last_number: u64,
    reachable: BTreeSet<InstanceId>,
}

/// Runs as long as the process; returns immediately if no lists are configured.
pub async fn run(
    context: ServerContext,
    group_events: Receiver<GroupEvent>,
    to_event_loop: Sender<Input>,
) {
    let Some(broadcasts) = context.fanout.clone() else {
        return;
    };
    let mut actor = Actor::new(context, broadcasts, to_event_loop);
    loop {
        let wake_ups = actor.broadcasts.wake_ups.clone();
        let wake_ups = async {
            let _ = wake_ups.recv().await;
            None
        };
        let first = future::or(async { Some(group_events.recv().await) }, wake_ups);
        let mut requests = match until(actor.next_poll(), first).await.flatten() {
            Some(Ok(event)) => actor.on_group_event(event),
            Some(Err(_)) => return,
            None => Vec::new(),
        };
        while let Ok(event) = group_events.try_recv() {
            requests.extend(actor.on_group_event(event));
        }
        for request in requests {
            actor.run_request(request).await;
        }
        let now = actor.context.clock.now();
        actor.send_reports(now);
        actor.propose_due(now);
        actor.pass_unsubmitted_outcomes().await;
    }
}

impl Actor {
    fn new(
        context: ServerContext,
        broadcasts: Rc<Broadcasts>,
        to_event_loop: Sender<Input>,
    ) -> Self {
        let names = context.config.names.traffic.iter().enumerate();
        let traffic_types = names
            .map(|(position, name)| (name.clone(), TrafficTypeId(position)))
            .collect();
        let reachable = BTreeSet::from([broadcasts.instance.borrow().instance_id()]);
        Actor {
            context,
            broadcasts,
            to_event_loop,
            traffic_types,
            led_group: None,
            coordinator: Coordinator::default(),
            layout_proposed_at: f64::NEG_INFINITY,
            last_number: 0,
            reachable,
        }
    }

    fn next_poll(&self) -> Instant {
        let is_idle = self.broadcasts.instance.borrow().is_idle()
            && self.broadcasts.unsubmitted.borrow().is_empty();
        let interval = if is_idle {
            IDLE_POLL_INTERVAL
        } else {
            BUSY_POLL_INTERVAL
        };
        Instant::now() + interval
    }

    /// Handles an event of the control group. Returns requests of the local instance to its host.
    fn on_group_event(&mut self, event: GroupEvent) -> Vec<HostRequest> {
        let now = self.context.clock.now();
        match event {
            GroupEvent::Applied { command, .. } => {
                let Some(command) = decode_command(&command) else {
                    return Vec::new();
                };
                let pending = self.broadcasts.pending.borrow();
                let mut instance = self.broadcasts.instance.borrow_mut();
                return instance.apply_command(now, &PendingCopies(&pending), command);
            }
            GroupEvent::SnapshotInstalled { state } => {
                let Some(state) = decode_snapshot(&state) else {
                    warn!(self.context.log, "control group snapshot cannot be decoded");
                    return Vec::new();
                };
                let pending = self.broadcasts.pending.borrow();
                let mut instance = self.broadcasts.instance.borrow_mut();
                return instance.install_snapshot(now, &PendingCopies(&pending), state);
            }
            GroupEvent::ReportReceived {
                incarnation, body, ..
            } => {
                // An instance may only send commands of its own.
                let sender = InstanceId(incarnation.0);
                let command = Command::from_bytes(&body);
                if let Some(command) = command.filter(|command| command.by() == Some(sender)) {
                    self.propose(&command);
                }
            }
            GroupEvent::Elected {
                group,
                purpose: Purpose::Control,
                ..
            } => {
                info!(self.context.log, "broadcasts: leads the control group");
                self.led_group = Some(group);
                self.coordinator = Coordinator::default();
            }
            GroupEvent::Deposed { group } => {
                if self.led_group == Some(group) {
                    self.led_group = None;
                }
            }
            GroupEvent::PeerChanged {
                incarnation,
                reachable,
                ..
            } => {
                let id = InstanceId(incarnation.0);
                if reachable {
                    self.reachable.insert(id);
                } else {
                    self.reachable.remove(&id);
                }
            }
            GroupEvent::Elected { .. }
            | GroupEvent::Committed { .. }
            | GroupEvent::Discarded { .. } => (),
        }
        Vec::new()
    }

    /// Proposes a command. A proposal that a full ring rejects is repeated, since each due command
    /// is polled again.
    fn propose(&mut self, command: &Command) {
        let (Some(group), Some(raft)) = (self.led_group, &self.context.raft) else {
            return;
        };
        let number = self.last_number + 1;
        let command = encode_command(command);
        if raft
            .request(GroupRequest::Propose {
                group,
                number,
                command,
            })
            .is_ok()
        {
            self.last_number = number;
        }
    }

    /// Sends the due commands of this instance as reports to the control group's leader.
    fn send_reports(&self, now: Ms) {
        let Some(raft) = &self.context.raft else {
            return;
        };
        let commands = self.broadcasts.instance.borrow_mut().poll_commands(now);
        for command in commands {
            let requests_copies = matches!(command, Command::Spread { .. });
            if self.broadcasts.shutting_down.get() && requests_copies {
                continue;
            }
            let _ = raft.request(GroupRequest::Report {
                body: command.to_bytes(),
            });
        }
    }

    /// Proposes the due commands while this instance leads the control group.
    fn propose_due(&mut self, now: Ms) {
        if self.context.raft.is_none() || self.led_group.is_none() {
            return;
        }
        for command in self.due_commands(now) {
            if let Command::Moved {
                subscriber,
                from,
                to,
            } = &command
            {
                let state = self.broadcasts.instance.borrow();
                let judged = state.state().judged(*subscriber);
                info!(self.context.log, "subscriber moves to another cohort";
                    "destination" => subscriber.0, "from" => from.0, "to" => to.0,
                    "judged" => ?judged);
            }
            self.propose(&command);
        }
    }

    fn due_commands(&mut self, now: Ms) -> Vec<Command> {
        let reachable: Vec<InstanceId> = self.reachable.iter().copied().collect();
        let instance = self.broadcasts.instance.borrow();
        let state = instance.state();
        let mut commands = self
            .coordinator
            .poll_commands(now, state, &reachable, MAX_CALL_OVERRUN);
        let layout = &self.broadcasts.layout;
        let may_propose_layout = now - self.layout_proposed_at >= LAYOUT_RETRY_INTERVAL;
        if !state.has_layout(layout) && may_propose_layout {
            self.layout_proposed_at = now;
            commands.insert(0, Command::Laid(layout.clone()));
        }
        commands
    }

    async fn run_request(&mut self, request: HostRequest) {
        match request {
            HostRequest::Accepted(number) => self.answer(number, SubmitResponse::Accepted),
            HostRequest::Rejected(number, reason) => {
                debug!(self.context.log, "broadcast rejected"; "reason" => ?reason);
                let retry_after = match reason {
                    Rejection::Full => self.context.config.decisions.max_retry_after,
                    _ => None,
                };
                self.answer(number, SubmitResponse::Rejected(retry_after));
            }
            HostRequest::BroadcastCompleted(id, [completed, rejected, abandoned]) => {
                debug!(self.context.log, "broadcast completed"; "broadcast" => &id.0,
                    "completed" => completed, "rejected" => rejected, "abandoned" => abandoned);
            }
            HostRequest::NotifyOutcome {
                event,
                subscriber,
                position,
                outcome,
            } => {
                let mut unsubmitted = self.broadcasts.unsubmitted.borrow_mut();
                unsubmitted.add(event, (subscriber, position), outcome);
            }
            HostRequest::Submit {
                event,
                subscriber,
                position,
                deadline,
            } => {
                self.submit_copy(event, (subscriber, position), deadline)
                    .await;
            }
        }
    }

    fn answer(&self, number: u64, response: SubmitResponse) {
        let client = self.broadcasts.waiting_clients.borrow_mut().remove(&number);
        if let Some(client) = client {
            let _ = client.try_send(response);
        }
    }
}
