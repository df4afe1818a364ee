//! Determines which singleton tasks are due, without I/O. The current time is passed in by the
//! callers.

use std::time::{Duration, Instant};

use plankhill_control::{ControlState, ExpiredTarget, SingletonTask};
use plankhill_protocol::ids::{InstanceId, NodeId};
use plankhill_protocol::tables::StoreView;

use super::first_seen::FirstSeen;
use crate::control_log::ChainStatus;
use crate::liveness::{Liveness, MachineIncarnation};

/// Number of consecutive heartbeats that a target may miss before it expires.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Added to the time of the missed heartbeats, because a target tries the next controller after one
/// second without a response.
const HEARTBEAT_MARGIN: Duration = Duration::from_secs(1);
/// Silence after which edges and joining stores count as lost. It is above the contact bound of
/// deployments (3 s), so that a short partition does not remove them.
const MACHINE_TIMEOUT: Duration = Duration::from_secs(4);
/// Silence after which a serving store is removed even if no store is joining, provided that enough
/// others serve. Its replacement may have joined before it failed, and as long as the lost store is
/// counted as a member, the next loss would exceed the tolerated faults. The timeout is well above
/// the duration of partitions and process freezes from which stores recover with their disks.
const SERVING_STORE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time to wait for 2f+1 stores before a bootstrap with fewer. Stores start within 0.3 s of each
/// other, so stores that are missing after this time are not expected to start.
const BOOTSTRAP_GRACE: Duration = Duration::from_secs(4);
/// Maximum number of targets expired by one task.
const MAX_EXPIRED_PER_TASK: usize = 256;

/// The input of one scheduling decision.
pub struct ScheduleInput<'a> {
    /// The state of the chain as known to this controller.
    pub status: &'a ChainStatus,
    /// Whether the state was recently confirmed to be the newest.
    pub is_current: bool,
    /// The newest committed state known to this controller.
    pub state: &'a ControlState,
    /// The time of the last message from each sender.
    pub liveness: &'a Liveness,
    /// The current time; must not decrease between calls.
    pub now: Instant,
}

/// Determines which singleton tasks are due. Each controller owns one and calls it periodically,
/// even while another controller is the head of the chain.
#[derive(Debug)]
pub struct SingletonScheduler {
    target_timeout: Duration,
    /// The time since which this controller has been both head and current; `None` while it is not.
    head_since: Option<Instant>,
    targets: FirstSeen<InstanceId>,
    machines: FirstSeen<MachineIncarnation>,
}

impl SingletonScheduler {
    /// Creates a scheduler for targets that send a heartbeat every `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Self {
        SingletonScheduler {
            target_timeout: heartbeat_interval * MAX_MISSED_HEARTBEATS + HEARTBEAT_MARGIN,
            head_since: None,
            targets: FirstSeen::default(),
            machines: FirstSeen::default(),
        }
    }

    /// Returns how long the time of a sender's last message must be retained.
    pub fn liveness_retention(&self) -> Duration {
        self.target_timeout.max(SERVING_STORE_TIMEOUT) * 2
    }

    /// Returns the tasks that are due; none unless this controller is both head and current.
    ///
    /// A new head waits for the complete timeout of a sender before it expires the sender, and so
    /// does every head for a newly registered sender, because the sender may be connected to
    /// another controller.
    pub fn due_tasks(&mut self, input: &ScheduleInput<'_>) -> Vec<SingletonTask> {
        let Some(head_since) = self.update_head_since(input) else {
            self.targets.clear();
            self.machines.clear();
            return Vec::new();
        };
        let target_ids = input.state.targets().iter().map(|target| target.id.clone());
        self.targets.update(target_ids, input.now);
        self.machines
            .update(registered_machines(input.state), input.now);

        let mut due = Vec::new();
        due.extend(self.expired_targets(input));
        due.extend(self.expired_edges(input));
        due.extend(self.lost_store(input));
        let grace_elapsed = input.now.saturating_duration_since(head_since) >= BOOTSTRAP_GRACE;
        if grace_elapsed && input.state.stores().can_bootstrap_below_full_size() {
            due.push(SingletonTask::BootstrapStores);
        }
        due
    }

    /// Updates and returns the time since which this controller has been both head and current. A
    /// new view with the same head does not reset the time.
    fn update_head_since(&mut self, input: &ScheduleInput<'_>) -> Option<Instant> {
        if !input.status.is_head || !input.is_current {
            self.head_since = None;
            return None;
        }
        Some(*self.head_since.get_or_insert(input.now))
    }

    fn expired_targets(&self, input: &ScheduleInput<'_>) -> Option<SingletonTask> {
        let silent = input
            .state
            .targets()
            .iter()
            .filter(|target| self.is_target_silent(&target.id, input));
        let mut expired = Vec::new();
        for target in silent.take(MAX_EXPIRED_PER_TASK) {
            let id = target.id.clone();
            let sequence = target.sequence;
            expired.push(ExpiredTarget { id, sequence });
        }
        if expired.is_empty() {
            return None;
        }
        Some(SingletonTask::ExpireTargets(expired))
    }

    fn expired_edges(&self, input: &ScheduleInput<'_>) -> Vec<SingletonTask> {
        let mut expired = Vec::new();
        for edge in input.state.edges().iter() {
            let machine = MachineIncarnation::new(&edge.node, edge.incarnation);
            if self.is_machine_silent(&machine, MACHINE_TIMEOUT, input) {
                let MachineIncarnation { node, incarnation } = machine;
                expired.push(SingletonTask::ExpireEdge { node, incarnation });
            }
        }
        expired
    }

    /// Returns the task that removes a lost store. At most one store is removed at a time. A
    /// serving store is removed after [`MACHINE_TIMEOUT`] only if another store is joining,
    /// otherwise after [`SERVING_STORE_TIMEOUT`].
    fn lost_store(&self, input: &ScheduleInput<'_>) -> Option<SingletonTask> {
        let stores = input.state.stores();
        let view = stores.view();
        let is_any_joining = has_joining_store(view);
        for member in view.next.as_ref().unwrap_or(&view.serving) {
            let is_joining = !view.serving.contains(member);
            let timeout = if is_joining || is_any_joining {
                MACHINE_TIMEOUT
            } else {
                SERVING_STORE_TIMEOUT
            };
            let machine = MachineIncarnation::new(&member.node, member.incarnation);
            if self.is_machine_silent(&machine, timeout, input)
                && stores.can_remove_lost(&member.node, member.incarnation)
            {
                let MachineIncarnation { node, incarnation } = machine;
                return Some(SingletonTask::RemoveLostStore { node, incarnation });
            }
        }
        None
    }

    fn is_target_silent(&self, id: &InstanceId, input: &ScheduleInput<'_>) -> bool {
        self.targets
            .is_present_for(id, self.target_timeout, input.now)
            && !input
                .liveness
                .is_target_alive(id, self.target_timeout, input.now)
    }

    fn is_machine_silent(
        &self,
        machine: &MachineIncarnation,
        timeout: Duration,
        input: &ScheduleInput<'_>,
    ) -> bool {
        self.machines.is_present_for(machine, timeout, input.now)
            && !input.liveness.is_machine_alive(machine, timeout, input.now)
    }
}

/// Returns whether a store that is not yet serving is a member of the view's next set.
fn has_joining_store(view: &StoreView) -> bool {
    let serves = |node: &NodeId| view.serving.iter().any(|serving| serving.node == *node);
    let mut next = view.next.iter().flatten();
    next.any(|member| !serves(&member.node))
}

/// Returns the stores of the view's serving set and next set, followed by the edges.
fn registered_machines(state: &ControlState) -> impl Iterator<Item = MachineIncarnation> + '_ {
    let view = state.stores().view();
    let members = view.serving.iter().chain(view.next.iter().flatten());
    let stores = members.map(|member| MachineIncarnation::new(&member.node, member.incarnation));
    let edges = state.edges().iter();
    stores.chain(edges.map(|edge| MachineIncarnation::new(&edge.node, edge.incarnation)))
}
