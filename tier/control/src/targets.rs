//! Registered targets, and the ids of those that have deregistered.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;
use crate::singleton::ExpiredTarget;

/// Maximum number of registered targets; far more than in the largest expected deployment, and about
/// 8 MB of memory.
const MAX_TARGETS: usize = 16_384;
/// Maximum number of remembered ids of deregistered targets. A delayed heartbeat is only seconds old,
/// and a rollout deregisters a few targets per second.
const MAX_DEREGISTERED_REMEMBERED: usize = 4_096;

/// The registered targets by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    registered: BTreeMap<InstanceId, Arc<Target>>,
    /// Ids of targets that shut down gracefully, in the order of deregistration; at most
    /// [`MAX_DEREGISTERED_REMEMBERED`].
    deregistered: VecDeque<InstanceId>,
}

impl Targets {
    /// Iterates over all targets, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.registered.values()
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &InstanceId) -> Option<&Arc<Target>> {
        self.registered.get(id)
    }

    /// Returns the number of registered targets.
    pub fn len(&self) -> usize {
        self.registered.len()
    }

    /// Returns whether no target is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Returns whether the target with this id has deregistered.
    pub fn is_deregistered(&self, id: &InstanceId) -> bool {
        self.deregistered.contains(id)
    }

    /// Returns whether registering this report would change nothing.
    pub fn is_up_to_date(&self, report: &Target) -> bool {
        match self.registered.get(&report.id) {
            Some(registered) => {
                report.sequence <= registered.sequence || is_same_registration(registered, report)
            }
            None => self.is_deregistered(&report.id),
        }
    }

    /// Registers a target from its report. The report is ignored if the target has deregistered, if
    /// its sequence is not newer, or if it differs only in fields that every heartbeat changes.
    pub(crate) fn register(&mut self, report: &Target) -> Outcome {
        if self.is_up_to_date(report) {
            return Outcome::Ignored;
        }
        let is_new = !self.registered.contains_key(&report.id);
        if is_new && self.registered.len() >= MAX_TARGETS {
            return Outcome::Full;
        }
        self.remove_previous_owner_of_address(report);
        self.registered
            .insert(report.id.clone(), Arc::new(report.clone()));
        Outcome::Applied
    }

    /// Removes any other target at the report's address: an address belongs to the target that
    /// reported it last.
    ///
    /// The previous owner does not count as deregistered: if it is still alive, its next heartbeat
    /// registers it again.
    fn remove_previous_owner_of_address(&mut self, report: &Target) {
        self.registered
            .retain(|id, registered| *id == report.id || registered.address != report.address);
    }

    /// Removes a target permanently.
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

    /// Removes targets whose heartbeats have stopped. They may register again.
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

/// Returns whether two reports differ at most in the fields that every heartbeat changes: the sequence
/// and the remaining warm-up time.
fn is_same_registration(one: &Target, other: &Target) -> bool {
    one.service == other.service
        && one.address == other.address
        && one.zone == other.zone
        && one.capacity == other.capacity
        && one.state == other.state
        && one.models == other.models
}
