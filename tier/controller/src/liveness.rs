//! The time of the last message from each target and each machine, received by this controller or
//! reported by another one. The current time is passed in by the callers.
//!
//! The controller owns one [`Liveness`]. The admin interface records heartbeats, the subscriber
//! sessions record messages, and the singleton tasks of the head expire senders that are silent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use serde::{Deserialize, Serialize};

/// Maximum number of tracked senders of each kind; far above the largest specified deployment.
const MAX_SENDERS: usize = 32_768;

/// One incarnation of a machine of the tier. The value is sent to other controllers, so the order
/// of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineIncarnation {
    /// The machine.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl MachineIncarnation {
    /// Creates the identity of one incarnation of `node`.
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        MachineIncarnation {
            node: node.clone(),
            incarnation,
        }
    }
}

/// The senders from which a controller has recently received messages. The report is sent to the
/// head of the chain, so the order of the fields is part of the wire format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessReport {
    /// Targets that have sent heartbeats.
    pub targets: Vec<InstanceId>,
    /// Agents and stores that have sent messages on their subscriptions.
    pub machines: Vec<MachineIncarnation>,
}

/// The time of the last message from each sender.
///
/// Reports from other controllers are kept separate from messages received by this controller and
/// are never forwarded, so that two controllers cannot keep a sender alive by reporting it to each
/// other.
#[derive(Debug, Default)]
pub struct Liveness {
    local: LastReceived,
    remote: LastReceived,
}

impl Liveness {
    /// Records a heartbeat from a target.
    pub fn record_target(&mut self, id: &InstanceId, now: Instant) {
        record(&mut self.local.targets, id, now);
    }

    /// Records a message from an agent or a store.
    pub fn record_machine(&mut self, machine: &MachineIncarnation, now: Instant) {
        record(&mut self.local.machines, machine, now);
    }

    /// Records a report from another controller.
    pub fn record_remote(&mut self, report: &LivenessReport, now: Instant) {
        for id in &report.targets {
            record(&mut self.remote.targets, id, now);
        }
        for machine in &report.machines {
            record(&mut self.remote.machines, machine, now);
        }
    }

    /// Returns whether a message from the target was received less than `timeout` before `now`.
    pub fn is_target_alive(&self, id: &InstanceId, timeout: Duration, now: Instant) -> bool {
        is_recent(self.local.targets.get(id), timeout, now)
            || is_recent(self.remote.targets.get(id), timeout, now)
    }

    /// Returns whether a message from the machine was received less than `timeout` before `now`.
    pub fn is_machine_alive(
        &self,
        machine: &MachineIncarnation,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        is_recent(self.local.machines.get(machine), timeout, now)
            || is_recent(self.remote.machines.get(machine), timeout, now)
    }

    /// Returns the senders from which this controller itself received a message at or after
    /// `since`.
    pub fn report_since(&self, since: Instant) -> LivenessReport {
        LivenessReport {
            targets: received_since(&self.local.targets, since),
            machines: received_since(&self.local.machines, since),
        }
    }

    /// Removes the senders whose last message was received before `since`.
    pub fn remove_before(&mut self, since: Instant) {
        for last_received in [&mut self.local, &mut self.remote] {
            last_received
                .targets
                .retain(|_, received_at| *received_at >= since);
            last_received
                .machines
                .retain(|_, received_at| *received_at >= since);
        }
    }
}

#[derive(Debug, Default)]
struct LastReceived {
    targets: BTreeMap<InstanceId, Instant>,
    machines: BTreeMap<MachineIncarnation, Instant>,
}

fn record<K: Ord + Clone>(senders: &mut BTreeMap<K, Instant>, sender: &K, now: Instant) {
    if let Some(received_at) = senders.get_mut(sender) {
        *received_at = now.max(*received_at);
    } else if senders.len() < MAX_SENDERS {
        senders.insert(sender.clone(), now);
    }
}

fn is_recent(received_at: Option<&Instant>, timeout: Duration, now: Instant) -> bool {
    received_at.is_some_and(|received_at| now.saturating_duration_since(*received_at) < timeout)
}

fn received_since<K: Ord + Clone>(senders: &BTreeMap<K, Instant>, since: Instant) -> Vec<K> {
    let recent = senders
        .iter()
        .filter(|(_, received_at)| **received_at >= since);
    recent.map(|(sender, _)| sender.clone()).collect()
}
