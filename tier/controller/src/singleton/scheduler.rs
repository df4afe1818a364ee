//! Which singleton tasks are due: decisions without I/O. Time is passed in.

use std::time::{Duration, Instant};

use plankhill_control::{ControlState, ExpiredTarget, SingletonTask};
use plankhill_protocol::ids::{InstanceId, NodeId};
use plankhill_protocol::tables::StoreView;

use super::first_seen::FirstSeen;
use crate::control_log::ChainStatus;
use crate::liveness::{Liveness, MachineIncarnation};

/// Heartbeats that a target may miss in a row before it expires.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Added to the missed heartbeats: a target tries the next controller after a second without an
/// answer.
const HEARTBEAT_MARGIN: Duration = Duration::from_secs(1);
/// Edges and joining stores that are silent for this long are lost: above the contact bound of
/// deployments (3 s), so that a short partition does not remove them.
const MACHINE_TIMEOUT: Duration = Duration::from_secs(4);
/// A serving store that is silent for this long is removed although no store has just joined, if
/// enough others serve: its successor may have joined before it ended, and while the lost store
/// counts the next loss is one too many. Well above the partitions and freezes from which stores
/// come back with their disks.
const SERVING_STORE_TIMEOUT: Duration = Duration::from_secs(8);
/// Stores start within 0.3 s of each other; fewer than 2f+1 after this time are all that there are.
const BOOTSTRAP_GRACE: Duration = Duration::from_secs(4);
/// Most targets expired by one task.
const MAX_EXPIRED_PER_TASK: usize = 256;

/// What a decision is made from.
pub struct ScheduleInput<'a> {
    /// The chain as this controller knows it.
    pub status: &'a ChainStatus,
    /// Whether the state was confirmed lately to be the newest.
    pub is_current: bool,
    /// The newest committed state known here.
    pub state: &'a ControlState,
    /// When each sender was last heard from.
    pub liveness: &'a Liveness,
    /// The present time; it never goes back.
    pub now: Instant,
}

/// Decides which singleton tasks are due. Each controller owns one and asks it again and again,
/// also while another controller heads the chain.
#[derive(Debug)]
pub struct SingletonScheduler {
    target_timeout: Duration,
    /// Since when this controller has been the head and current; `None` while it is not.
    head_since: Option<Instant>,
    targets: FirstSeen<InstanceId>,
    machines: FirstSeen<MachineIncarnation>,
}

impl SingletonScheduler {
    /// A scheduler for targets that send a heartbeat every `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Self {
        SingletonScheduler {
            target_timeout: heartbeat_interval * MAX_MISSED_HEARTBEATS + HEARTBEAT_MARGIN,
            head_since: None,
            targets: FirstSeen::default(),
            machines: FirstSeen::default(),
        }
    }

    /// How long senders that were heard from must be remembered.
    pub fn liveness_retention(&self) -> Duration {
        self.target_timeout.max(SERVING_STORE_TIMEOUT) * 2
    }

    /// The tasks that are due now; none unless this controller is the head and current.
    ///
    /// A new head listens for as long as the silence that it acts on, and so does every head to a
    /// sender that has just been registered: another controller may hear from it.
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
        let has_waited = input.now.saturating_duration_since(head_since) >= BOOTSTRAP_GRACE;
        if has_waited && input.state.stores().can_bootstrap_below_full_size() {
            due.push(SingletonTask::BootstrapStores);
        }
        due
    }

    /// Since when this controller has been the head and current; a new view with the same head does
    /// not interrupt that.
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

    /// At most one store is removed at a time. A serving store is removed early only if a new one
    /// is about to join.
    fn lost_store(&self, input: &ScheduleInput<'_>) -> Option<SingletonTask> {
        let stores = input.state.stores();
        let view = stores.view();
        let successor_joins = has_joining_machine(view);
        for member in view.next.as_ref().unwrap_or(&view.serving) {
            let is_joining = !view.serving.contains(member);
            let timeout = if is_joining || successor_joins {
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

/// Whether a machine that does not serve is about to join.
fn has_joining_machine(view: &StoreView) -> bool {
    let serves = |node: &NodeId| view.serving.iter().any(|serving| serving.node == *node);
    let mut next = view.next.iter().flatten();
    next.any(|member| !serves(&member.node))
}

/// The stores of the view, then the edges.
fn registered_machines(state: &ControlState) -> impl Iterator<Item = MachineIncarnation> + '_ {
    let view = state.stores().view();
    let members = view.serving.iter().chain(view.next.iter().flatten());
    let stores = members.map(|member| MachineIncarnation::new(&member.node, member.incarnation));
    let edges = state.edges().iter();
    stores.chain(edges.map(|edge| MachineIncarnation::new(&edge.node, edge.incarnation)))
}
