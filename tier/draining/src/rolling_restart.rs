//! The plan of a roll: every node of a list is drained, replaced or started anew by whoever runs the roll, and taken
//! back, a few at a time.
//!
//! The plan never has more nodes out at once than its bound, and never a node out for which [`crate::room`] finds no
//! room. It stops by itself when another machine is lost, when a node does not get empty in time, or when a
//! node does not come back.

use std::collections::BTreeMap;
use std::time::Duration;

use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};

use crate::room::{check, Member};

/// The bounds of a roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimits {
    /// Nodes out of service at once.
    pub max_unavailable: usize,
    /// The longest time until a node that was drained is empty.
    pub drain_timeout: Duration,
    /// The longest time until an empty node is back with a new life.
    pub restart_timeout: Duration,
}

/// A node as the control plane shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeView {
    /// Its zone.
    pub zone: ZoneName,
    /// The life of its agent.
    pub incarnation: Incarnation,
}

/// What the control plane shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Live forwarders.
    pub live: BTreeMap<NodeId, NodeView>,
    /// Nodes that are out of service, and whether they are empty.
    pub drains: BTreeMap<NodeId, bool>,
}

/// What the roll does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartStep {
    /// Take this node out of service.
    Drain(NodeId),
    /// This node is empty: it may be replaced or started anew.
    Restart(NodeId),
    /// This node is back: take it into service again.
    Undrain(NodeId),
    /// Nothing now.
    Wait,
    /// All nodes were done.
    Done,
    /// The roll goes no further.
    Stop(StopReason),
}

/// Why a roll goes no further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// A machine is lost that the roll did not take out.
    #[error("{0} is lost")]
    Lost(NodeId),
    /// A node did not get empty in time.
    #[error("{0} does not get empty")]
    NotEmpty(NodeId),
    /// A node that was released did not come back in time.
    #[error("{0} does not come back")]
    NotBack(NodeId),
    /// Somebody else lifted an order of the roll, or gave one for a node that it had not reached.
    #[error("{0} was drained or taken back by somebody else")]
    Foreign(NodeId),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Ordered {
        since: Duration,
        incarnation: Incarnation,
    },
    Released {
        since: Duration,
        incarnation: Incarnation,
    },
    Lifted,
    Done,
}

/// A roll under way.
#[derive(Clone, Debug)]
pub struct RollingRestart {
    bounds: RestartLimits,
    nodes: Vec<(NodeId, Progress)>,
    /// Machines that were live when the roll began.
    expected: Vec<NodeId>,
}

impl RollingRestart {
    /// A roll over these nodes, in their order.
    pub fn new(bounds: RestartLimits, nodes: Vec<NodeId>, view: &FleetView) -> Self {
        let expected = view.live.keys().cloned().collect();
        let nodes = nodes
            .into_iter()
            .map(|node| (node, Progress::Waiting))
            .collect();
        RollingRestart {
            bounds,
            nodes,
            expected,
        }
    }

    /// Nodes that are done, and all.
    pub fn progress(&self) -> (usize, usize) {
        let done = self
            .nodes
            .iter()
            .filter(|(_, progress)| *progress == Progress::Done)
            .count();
        (done, self.nodes.len())
    }

    /// The next step by what the control plane shows at `now`. To be called again after the step was carried out and
    /// the control plane shows it.
    pub fn step(&mut self, now: Duration, view: &FleetView) -> RestartStep {
        if let Some(lost) = self.lost(view) {
            return RestartStep::Stop(StopReason::Lost(lost));
        }
        for at in 0..self.nodes.len() {
            if let Some(step) = self.go_on(at, now, view) {
                return step;
            }
        }
        if self
            .nodes
            .iter()
            .all(|(_, progress)| *progress == Progress::Done)
        {
            return RestartStep::Done;
        }
        self.begin_next(now, view).unwrap_or(RestartStep::Wait)
    }

    /// A machine that was there at the start, is not there now, and is not one that the roll released.
    fn lost(&self, view: &FleetView) -> Option<NodeId> {
        let is_released = |node: &NodeId| {
            let released = |(of, progress): &(NodeId, Progress)| {
                of == node && matches!(progress, Progress::Released { .. } | Progress::Lifted)
            };
            self.nodes.iter().any(released)
        };
        let missing = self
            .expected
            .iter()
            .find(|node| !view.live.contains_key(*node) && !is_released(node));
        missing.cloned()
    }

    fn go_on(&mut self, at: usize, now: Duration, view: &FleetView) -> Option<RestartStep> {
        let (node, progress) = self.nodes[at].clone();
        let drained = view.drains.get(&node).copied();
        match progress {
            Progress::Waiting | Progress::Done => None,
            Progress::Ordered { since, incarnation } => match drained {
                Some(true) => {
                    self.nodes[at].1 = Progress::Released {
                        since: now,
                        incarnation,
                    };
                    Some(RestartStep::Restart(node))
                }
                Some(false) if now.saturating_sub(since) < self.bounds.drain_timeout => None,
                Some(false) => Some(RestartStep::Stop(StopReason::NotEmpty(node))),
                None => Some(RestartStep::Stop(StopReason::Foreign(node))),
            },
            Progress::Released { since, incarnation } => {
                let is_back = view
                    .live
                    .get(&node)
                    .is_some_and(|live| live.incarnation != incarnation);
                if drained.is_none() {
                    return Some(RestartStep::Stop(StopReason::Foreign(node)));
                }
                if is_back {
                    self.nodes[at].1 = Progress::Lifted;
                    return Some(RestartStep::Undrain(node));
                }
                let is_late = now.saturating_sub(since) >= self.bounds.restart_timeout;
                is_late.then_some(RestartStep::Stop(StopReason::NotBack(node)))
            }
            Progress::Lifted if drained.is_none() => {
                self.nodes[at].1 = Progress::Done;
                None
            }
            Progress::Lifted => None,
        }
    }

    /// Takes out the first node for which there is room.
    fn begin_next(&mut self, now: Duration, view: &FleetView) -> Option<RestartStep> {
        let out = self
            .nodes
            .iter()
            .filter(|(_, progress)| is_out(progress))
            .count();
        if out >= self.bounds.max_unavailable {
            return None;
        }
        let waiting = |(_, progress): &(NodeId, Progress)| *progress == Progress::Waiting;
        let at = (0..self.nodes.len())
            .find(|at| waiting(&self.nodes[*at]) && has_room(&self.nodes[*at].0, view))?;
        let node = self.nodes[at].0.clone();
        if view.drains.contains_key(&node) {
            return Some(RestartStep::Stop(StopReason::Foreign(node)));
        }
        let incarnation = view.live.get(&node).map(|live| live.incarnation)?;
        self.nodes[at].1 = Progress::Ordered {
            since: now,
            incarnation,
        };
        Some(RestartStep::Drain(node))
    }
}

fn is_out(progress: &Progress) -> bool {
    !matches!(progress, Progress::Waiting | Progress::Done)
}

/// Whether enough stay when the node leaves too.
fn has_room(node: &NodeId, view: &FleetView) -> bool {
    let member = |(name, live): (&NodeId, &NodeView)| Member {
        zone: live.zone.clone(),
        leaves: name == node || view.drains.contains_key(name),
    };
    let members: Vec<Member> = view.live.iter().map(member).collect();
    let zone = view.live.get(node).map(|live| &live.zone);
    let zone_stays = members
        .iter()
        .any(|member| Some(&member.zone) == zone && !member.leaves);
    zone_stays && check(&members).is_ok()
}
