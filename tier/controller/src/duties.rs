//! Which housekeeping is due: decisions without I/O. Done by the head of the chain only; each duty carries the
//! number of the head's view, and the control state refuses those of older views.

use std::time::{Duration, Instant};

use plankhill_control::{ControlState, Duty, ExpiredTarget};
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};
use plankhill_protocol::tables::StoreMember;

use crate::first_seen::FirstSeen;
use crate::liveness::{Liveness, MachineLife};
use crate::log::Place;

/// Heartbeats that a target may miss in a row before it is forgotten.
const MISSED_HEARTBEATS: u32 = 4;
/// Added to the missed heartbeats: a target tries the next controller after a second without answer.
const HEARTBEAT_SLACK: Duration = Duration::from_secs(1);
/// Edges and joining stores that are silent for this long are gone: above the contact bound of deployments
/// (3 s), so that a short cut does not remove them.
const MACHINE_SILENCE: Duration = Duration::from_secs(4);
/// A serving store that is silent for this long is done without although nobody just joined, if enough others
/// serve: its successor may have joined before it ended, and while it counts the next loss is one too many. Well
/// above the cuts and freezes that stores come back from with their disks.
const STORE_LOST: Duration = Duration::from_secs(8);
/// Stores start within 0.3 s of each other; fewer than 2f+1 after this time are all that there are.
const FOUNDING_GRACE: Duration = Duration::from_secs(4);
/// Targets expired by one operation at most.
const EXPIRED_AT_ONCE: usize = 256;

/// Decides what is due.
#[derive(Debug)]
pub struct Duties {
    target_silence: Duration,
    /// The view that this controller heads, and since when.
    heads: Option<(u64, Instant)>,
    targets: FirstSeen<InstanceId>,
    machines: FirstSeen<MachineLife>,
}

/// What a decision is made from.
struct Now<'a> {
    state: &'a ControlState,
    liveness: &'a Liveness,
    time: Instant,
}

impl Duties {
    /// For targets that send a heartbeat every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Duties {
            target_silence: heartbeat * MISSED_HEARTBEATS + HEARTBEAT_SLACK,
            heads: None,
            targets: FirstSeen::default(),
            machines: FirstSeen::default(),
        }
    }

    /// How long whoever was heard must be remembered.
    pub fn memory(&self) -> Duration {
        self.target_silence.max(STORE_LOST) * 2
    }

    /// What is due now. A new head listens for as long as the silence that it acts on, and so does every head to
    /// whoever has just been registered: another controller may hear them.
    pub fn due(
        &mut self,
        place: &Place,
        current: bool,
        state: &ControlState,
        liveness: &Liveness,
        now: Instant,
    ) -> Vec<Duty> {
        let Some(since) = self.heads_since(place, current, now) else {
            self.targets.clear();
            self.machines.clear();
            return Vec::new();
        };
        self.targets
            .update(state.targets().iter().map(|target| target.id.clone()), now);
        self.machines.update(machines_of(state), now);
        let at = Now {
            state,
            liveness,
            time: now,
        };
        let mut due = Vec::new();
        due.extend(self.expired_targets(&at));
        due.extend(self.silent_edges(&at));
        due.extend(self.lost_store(&at));
        if state.stores().can_found_with_fewer()
            && now.saturating_duration_since(since) >= FOUNDING_GRACE
        {
            due.push(Duty::FoundStores);
        }
        due
    }

    /// Since when this controller is the head and current; a new view does not interrupt that.
    fn heads_since(&mut self, place: &Place, current: bool, now: Instant) -> Option<Instant> {
        if !(place.is_head && current) {
            self.heads = None;
            return None;
        }
        let since = self.heads.map_or(now, |(_, since)| since);
        self.heads = Some((place.view, since));
        Some(since)
    }

    fn expired_targets(&self, at: &Now<'_>) -> Option<Duty> {
        let silence = self.target_silence;
        let silent = at.state.targets().iter().filter(|target| {
            self.targets.for_long(&target.id, silence, at.time)
                && !at.liveness.target_within(&target.id, silence, at.time)
        });
        let expired: Vec<ExpiredTarget> = silent
            .map(|target| ExpiredTarget {
                id: target.id.clone(),
                sequence: target.sequence,
            })
            .take(EXPIRED_AT_ONCE)
            .collect();
        (!expired.is_empty()).then_some(Duty::ExpireTargets(expired))
    }

    fn silent_edges(&self, at: &Now<'_>) -> Vec<Duty> {
        let lives = at
            .state
            .edges()
            .iter()
            .map(|edge| life(&edge.node, edge.incarnation));
        let silent = lives.filter(|life| self.machine_silent(life, MACHINE_SILENCE, at));
        silent
            .map(|MachineLife { node, incarnation }| Duty::ForgetEdge { node, incarnation })
            .collect()
    }

    /// At most one store is dropped at a time. A serving store may go early only if a new one is about to join.
    fn lost_store(&self, at: &Now<'_>) -> Option<Duty> {
        let view = at.state.stores().view();
        let serves = |member: &StoreMember| {
            view.serving
                .iter()
                .any(|serving| serving.node == member.node)
        };
        let successor_joins = view.next.iter().flatten().any(|member| !serves(member));
        let members = view.next.as_ref().unwrap_or(&view.serving);
        let lost = members.iter().find(|member| {
            let joins = !view.serving.contains(member);
            let silence = if joins || successor_joins {
                MACHINE_SILENCE
            } else {
                STORE_LOST
            };
            self.machine_silent(&life(&member.node, member.incarnation), silence, at)
                && at.state.stores().can_drop(&member.node, member.incarnation)
        })?;
        Some(Duty::DropStore {
            node: lost.node.clone(),
            incarnation: lost.incarnation,
        })
    }

    fn machine_silent(&self, life: &MachineLife, silence: Duration, at: &Now<'_>) -> bool {
        self.machines.for_long(life, silence, at.time)
            && !at.liveness.machine_within(life, silence, at.time)
    }
}

fn machines_of(state: &ControlState) -> impl Iterator<Item = MachineLife> + '_ {
    let view = state.stores().view();
    let stores = view.serving.iter().chain(view.next.iter().flatten());
    let edges = state
        .edges()
        .iter()
        .map(|edge| life(&edge.node, edge.incarnation));
    stores
        .map(|member| life(&member.node, member.incarnation))
        .chain(edges)
}

fn life(node: &NodeId, incarnation: Incarnation) -> MachineLife {
    MachineLife {
        node: node.clone(),
        incarnation,
    }
}
