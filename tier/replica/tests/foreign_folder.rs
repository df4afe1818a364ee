//! Tests that the data folder of another node is rejected with the name of its owner, and is not
//! changed.

mod common;

use common::{start_three_machines, WordList};
use plankhill_protocol::ids::NodeId;
use plankhill_replica::{start, ReplicaHandle};

#[tokio::test(flavor = "current_thread")]
async fn a_folder_of_another_node_is_rejected() {
    let mut machines = start_three_machines().await;
    machines[0].wait_until_current().await;
    machines[0].kill().await;
    let mut settings = machines[0].settings.clone();
    settings.node = NodeId::from("z");
    let rejected: Result<ReplicaHandle<WordList>, _> = start(settings);
    let Err(error) = rejected else {
        panic!("another node's folder was taken");
    };
    let text = error.to_string();
    assert!(text.contains("holds the data of node a"), "{text}");
    assert!(!text.contains('\n'), "{text}");
    // The owner can still use the folder.
    machines[0].settings.bootstrap = false;
    machines[0].start();
    machines[0]
        .wait_for_status(|status| status.is_in_chain && status.chain.len() == 3)
        .await;
}
