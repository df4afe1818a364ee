//! What this controller knows, for the command line.

use plankhill_protocol::tables::{StoreMember, Tables};
use serde::Serialize;

use super::answer::{ok, Answer};
use crate::log::ControlLog;
use crate::process::Controller;

/// The whole status.
#[derive(Serialize)]
struct Status {
    node: String,
    current: bool,
    view: u64,
    chain: Vec<String>,
    voters: Vec<String>,
    revision: u64,
    configuration_version: u64,
    targets: usize,
    edges: Vec<String>,
    stores: StoresStatus,
    subscribers: Vec<SubscriberLag>,
}

#[derive(Serialize)]
struct StoresStatus {
    epoch: u64,
    serving: Vec<String>,
    next: Option<Vec<String>>,
    synced: Vec<String>,
}

#[derive(Serialize)]
struct SubscriberLag {
    node: String,
    applied: u64,
    behind: u64,
}

/// The status as this controller sees it, also when it is cut off.
pub fn status<L: ControlLog>(controller: &Controller<L>) -> Answer {
    let place = controller.log.place();
    let committed = controller.log.state().borrow().clone();
    let tables: Tables = plankhill_control::tables_of(&committed.state, committed.revision);
    let stores = committed.state.stores();
    let subscribers = controller.subscribers.borrow();
    let lag = subscribers.iter().map(|subscriber| SubscriberLag {
        node: subscriber.node.to_string(),
        applied: subscriber.applied.0,
        behind: committed.revision.0.saturating_sub(subscriber.applied.0),
    });
    ok(&Status {
        node: controller.node.to_string(),
        current: controller.log.is_current(),
        view: place.view,
        chain: place
            .chain
            .iter()
            .map(|peer| peer.node.to_string())
            .collect(),
        voters: place
            .voters
            .iter()
            .map(|peer| peer.node.to_string())
            .collect(),
        revision: committed.revision.0,
        configuration_version: committed.state.configuration_history().current_version(),
        targets: tables.targets.len(),
        edges: tables
            .edges
            .iter()
            .map(|edge| edge.node.to_string())
            .collect(),
        stores: StoresStatus {
            epoch: stores.view().epoch.0,
            serving: names(&stores.view().serving),
            next: stores.view().next.as_deref().map(names),
            synced: stores.synced_members().map(ToString::to_string).collect(),
        },
        subscribers: lag.collect(),
    })
}

fn names(members: &[StoreMember]) -> Vec<String> {
    members
        .iter()
        .map(|member| member.node.to_string())
        .collect()
}
