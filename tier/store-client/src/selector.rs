//! The order in which a proxy calls the stores.

use std::time::Duration;

use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::time::Instant;

/// A store that failed is called last for this time: long enough to skip a dead store, short enough to
/// return to the store in the own zone soon after it is back.
const DEPRIORITIZED_TTL: Duration = Duration::from_millis(1_000);

/// A store that failed lately.
#[derive(Debug)]
struct Deprioritized {
    node: NodeId,
    until: Instant,
}

/// Orders the serving stores by zone, and those that failed lately behind all others.
#[derive(Debug, Default)]
pub struct StoreSelector {
    members: Vec<StoreMember>,
    deprioritized: Vec<Deprioritized>,
}

impl StoreSelector {
    /// Takes the serving stores of a new view, those of the own zone first.
    pub fn set_view(&mut self, view: &StoreView, zone: &ZoneName) {
        self.members = view.serving.clone();
        self.members
            .sort_by(|one, other| rank(one, zone).cmp(&rank(other, zone)));
        let members = &self.members;
        self.deprioritized
            .retain(|failed| members.iter().any(|member| member.node == failed.node));
    }

    /// The stores in the order in which they are to be called.
    pub fn ordered(&self, now: Instant) -> Vec<StoreMember> {
        let (mut ordered, last): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .cloned()
            .partition(|member| !self.is_deprioritized(&member.node, now));
        ordered.extend(last);
        ordered
    }

    /// Whether no store is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Records that a store failed, or did not answer in time.
    pub fn record_failure(&mut self, node: &NodeId, now: Instant) {
        self.record_success(node);
        let until = now + DEPRIORITIZED_TTL;
        self.deprioritized.push(Deprioritized {
            node: node.clone(),
            until,
        });
    }

    /// Records that a store answered.
    pub fn record_success(&mut self, node: &NodeId) {
        self.deprioritized.retain(|failed| failed.node != *node);
    }

    fn is_deprioritized(&self, node: &NodeId, now: Instant) -> bool {
        self.deprioritized
            .iter()
            .any(|failed| failed.node == *node && now < failed.until)
    }
}

fn rank<'a>(member: &'a StoreMember, zone: &ZoneName) -> (bool, &'a NodeId) {
    (member.zone != *zone, &member.node)
}
