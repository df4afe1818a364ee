//! `/-/status`: the status of this controller, displayed by the command line tool.

use plankhill_protocol::tables::StoreMember;
use serde::Serialize;

use super::response::{ok, AdminResponse};
use crate::control_log::{ChainPeer, ControlLog};
use crate::controller::Controller;

/// The response body. Its field names are part of the user documentation.
#[derive(Serialize)]
struct StatusBody {
    node: String,
    current: bool,
    view: u64,
    chain: Vec<String>,
    voters: Vec<String>,
    revision: u64,
    configuration_version: u64,
    targets: usize,
    edges: Vec<String>,
    stores: StoresBody,
    subscribers: Vec<SubscriberBody>,
}

#[derive(Serialize)]
struct StoresBody {
    epoch: u64,
    serving: Vec<String>,
    next: Option<Vec<String>>,
    synced: Vec<String>,
}

#[derive(Serialize)]
struct SubscriberBody {
    node: String,
    applied: u64,
    /// Number of revisions that the subscriber has not reported as applied.
    behind: u64,
}

/// Returns the status from this controller's local state, so that it is available even when the
/// controller is partitioned from the others.
pub(super) fn status<L: ControlLog>(controller: &Controller<L>) -> AdminResponse {
    let chain_status = controller.log().chain_status();
    let committed = controller.log().state().borrow().clone();
    let state = &committed.state;
    let stores = state.stores();
    let subscribers = controller.subscribers().statuses();
    ok(&StatusBody {
        node: controller.node().to_string(),
        current: controller.log().is_current(),
        view: chain_status.view,
        chain: peer_names(&chain_status.chain),
        voters: peer_names(&chain_status.voters),
        revision: committed.revision.0,
        configuration_version: state.configuration_history().current_version(),
        targets: state.targets().len(),
        edges: state
            .edges()
            .iter()
            .map(|edge| edge.node.to_string())
            .collect(),
        stores: StoresBody {
            epoch: stores.view().epoch.0,
            serving: member_names(&stores.view().serving),
            next: stores.view().next.as_deref().map(member_names),
            synced: stores.synced_members().map(ToString::to_string).collect(),
        },
        subscribers: subscribers
            .into_iter()
            .map(|subscriber| SubscriberBody {
                node: subscriber.node.to_string(),
                applied: subscriber.applied.0,
                behind: committed.revision.0.saturating_sub(subscriber.applied.0),
            })
            .collect(),
    })
}

fn peer_names(peers: &[ChainPeer]) -> Vec<String> {
    peers.iter().map(|peer| peer.node.to_string()).collect()
}

fn member_names(members: &[StoreMember]) -> Vec<String> {
    members
        .iter()
        .map(|member| member.node.to_string())
        .collect()
}
