//! The plan of a rolling restart: each node of a list is drained, replaced or restarted by the
//! operator, and returned to service, a few nodes at a time.
//!
//! The command line (`plankhill-tier roll`) owns the [`RollingRestart`], passes it the state that
//! the control plane reports, and carries out its steps. The plan never has more nodes out of
//! service than its limit, and never drains a node beyond the
//! [disruption budget](crate::disruption_budget). It stops when a node that it has not released is
//! lost, when a node does not drain in time, or when a released node does not restart in time.

use std::collections::BTreeMap;
use std::time::Duration;

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};

use crate::disruption_budget::{check_disruption_budget, BudgetMember};

/// The limits of a rolling restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimits {
    /// Maximum number of nodes out of service at once.
    pub max_unavailable: usize,
    /// The longest time from the drain order until the node has drained.
    pub drain_timeout: Duration,
    /// The longest time from the release of a drained node until it is registered with a new
    /// incarnation.
    pub restart_timeout: Duration,
}

/// A node as reported by the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeView {
    /// The node's zone.
    pub zone: ZoneName,
    /// The incarnation of the node's agent.
    pub incarnation: Incarnation,
}

/// The forwarders and drain orders reported by the control plane.
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
    /// This node has a new incarnation: return it to service.
    Undrain(NodeId),
    /// Nothing to do now.
    Wait,
    /// All nodes have been restarted and returned to service.
    Done,
    /// Stop the rolling restart.
    Stop(StopReason),
}

/// Why a rolling restart stops.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// A node that the rolling restart has not released is no longer registered.
    #[error("{0} is lost")]
    NodeLost(NodeId),
    /// A node did not drain in time.
    #[error("{0} did not drain in time")]
    DrainTimedOut(NodeId),
    /// A released node was not registered with a new incarnation in time.
    #[error("{0} did not restart in time")]
    RestartTimedOut(NodeId),
    /// Another operator lifted a drain order of the rolling restart, or drained a node that the
    /// rolling restart had not drained yet.
    #[error("{0} was drained or undrained by another operator")]
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

    /// Whether the node may be unregistered: it was released and has not returned to service yet.
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
    /// Nodes that were registered when the rolling restart began.
    registered_at_start: Vec<NodeId>,
}

impl RollingRestart {
    /// Creates a rolling restart of these nodes, in the given order.
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

    /// The number of completed nodes, and the number of all nodes.
    pub fn progress(&self) -> (usize, usize) {
        let done = self
            .plan
            .iter()
            .filter(|planned| planned.progress == Progress::Done)
            .count();
        (done, self.plan.len())
    }

    /// Returns the next step for the state that the control plane reports at `now`, a time that
    /// never decreases. Call it again once the step was carried out and the control plane reports
    /// its effect.
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

    /// Finds a node that was registered at the start, is not registered now, and was not released.
    fn find_lost_node(&self, view: &FleetView) -> Option<NodeId> {
        let is_lost = |node: &&NodeId| !view.live.contains_key(*node) && !self.is_released(node);
        self.registered_at_start.iter().find(is_lost).cloned()
    }

    fn is_released(&self, node: &NodeId) -> bool {
        self.plan
            .iter()
            .any(|planned| planned.node == *node && planned.progress.is_released())
    }

    /// Drains the first pending node whose drain the disruption budget allows; `None` if no node
    /// may drain now.
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

/// Whether the disruption budget allows the node to drain in addition to the nodes that are already
/// draining. The last node in service of a zone never drains: a rolling restart does not take a
/// complete zone out of service.
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
