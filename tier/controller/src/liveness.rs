//! Who was heard when, by this controller or by one that told it. Time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use serde::{Deserialize, Serialize};

/// Senders remembered of each kind; far above the largest deployment described.
const SENDERS_KEPT: usize = 32_768;

/// One life of a machine of the tier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineLife {
    /// The machine.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Whom a controller has heard lately; sent to the head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardReport {
    /// Targets that sent heartbeats.
    pub targets: Vec<InstanceId>,
    /// Agents and stores that are subscribed.
    pub machines: Vec<MachineLife>,
}

/// When each sender was heard last. What other controllers heard is kept apart, so that two controllers never
/// tell each other of a sender that neither hears.
#[derive(Debug, Default)]
pub struct Liveness {
    here: Heard,
    elsewhere: Heard,
}

impl Liveness {
    /// A target sent a heartbeat.
    pub fn heard_target(&mut self, id: &InstanceId, now: Instant) {
        hear(&mut self.here.targets, id, now);
    }

    /// An agent or a store sent something.
    pub fn heard_machine(&mut self, life: &MachineLife, now: Instant) {
        hear(&mut self.here.machines, life, now);
    }

    /// Another controller heard these.
    pub fn heard_elsewhere(&mut self, report: &HeardReport, now: Instant) {
        report
            .targets
            .iter()
            .for_each(|id| hear(&mut self.elsewhere.targets, id, now));
        report
            .machines
            .iter()
            .for_each(|life| hear(&mut self.elsewhere.machines, life, now));
    }

    /// Whether a target was heard within `silence` before `now`.
    pub fn target_within(&self, id: &InstanceId, silence: Duration, now: Instant) -> bool {
        let heard = [self.here.targets.get(id), self.elsewhere.targets.get(id)];
        within(heard, silence, now)
    }

    /// Whether a machine was heard within `silence` before `now`.
    pub fn machine_within(&self, life: &MachineLife, silence: Duration, now: Instant) -> bool {
        let heard = [
            self.here.machines.get(life),
            self.elsewhere.machines.get(life),
        ];
        within(heard, silence, now)
    }

    /// Everyone that this controller itself heard at `since` or later.
    pub fn report_since(&self, since: Instant) -> HeardReport {
        HeardReport {
            targets: heard_since(&self.here.targets, since),
            machines: heard_since(&self.here.machines, since),
        }
    }

    /// Forgets who was heard before `since` only.
    pub fn forget_before(&mut self, since: Instant) {
        for heard in [&mut self.here, &mut self.elsewhere] {
            heard.targets.retain(|_, at| *at >= since);
            heard.machines.retain(|_, at| *at >= since);
        }
    }
}

#[derive(Debug, Default)]
struct Heard {
    targets: BTreeMap<InstanceId, Instant>,
    machines: BTreeMap<MachineLife, Instant>,
}

fn hear<K: Ord + Clone>(heard: &mut BTreeMap<K, Instant>, sender: &K, now: Instant) {
    if let Some(at) = heard.get_mut(sender) {
        *at = now.max(*at);
    } else if heard.len() < SENDERS_KEPT {
        heard.insert(sender.clone(), now);
    }
}

fn within(heard: [Option<&Instant>; 2], silence: Duration, now: Instant) -> bool {
    heard
        .into_iter()
        .flatten()
        .any(|at| now.saturating_duration_since(*at) < silence)
}

fn heard_since<K: Ord + Clone>(heard: &BTreeMap<K, Instant>, since: Instant) -> Vec<K> {
    heard
        .iter()
        .filter(|(_, at)| **at >= since)
        .map(|(sender, _)| sender.clone())
        .collect()
}
