//! Registered targets, and the ids of those that have deregistered.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;
use crate::singleton::ExpiredTarget;

/// Most targets registered at once; far above the largest deployment described, and about 8 MB of
/// memory.
const MAX_TARGETS: usize = 16_384;
/// Most ids of deregistered targets that are remembered. A late heartbeat is seconds old, and a
/// release deregisters a few targets a second.
const MAX_DEREGISTERED_REMEMBERED: usize = 4_096;

/// The registered targets by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    registered: BTreeMap<InstanceId, Arc<Target>>,
    /// Ids of targets that shut down gracefully, oldest first; at most
    /// [`MAX_DEREGISTERED_REMEMBERED`].
    deregistered: VecDeque<InstanceId>,
}

impl Targets {
    /// All targets in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.registered.values()
    }

    /// The target with this id.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Target>> {
        self.registered.get(id)
    }

    /// The number of registered targets.
    pub fn len(&self) -> usize {
        self.registered.len()
    }

    /// Whether no target is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Whether the target with this id has deregistered.
    pub fn is_deregistered(&self, id: &InstanceId) -> bool {
        self.deregistered.contains(id)
    }

    /// Whether registering this report would change nothing.
    pub fn is_up_to_date(&self, report: &Target) -> bool {
        match self.registered.get(&report.id) {
            Some(registered) => {
                report.sequence <= registered.sequence || is_same_registration(registered, report)
            }
            None => self.is_deregistered(&report.id),
        }
    }

    /// Registers a report. A report of a deregistered target, a late report, and a report that
    /// differs in nothing but its sequence change nothing.
    pub(crate) fn register(&mut self, report: &Target) -> Outcome {
        if self.is_up_to_date(report) {
            return Outcome::Ignored;
        }
        let is_new = !self.registered.contains_key(&report.id);
        if is_new && self.registered.len() >= MAX_TARGETS {
            return Outcome::Full;
        }
        self.remove_former_owner_of_address(report);
        self.registered
            .insert(report.id.clone(), Arc::new(report.clone()));
        Outcome::Applied
    }

    /// Removes another target at the report's address: an address belongs to the target that
    /// reported it last.
    ///
    /// The former owner does not count as deregistered: if it is alive after all, its next
    /// heartbeat registers it again.
    fn remove_former_owner_of_address(&mut self, report: &Target) {
        self.registered
            .retain(|id, registered| *id == report.id || registered.address != report.address);
    }

    /// Removes a target for good.
    pub(crate) fn deregister(&mut self, id: &InstanceId) -> Outcome {
        if self.is_deregistered(id) {
            return Outcome::Duplicate;
        }
        self.deregistered.push_back(id.clone());
        if self.deregistered.len() > MAX_DEREGISTERED_REMEMBERED {
            self.deregistered.pop_front();
        }
        self.registered.remove(id);
        Outcome::Applied
    }

    /// Removes targets whose heartbeats have stopped. Each may register again.
    pub(crate) fn expire(&mut self, expired: &[ExpiredTarget]) -> Outcome {
        let count_before = self.registered.len();
        for ExpiredTarget { id, sequence } in expired {
            if self
                .registered
                .get(id)
                .is_some_and(|registered| registered.sequence == *sequence)
            {
                self.registered.remove(id);
            }
        }
        if self.registered.len() < count_before {
            Outcome::Applied
        } else {
            Outcome::Ignored
        }
    }
}

/// Whether two reports differ in nothing but the fields that every heartbeat changes: the sequence
/// and the remaining warm-up time.
fn is_same_registration(one: &Target, other: &Target) -> bool {
    one.service == other.service
        && one.address == other.address
        && one.zone == other.zone
        && one.capacity == other.capacity
        && one.state == other.state
        && one.models == other.models
}
