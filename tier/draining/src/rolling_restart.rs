//! The plan of a rolling restart: each node of a list is drained, replaced or restarted by the
//! operator, and returned to service, a few nodes at a time.
//!
//! The command line (`plankhill-tier roll`) owns the [`RollingRestart`], shows it what the control
//! plane reports, and carries out its steps. The plan never has more nodes out of service than its
//! limit, and never drains a node beyond the [disruption budget](crate::disruption_budget). It
//! stops by itself when another machine is lost, when a node does not drain in time, or when a node
//! does not come back.

use std::collections::BTreeMap;
use std::time::Duration;

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};

use crate::disruption_budget::{check_disruption_budget, BudgetMember};

/// The limits of a rolling restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimits {
    /// Most nodes out of service at once.
    pub max_unavailable: usize,
    /// The longest time from the drain order until the node has drained.
    pub drain_timeout: Duration,
    /// The longest time until a drained node is back with a new incarnation.
    pub restart_timeout: Duration,
}

/// A node as the control plane shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeView {
    /// Its zone.
    pub zone: ZoneName,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
}

/// What the control plane shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Registered forwarders.
    pub live: BTreeMap<NodeId, NodeView>,
    /// Nodes under a drain order, and whether they have drained.
    pub drains: BTreeMap<NodeId, bool>,
}

/// The next step of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartStep {
    /// Drain this node.
    Drain(NodeId),
    /// This node has drained: it may be replaced or restarted.
    Restart(NodeId),
    /// This node is back: return it to service.
    Undrain(NodeId),
    /// Nothing to do now.
    Wait,
    /// All nodes are done.
    Done,
    /// The rolling restart goes no further.
    Stop(StopReason),
}

/// Why a rolling restart goes no further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// A machine is gone that the rolling restart has not released.
    #[error("{0} is lost")]
    NodeLost(NodeId),
    /// A node did not drain in time.
    #[error("{0} does not get empty")]
    DrainTimedOut(NodeId),
    /// A node that was released did not come back in time.
    #[error("{0} does not come back")]
    RestartTimedOut(NodeId),
    /// Another operator lifted an order of the rolling restart, or drained a node that it had not
    /// reached.
    #[error("{0} was drained or taken back by somebody else")]
    ConflictingOrder(NodeId),
}

/// The progress of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Draining {
        ordered_at: Duration,
        incarnation: Incarnation,
    },
    Restarting {
        released_at: Duration,
        incarnation: Incarnation,
    },
    Undraining,
    Done,
}

impl Progress {
    fn is_out_of_service(&self) -> bool {
        match self {
            Progress::Draining { .. } | Progress::Restarting { .. } | Progress::Undraining => true,
            Progress::Pending | Progress::Done => false,
        }
    }

    /// Whether the node may be missing: it was released and has not been seen back in service.
    fn is_released(&self) -> bool {
        matches!(self, Progress::Restarting { .. } | Progress::Undraining)
    }
}

#[derive(Clone, Debug)]
struct PlannedNode {
    node: NodeId,
    progress: Progress,
}

/// A rolling restart in progress.
#[derive(Clone, Debug)]
pub struct RollingRestart {
    limits: RestartLimits,
    plan: Vec<PlannedNode>,
    /// Machines that were registered when the rolling restart began.
    registered_at_start: Vec<NodeId>,
}

impl RollingRestart {
    /// A rolling restart over these nodes, in their order.
    pub fn new(limits: RestartLimits, nodes: Vec<NodeId>, view: &FleetView) -> Self {
        let planned = |node| PlannedNode {
            node,
            progress: Progress::Pending,
        };
        RollingRestart {
            limits,
            plan: nodes.into_iter().map(planned).collect(),
            registered_at_start: view.live.keys().cloned().collect(),
        }
    }

    /// The number of nodes that are done, and of all nodes.
    pub fn progress(&self) -> (usize, usize) {
        let done = self
            .plan
            .iter()
            .filter(|planned| planned.progress == Progress::Done)
            .count();
        (done, self.plan.len())
    }

    /// The next step by what the control plane shows at `now`, a time that never goes back. To be
    /// called again after the step was carried out and the control plane shows it.
    pub fn step(&mut self, now: Duration, view: &FleetView) -> RestartStep {
        if let Some(lost) = self.find_lost_node(view) {
            return RestartStep::Stop(StopReason::NodeLost(lost));
        }
        for planned in &mut self.plan {
            if let Some(step) = planned.advance(&self.limits, now, view) {
                return step;
            }
        }
        if self
            .plan
            .iter()
            .all(|planned| planned.progress == Progress::Done)
        {
            return RestartStep::Done;
        }
        self.drain_next(now, view).unwrap_or(RestartStep::Wait)
    }

    /// A machine that was registered at the start, is missing now, and was not released.
    fn find_lost_node(&self, view: &FleetView) -> Option<NodeId> {
        let is_lost = |node: &&NodeId| !view.live.contains_key(*node) && !self.is_released(node);
        self.registered_at_start.iter().find(is_lost).cloned()
    }

    fn is_released(&self, node: &NodeId) -> bool {
        self.plan
            .iter()
            .any(|planned| planned.node == *node && planned.progress.is_released())
    }

    /// Drains the first pending node that the disruption budget allows; `None` if none may drain
    /// now.
    fn drain_next(&mut self, now: Duration, view: &FleetView) -> Option<RestartStep> {
        let unavailable = self
            .plan
            .iter()
            .filter(|planned| planned.progress.is_out_of_service())
            .count();
        if unavailable >= self.limits.max_unavailable {
            return None;
        }
        let next = self.plan.iter_mut().find(|planned| {
            planned.progress == Progress::Pending && may_drain(&planned.node, view)
        })?;
        let node = next.node.clone();
        if view.drains.contains_key(&node) {
            return Some(RestartStep::Stop(StopReason::ConflictingOrder(node)));
        }
        let incarnation = view.live.get(&node)?.incarnation;
        next.progress = Progress::Draining {
            ordered_at: now,
            incarnation,
        };
        Some(RestartStep::Drain(node))
    }
}

impl PlannedNode {
    /// Advances a node that is out of service; `None` if it has no step now.
    fn advance(
        &mut self,
        limits: &RestartLimits,
        now: Duration,
        view: &FleetView,
    ) -> Option<RestartStep> {
        let drained = view.drains.get(&self.node).copied();
        let node = self.node.clone();
        match self.progress {
            Progress::Pending | Progress::Done => None,
            Progress::Draining {
                ordered_at,
                incarnation,
            } => match drained {
                Some(true) => {
                    self.progress = Progress::Restarting {
                        released_at: now,
                        incarnation,
                    };
                    Some(RestartStep::Restart(node))
                }
                Some(false) if now.saturating_sub(ordered_at) < limits.drain_timeout => None,
                Some(false) => Some(RestartStep::Stop(StopReason::DrainTimedOut(node))),
                None => Some(RestartStep::Stop(StopReason::ConflictingOrder(node))),
            },
            Progress::Restarting {
                released_at,
                incarnation,
            } => {
                if drained.is_none() {
                    return Some(RestartStep::Stop(StopReason::ConflictingOrder(node)));
                }
                if view
                    .live
                    .get(&node)
                    .is_some_and(|live| live.incarnation != incarnation)
                {
                    self.progress = Progress::Undraining;
                    return Some(RestartStep::Undrain(node));
                }
                if now.saturating_sub(released_at) >= limits.restart_timeout {
                    return Some(RestartStep::Stop(StopReason::RestartTimedOut(node)));
                }
                None
            }
            Progress::Undraining => {
                if drained.is_none() {
                    self.progress = Progress::Done;
                }
                None
            }
        }
    }
}

/// Whether the disruption budget allows the node to drain too. The last node in service of a zone
/// never drains: a rolling restart does not take a whole zone out.
fn may_drain(node: &NodeId, view: &FleetView) -> bool {
    let members: Vec<BudgetMember> = view
        .live
        .iter()
        .map(|(name, live)| BudgetMember {
            zone: live.zone.clone(),
            is_draining: name == node || view.drains.contains_key(name),
        })
        .collect();
    let zone = view.live.get(node).map(|live| &live.zone);
    let zone_stays_in_service = members
        .iter()
        .any(|member| Some(&member.zone) == zone && !member.is_draining);
    zone_stays_in_service && check_disruption_budget(&members).is_ok()
}
