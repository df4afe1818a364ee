//! Which store is asked next.

use std::time::Duration;

use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::time::Instant;

/// A store that failed is asked last for this time: long enough to skip a dead store, short enough to come
/// back to the one in the own zone soon after its return.
const AVOIDED: Duration = Duration::from_millis(1_000);

/// The order in which a proxy asks the stores.
#[derive(Debug, Default)]
pub struct StoreChoice {
    members: Vec<StoreMember>,
    avoided: Vec<(NodeId, Instant)>,
}

impl StoreChoice {
    /// Takes a new view: the serving stores, those of the own zone first.
    pub fn set_view(&mut self, view: &StoreView, zone: &ZoneName) {
        self.members = view.serving.clone();
        self.members
            .sort_by(|one, other| order(one, zone).cmp(&order(other, zone)));
        let members = &self.members;
        self.avoided
            .retain(|(node, _)| members.iter().any(|member| member.node == *node));
    }

    /// The stores in the order in which they are to be asked; those that failed lately come last.
    pub fn order(&self, now: Instant) -> Vec<StoreMember> {
        let (late, ready): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .cloned()
            .partition(|member| self.is_avoided(&member.node, now));
        ready.into_iter().chain(late).collect()
    }

    /// Whether any store is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A store failed or did not answer in time.
    pub fn failed(&mut self, node: &NodeId, now: Instant) {
        self.answered(node);
        self.avoided.push((node.clone(), now + AVOIDED));
    }

    /// A store answered.
    pub fn answered(&mut self, node: &NodeId) {
        self.avoided.retain(|(avoided, _)| avoided != node);
    }

    fn is_avoided(&self, node: &NodeId, now: Instant) -> bool {
        self.avoided
            .iter()
            .any(|(avoided, until)| avoided == node && now < *until)
    }
}

fn order<'a>(member: &'a StoreMember, zone: &ZoneName) -> (bool, &'a NodeId) {
    (member.zone != *zone, &member.node)
}
