//! When each target and each machine was last heard from, by this controller or by one that
//! reported it. Time is passed in.
//!
//! The controller owns one [`Liveness`]; the admin interface records heartbeats, the sessions of
//! subscribers record messages, and the head's singleton tasks act on silence.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use serde::{Deserialize, Serialize};

/// Most senders remembered of each kind; far above the largest deployment described.
const MAX_SENDERS: usize = 32_768;

/// One incarnation of a machine of the tier. Sent to other controllers: the order of the fields is
/// format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineIncarnation {
    /// The machine.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl MachineIncarnation {
    /// The incarnation of a machine.
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        MachineIncarnation {
            node: node.clone(),
            incarnation,
        }
    }
}

/// The senders that a controller has heard from lately; sent to the head of the chain. The order of
/// the fields is format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessReport {
    /// Targets that sent heartbeats.
    pub targets: Vec<InstanceId>,
    /// Agents and stores that are subscribed.
    pub machines: Vec<MachineIncarnation>,
}

/// When each sender was last heard from.
///
/// What other controllers reported is kept apart from what was heard here and is never reported on,
/// so that two controllers cannot keep a sender alive by reporting it to each other.
#[derive(Debug, Default)]
pub struct Liveness {
    local: LastHeard,
    remote: LastHeard,
}

impl Liveness {
    /// Records a heartbeat of a target.
    pub fn record_target(&mut self, id: &InstanceId, now: Instant) {
        record(&mut self.local.targets, id, now);
    }

    /// Records a message of an agent or a store.
    pub fn record_machine(&mut self, machine: &MachineIncarnation, now: Instant) {
        record(&mut self.local.machines, machine, now);
    }

    /// Records the report of another controller.
    pub fn record_remote(&mut self, report: &LivenessReport, now: Instant) {
        for id in &report.targets {
            record(&mut self.remote.targets, id, now);
        }
        for machine in &report.machines {
            record(&mut self.remote.machines, machine, now);
        }
    }

    /// Whether a target was heard from within `timeout` before `now`.
    pub fn is_target_alive(&self, id: &InstanceId, timeout: Duration, now: Instant) -> bool {
        is_recent(self.local.targets.get(id), timeout, now)
            || is_recent(self.remote.targets.get(id), timeout, now)
    }

    /// Whether a machine was heard from within `timeout` before `now`.
    pub fn is_machine_alive(
        &self,
        machine: &MachineIncarnation,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        is_recent(self.local.machines.get(machine), timeout, now)
            || is_recent(self.remote.machines.get(machine), timeout, now)
    }

    /// The senders that this controller itself has heard from at `since` or later.
    pub fn report_since(&self, since: Instant) -> LivenessReport {
        LivenessReport {
            targets: heard_since(&self.local.targets, since),
            machines: heard_since(&self.local.machines, since),
        }
    }

    /// Forgets the senders last heard from before `since`.
    pub fn forget_before(&mut self, since: Instant) {
        for last_heard in [&mut self.local, &mut self.remote] {
            last_heard.targets.retain(|_, heard_at| *heard_at >= since);
            last_heard.machines.retain(|_, heard_at| *heard_at >= since);
        }
    }
}

#[derive(Debug, Default)]
struct LastHeard {
    targets: BTreeMap<InstanceId, Instant>,
    machines: BTreeMap<MachineIncarnation, Instant>,
}

fn record<K: Ord + Clone>(senders: &mut BTreeMap<K, Instant>, sender: &K, now: Instant) {
    if let Some(heard_at) = senders.get_mut(sender) {
        *heard_at = now.max(*heard_at);
    } else if senders.len() < MAX_SENDERS {
        senders.insert(sender.clone(), now);
    }
}

fn is_recent(heard_at: Option<&Instant>, timeout: Duration, now: Instant) -> bool {
    heard_at.is_some_and(|heard_at| now.saturating_duration_since(*heard_at) < timeout)
}

fn heard_since<K: Ord + Clone>(senders: &BTreeMap<K, Instant>, since: Instant) -> Vec<K> {
    let recent = senders.iter().filter(|(_, heard_at)| **heard_at >= since);
    recent.map(|(sender, _)| sender.clone()).collect()
}
