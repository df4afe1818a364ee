//! The targets that are listed, and the mailboxes of those that have an actor.

use std::collections::HashMap;
use std::net::SocketAddr;

use plankhill_decisions::interface::*;

use crate::mail::{CameIn, ToTarget};
use crate::targets::{self, Reach};

struct Target {
    /// Of its actor, while it has one.
    mailbox: Option<async_channel::Sender<ToTarget>>,
    address: SocketAddr,
    zone: ZoneId,
}

pub struct Roster {
    reach: Reach,
    targets: HashMap<TargetId, Target>,
}

impl Roster {
    pub fn new(reach: Reach) -> Self {
        Roster {
            reach,
            targets: HashMap::new(),
        }
    }

    pub fn place(&mut self, id: &TargetId, address: SocketAddr, zone: ZoneId) {
        if let Some(target) = self.targets.get_mut(id) {
            target.zone = zone;
            if std::mem::replace(&mut target.address, address) != address {
                // An actor that starts later is told the address then.
                target
                    .mailbox
                    .as_ref()
                    .map(|mailbox| mailbox.try_send(ToTarget::Moved(address)));
            }
            return;
        }
        self.targets.insert(
            id.clone(),
            Target {
                mailbox: None,
                address,
                zone,
            },
        );
    }

    /// Its actor ends with its mailbox, its connections with their calls.
    pub fn remove(&mut self, id: &TargetId) {
        self.targets.remove(id);
    }

    pub fn holds(&self, id: &TargetId) -> bool {
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

    /// The target's actor has ended.
    pub fn at_rest(&mut self, id: &TargetId) {
        let target = self.targets.get_mut(id);
        target.and_then(|target| target.mailbox.take_if(|mailbox| mailbox.is_closed()));
    }

    /// Gives a word to a target's actor, which starts with its first call; what can't be given comes back.
    pub fn tell(&mut self, id: &TargetId, word: ToTarget) -> Result<(), ToTarget> {
        // Room for every call that may be out, its return, and as many words about idle connections. The
        // mailbox itself takes memory as words come, which a bounded one would take at once.
        let most = 4 * self.reach.common.told.decisions.max_calls_in_flight + 16;
        let Some(target) = self.targets.get_mut(id) else {
            return Err(word);
        };
        let mailbox = match target
            .mailbox
            .as_ref()
            .filter(|mailbox| !mailbox.is_closed())
        {
            Some(mailbox) => mailbox,
            None if matches!(
                word,
                ToTarget::Send(_) | ToTarget::Ping | ToTarget::Returned(..)
            ) =>
            {
                let (mailbox, inbox) = async_channel::unbounded();
                let own = mailbox.downgrade();
                let actor =
                    targets::run(self.reach.clone(), id.clone(), target.address, inbox, own);
                self.reach.common.executor.spawn(actor).detach();
                target.mailbox.insert(mailbox)
            }
            // No connection is idle and no call out: there is nothing to close or to take back.
            None => return Ok(()),
        };
        if mailbox.len() >= most {
            return Err(word);
        }
        mailbox.try_send(word).map_err(|e| e.into_inner())
    }

    /// All idle connections go to the process that takes over, now and as calls end.
    pub fn pass_idle(&self) {
        for target in self.targets.values() {
            target
                .mailbox
                .as_ref()
                .map(|mailbox| mailbox.try_send(ToTarget::PassIdle));
        }
    }

    /// What never left ends with a next round.
    pub fn turn_back(&self, target: TargetId, word: ToTarget) {
        let ended = match word {
            ToTarget::Send(send) => CameIn::SendEnded(
                send.event,
                AttemptReport::from_outcome(AttemptOutcome::NotSent),
            ),
            ToTarget::Ping => CameIn::PingEnded {
                target,
                fate: AttemptOutcome::NotSent,
            },
            _ => return,
        };
        let to_rounds = self.reach.to_rounds.clone();
        self.reach
            .common
            .executor
            .spawn(async move { to_rounds.send(ended).await })
            .detach();
    }
}
