//! Proposals made at this member, until their outcome is known.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::durable::{Entry, RequestNumber};
use crate::effect::{Effect, Millis};
use crate::machine::StateMachine;
use crate::message::Message;
use crate::timing::ASK_AGAIN;

use super::ChainMember;

/// Proposals waiting at once; more fail at once.
const WAITING: usize = 4_096;

/// Proposals that wait for their outcome.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    waiting: BTreeMap<RequestNumber, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    ends: Millis,
    sent: Option<Millis>,
}

impl Proposals {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl<M: StateMachine> ChainMember<M> {
    /// Proposes an operation, to be given up at `ends`. Answered by an effect: at once where this member is
    /// cut off.
    pub fn propose(
        &mut self,
        request: RequestNumber,
        operation: Arc<[u8]>,
        ends: Millis,
        now: Millis,
    ) {
        self.now = self.now.max(now);
        if let Some(outcome) = self.replicated.outcome(&request).cloned() {
            self.effects.push(Effect::Proposed { request, outcome });
        } else if !self.is_connected(self.now) || self.proposals.waiting.len() >= WAITING {
            self.effects.push(Effect::ProposalFailed(request));
        } else {
            let entry = Entry {
                request,
                origin: self.me.identity.node.clone(),
                operation,
            };
            self.proposals.waiting.insert(
                request,
                Waiting {
                    entry,
                    ends,
                    sent: None,
                },
            );
            self.send_proposals();
        }
    }

    /// Time has passed: gives up what is too old, or everything if this member is cut off.
    pub(super) fn repeat_proposals(&mut self) {
        let (now, connected) = (self.now, self.is_connected(self.now));
        let given_up = |waiting: &Waiting| !connected || waiting.ends <= now;
        let failed: Vec<_> = self
            .proposals
            .waiting
            .iter()
            .filter(|(_, waiting)| given_up(waiting))
            .collect();
        let failed: Vec<_> = failed.into_iter().map(|(request, _)| *request).collect();
        for request in failed {
            self.proposals.waiting.remove(&request);
            self.effects.push(Effect::ProposalFailed(request));
        }
        self.send_proposals();
    }

    /// The view changed: the new head has to get them all.
    pub(super) fn restart_proposals(&mut self) {
        self.proposals
            .waiting
            .values_mut()
            .for_each(|waiting| waiting.sent = None);
        self.send_proposals();
    }

    /// Sends what is due: first to the head alone, later to all links, as the head may be the one member that
    /// does not hear this one.
    fn send_proposals(&mut self) {
        let (now, view) = (self.now, self.view.number);
        let Some(head) = self.view.head().map(|head| head.identity.clone()) else {
            return;
        };
        let due = |waiting: &Waiting| {
            waiting
                .sent
                .is_none_or(|at| now.saturating_sub(at) >= ASK_AGAIN)
        };
        let mut entries = Vec::new();
        for waiting in self
            .proposals
            .waiting
            .values_mut()
            .filter(|waiting| due(waiting))
        {
            entries.push((waiting.entry.clone(), waiting.sent.is_none()));
            waiting.sent = Some(now);
        }
        for (entry, first) in entries {
            if head == self.me.identity {
                self.on_forward(&head, view, entry);
            } else if first {
                self.send_to(&head, Message::Forward { view, entry });
            } else {
                self.send_to_links(&Message::Forward { view, entry });
            }
        }
    }

    fn send_to_links(&mut self, message: &Message) {
        let others = self
            .view
            .links()
            .map(|link| &link.identity)
            .filter(|link| **link != self.me.identity);
        let others: Vec<_> = others.cloned().collect();
        for link in others {
            self.send_to(&link, message.clone());
        }
    }

    /// A proposal was committed.
    pub(super) fn on_outcome(&mut self, request: RequestNumber, outcome: Arc<[u8]>) {
        if self.proposals.waiting.remove(&request).is_some() {
            self.effects.push(Effect::Proposed { request, outcome });
        }
    }
}
