//! Listed targets, and the mailboxes of those that have an actor. Owned by the event loop, and
//! after a handover by the relay.

use std::collections::HashMap;
use std::net::SocketAddr;

use async_channel::Sender;
use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, TargetId, ZoneId};

use crate::messages::{Input, TargetCommand};
use crate::targets::{self, TargetContext};

struct Target {
    /// Mailbox of the target's actor, while there is one.
    mailbox: Option<Sender<TargetCommand>>,
    address: SocketAddr,
    zone: ZoneId,
}

pub struct TargetTable {
    context: TargetContext,
    targets: HashMap<TargetId, Target>,
}

impl TargetTable {
    pub fn new(context: TargetContext) -> Self {
        TargetTable {
            context,
            targets: HashMap::new(),
        }
    }

    /// Adds a listed target, or updates its address and zone.
    pub fn upsert(&mut self, id: &TargetId, address: SocketAddr, zone: ZoneId) {
        let Some(target) = self.targets.get_mut(id) else {
            self.targets.insert(
                id.clone(),
                Target {
                    mailbox: None,
                    address,
                    zone,
                },
            );
            return;
        };
        target.zone = zone;
        if target.address == address {
            return;
        }
        target.address = address;
        // An actor that starts later receives the current address.
        if let Some(mailbox) = &target.mailbox {
            let _ = mailbox.try_send(TargetCommand::AddressChanged(address));
        }
    }

    /// Removes a target. Its actor ends when the mailbox is dropped, and closes its idle
    /// connections.
    pub fn remove(&mut self, id: &TargetId) {
        self.targets.remove(id);
    }

    pub fn contains(&self, id: &TargetId) -> bool {
        self.targets.contains_key(id)
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    pub fn zone(&self, id: &TargetId) -> ZoneId {
        self.targets
            .get(id)
            .map_or(ZoneId::UNKNOWN, |target| target.zone)
    }

    pub fn address(&self, id: &TargetId) -> Option<SocketAddr> {
        self.targets.get(id).map(|target| target.address)
    }

    /// Handles the end of the target's actor.
    pub fn actor_stopped(&mut self, id: &TargetId) {
        if let Some(target) = self.targets.get_mut(id) {
            // Another actor may have started meanwhile.
            target.mailbox.take_if(|mailbox| mailbox.is_closed());
        }
    }

    /// Sends a command to a target's actor, which is started for a call, a health check or a
    /// connection to reuse if there is none.
    ///
    /// # Errors
    /// Returns the command if the target is not listed or its mailbox is full.
    pub fn send(&mut self, id: &TargetId, command: TargetCommand) -> Result<(), TargetCommand> {
        let max_queued = self.max_queued_commands();
        let Some(target) = self.targets.get_mut(id) else {
            return Err(command);
        };
        let has_actor = target
            .mailbox
            .as_ref()
            .is_some_and(|mailbox| !mailbox.is_closed());
        if !has_actor {
            if !starts_actor(&command) {
                // Without an actor no connection is idle and no call in flight: there is nothing to
                // close or cancel.
                return Ok(());
            }
            target.mailbox = Some(start_actor(&self.context, id, target.address));
        }
        let Some(mailbox) = &target.mailbox else {
            return Err(command);
        };
        if mailbox.len() >= max_queued {
            return Err(command);
        }
        mailbox
            .try_send(command)
            .map_err(|error| error.into_inner())
    }

    /// Limit of queued commands: every call that may be in flight, the return of its connection,
    /// and as many commands about idle connections. The mailbox is unbounded, since it allocates
    /// memory as commands arrive, whereas a bounded channel allocates all of it in advance.
    fn max_queued_commands(&self) -> usize {
        4 * self.context.server.config.decisions.max_calls_in_flight + 16
    }

    /// Transfers all idle connections to the successor process, now and as calls end.
    pub fn transfer_idle(&self) {
        for target in self.targets.values() {
            if let Some(mailbox) = &target.mailbox {
                let _ = mailbox.try_send(TargetCommand::TransferIdle);
            }
        }
    }

    /// Reports an attempt or health check that was never sent to the event loop, as not sent.
    pub fn fail(&self, target: TargetId, command: TargetCommand) {
        let input = match command {
            TargetCommand::Call(call) => Input::AttemptEnded {
                event: call.event,
                report: AttemptReport::from_outcome(AttemptOutcome::NotSent),
            },
            TargetCommand::HealthCheck => Input::HealthCheckEnded {
                target,
                outcome: AttemptOutcome::NotSent,
            },
            _ => return,
        };
        let to_event_loop = self.context.to_event_loop.clone();
        let report = async move { to_event_loop.send(input).await };
        self.context.server.executor.spawn(report).detach();
    }
}

fn starts_actor(command: &TargetCommand) -> bool {
    matches!(
        command,
        TargetCommand::Call(_) | TargetCommand::HealthCheck | TargetCommand::ConnectionReturned(_)
    )
}

fn start_actor(
    context: &TargetContext,
    id: &TargetId,
    address: SocketAddr,
) -> Sender<TargetCommand> {
    let (mailbox, inbox) = async_channel::unbounded();
    let own_mailbox = mailbox.downgrade();
    let actor = targets::run(context.clone(), id.clone(), address, inbox, own_mailbox);
    context.server.executor.spawn(actor).detach();
    mailbox
}
