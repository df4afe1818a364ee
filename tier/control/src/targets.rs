//! Registered targets, and the ids of those that ended.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;
use serde::{Deserialize, Serialize};

use crate::operation::{ExpiredTarget, Outcome};

/// Targets at once; far above the largest deployment described, and about 8 MB of memory.
const MAX_TARGETS: usize = 16_384;
/// Ids of ended targets that are remembered. A late heartbeat is seconds old, and a release ends a few
/// targets a second.
const ENDED_KEPT: usize = 4_096;

/// The registered targets by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    registered: BTreeMap<InstanceId, Arc<Target>>,
    /// Ids that ended in an orderly way, oldest first.
    ended: VecDeque<InstanceId>,
}

impl Targets {
    /// All targets in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.registered.values()
    }

    /// One target.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Target>> {
        self.registered.get(id)
    }

    /// How many are registered.
    pub fn len(&self) -> usize {
        self.registered.len()
    }

    /// Whether none is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Whether the target with this id ended in an orderly way.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.ended.contains(id)
    }

    /// Whether the report tells nothing that [`Targets::set`] would change.
    pub fn is_known(&self, report: &Target) -> bool {
        match self.registered.get(&report.id) {
            Some(held) => report.sequence <= held.sequence || says_the_same(held, report),
            None => self.has_ended(&report.id),
        }
    }

    /// Takes a report. A report of an ended target, a late one, and one that says nothing new change nothing.
    pub(crate) fn set(&mut self, report: &Target) -> Outcome {
        if self.is_known(report) {
            return Outcome::Ignored;
        }
        let held = self.registered.get(&report.id);
        if held.is_none() && self.registered.len() >= MAX_TARGETS {
            return Outcome::Full;
        }
        self.give_up_address(report);
        self.registered
            .insert(report.id.clone(), Arc::new(report.clone()));
        Outcome::Applied
    }

    /// An address belongs to the target that reported it last. The former one is not counted as ended: if it
    /// lives after all, its next heartbeat registers it again.
    fn give_up_address(&mut self, report: &Target) {
        self.registered
            .retain(|id, held| *id == report.id || held.address != report.address);
    }

    /// Forgets a target for good.
    pub(crate) fn remove(&mut self, id: &InstanceId) -> Outcome {
        if self.has_ended(id) {
            return Outcome::Repeated;
        }
        self.ended.push_back(id.clone());
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
        self.registered.remove(id);
        Outcome::Applied
    }

    /// Forgets silent targets; each may register again.
    pub(crate) fn expire(&mut self, expired: &[ExpiredTarget]) -> Outcome {
        let before = self.registered.len();
        for ExpiredTarget { id, sequence } in expired {
            if self
                .registered
                .get(id)
                .is_some_and(|held| held.sequence == *sequence)
            {
                self.registered.remove(id);
            }
        }
        if self.registered.len() < before {
            Outcome::Applied
        } else {
            Outcome::Ignored
        }
    }
}

/// Whether two reports differ in nothing but what every heartbeat changes.
fn says_the_same(one: &Target, other: &Target) -> bool {
    one.service == other.service
        && one.address == other.address
        && one.zone == other.zone
        && one.capacity == other.capacity
        && one.state == other.state
        && one.models == other.models
}
