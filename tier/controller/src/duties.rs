//! Which housekeeping is due: decisions without I/O. Done by the head of the chain only; each duty carries the
//! number of the head's view, and the control state refuses those of older views.

use std::time::{Duration, Instant};

use plankhill_control::{ControlState, Duty, ExpiredTarget};
use plankhill_protocol::tables::StoreMember;

use crate::liveness::{Liveness, MachineLife};
use crate::log::Place;

/// Heartbeats that a target may miss in a row before it is forgotten.
const MISSED_HEARTBEATS: u32 = 4;
/// Added to the missed heartbeats: a target tries the next controller after a second without answer.
const HEARTBEAT_SLACK: Duration = Duration::from_secs(1);
/// Edges and joining stores that are silent for this long are gone: above the contact bound of deployments
/// (3 s), so that a short cut does not remove them.
const MACHINE_SILENCE: Duration = Duration::from_secs(4);
/// A serving store that is silent for this long is done without although nobody replaced it.
const STORE_LOST: Duration = Duration::from_secs(30);
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
}

impl Duties {
    /// For targets that send a heartbeat every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Duties { target_silence: heartbeat * MISSED_HEARTBEATS + HEARTBEAT_SLACK, heads: None }
    }

    /// How long whoever was heard must be remembered.
    pub fn memory(&self) -> Duration {
        self.target_silence.max(STORE_LOST) * 2
    }

    /// What is due now. A new head first listens for as long as the silence that it acts on.
    pub fn due(
        &mut self,
        place: &Place,
        current: bool,
        state: &ControlState,
        liveness: &Liveness,
        now: Instant,
    ) -> Vec<Duty> {
        let Some(since) = self.heads_since(place, current, now) else { return Vec::new() };
        let listened = now.saturating_duration_since(since);
        let mut due = Vec::new();
        due.extend(self.expired_targets(state, liveness, listened, now));
        due.extend(silent_edges(state, liveness, listened, now));
        due.extend(lost_store(state, liveness, listened, now));
        if state.stores().can_found_with_fewer() && listened >= FOUNDING_GRACE {
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

    fn expired_targets(
        &self,
        state: &ControlState,
        liveness: &Liveness,
        listened: Duration,
        now: Instant,
    ) -> Option<Duty> {
        if listened < self.target_silence {
            return None;
        }
        let silent = state
            .targets()
            .iter()
            .filter(|target| !liveness.target_within(&target.id, self.target_silence, now));
        let expired: Vec<ExpiredTarget> = silent
            .map(|target| ExpiredTarget { id: target.id.clone(), sequence: target.sequence })
            .take(EXPIRED_AT_ONCE)
            .collect();
        (!expired.is_empty()).then_some(Duty::ExpireTargets(expired))
    }
}

fn silent_edges(state: &ControlState, liveness: &Liveness, listened: Duration, now: Instant) -> Vec<Duty> {
    if listened < MACHINE_SILENCE {
        return Vec::new();
    }
    let silent = state.edges().iter().filter(|edge| {
        let life = MachineLife { node: edge.node.clone(), incarnation: edge.incarnation };
        !liveness.machine_within(&life, MACHINE_SILENCE, now)
    });
    silent.map(|edge| Duty::ForgetEdge { node: edge.node.clone(), incarnation: edge.incarnation }).collect()
}

/// At most one store is dropped at a time. A serving store may go early only if a new one is about to join.
fn lost_store(state: &ControlState, liveness: &Liveness, listened: Duration, now: Instant) -> Option<Duty> {
    let view = state.stores().view();
    let serves = |member: &StoreMember| view.serving.iter().any(|serving| serving.node == member.node);
    let successor_joins = view.next.iter().flatten().any(|member| !serves(member));
    let lost_after = |member: &StoreMember| {
        let joins = !view.serving.contains(member);
        if joins || successor_joins {
            MACHINE_SILENCE
        } else {
            STORE_LOST
        }
    };
    let members = view.next.as_ref().unwrap_or(&view.serving);
    let lost = members.iter().find(|member| {
        let life = MachineLife { node: member.node.clone(), incarnation: member.incarnation };
        let silence = lost_after(member);
        listened >= silence
            && !liveness.machine_within(&life, silence, now)
            && state.stores().can_drop(&member.node, member.incarnation)
    })?;
    Some(Duty::DropStore { node: lost.node.clone(), incarnation: lost.incarnation })
}
