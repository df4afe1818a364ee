//! The order in which a proxy calls the stores.

use std::time::Duration;

use plankhill_protocol::ids::{NodeId, ZoneName};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::time::Instant;

/// Time for which a failed store is called last: long enough to skip a dead store, and short enough to
/// return to the store in the proxy's zone soon after it has recovered.
const DEPRIORITIZED_TTL: Duration = Duration::from_millis(1_000);

/// A store that failed recently.
#[derive(Debug)]
struct Deprioritized {
    node: NodeId,
    until: Instant,
}

/// Orders the serving stores by zone, with those that failed recently after all others.
#[derive(Debug, Default)]
pub struct StoreSelector {
    members: Vec<StoreMember>,
    deprioritized: Vec<Deprioritized>,
}

impl StoreSelector {
    /// Sets the serving stores of a new view, ordered with those in `zone` first.
    pub fn set_view(&mut self, view: &StoreView, zone: &ZoneName) {
        self.members = view.serving.clone();
        self.members
            .sort_by(|one, other| rank(one, zone).cmp(&rank(other, zone)));
        let members = &self.members;
        self.deprioritized
            .retain(|failed| members.iter().any(|member| member.node == failed.node));
    }

    /// Returns the stores in the order in which to call them.
    pub fn ordered(&self, now: Instant) -> Vec<StoreMember> {
        let (mut ordered, last): (Vec<_>, Vec<_>) = self
            .members
            .iter()
            .cloned()
            .partition(|member| !self.is_deprioritized(&member.node, now));
        ordered.extend(last);
        ordered
    }

    /// Returns whether there is no store to call.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Records that a store failed, or did not reply in time.
    pub fn record_failure(&mut self, node: &NodeId, now: Instant) {
        self.record_success(node);
        let until = now + DEPRIORITIZED_TTL;
        self.deprioritized.push(Deprioritized {
            node: node.clone(),
            until,
        });
    }

    /// Records that a store replied.
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
