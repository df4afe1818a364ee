//! Tests the head of an older view whose tasks are rejected: it stops proposing tasks immediately,
//! and resumes only as the head of a later view.

mod common;

use std::time::Duration;

use common::{block_on, edge, ControllerHarness, MemoryLog};
use plankhill_control::{Operation, Outcome, SingletonTask};
use plankhill_controller::control_log::ChainStatus;
use plankhill_controller::singleton::{run_singleton_tasks, Fence};
use plankhill_protocol::ids::{Incarnation, NodeId};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time by which silent edges are due for removal.
const EDGE_EXPIRY_TIME: Duration = Duration::from_secs(6);
/// Time for many checks for due tasks.
const MANY_SCHEDULE_INTERVALS: Duration = Duration::from_millis(2_500);
/// The view of the former head, which still considers itself the head, and the view of the later
/// head.
const FORMER_VIEW: u64 = 3;
const LATER_VIEW: u64 = 5;

fn head_of(view: u64) -> ChainStatus {
    ChainStatus {
        view,
        is_head: true,
        ..ChainStatus::default()
    }
}

/// Registers three silent edges, so that three tasks become due at the same time.
fn harness_with_silent_edges() -> ControllerHarness {
    let harness = ControllerHarness::new();
    for number in 1..=3 {
        let silent = edge(&format!("e{number}"), number);
        harness.log.commit(&Operation::RegisterEdge(silent));
    }
    harness.log.set_chain_status(head_of(FORMER_VIEW));
    harness
}

/// Commits a task of the head of a later view, which is unknown to this controller.
fn commit_task_of_later_head(log: &MemoryLog) {
    let task = SingletonTask::ExpireEdge {
        node: NodeId::from("e9"),
        incarnation: Incarnation(9),
    };
    let operation = Operation::SingletonTask {
        view: LATER_VIEW,
        task,
    };
    log.commit(&operation);
}

async fn run_for(harness: &ControllerHarness, duration: Duration) {
    let tasks = run_singleton_tasks(harness.controller.clone(), HEARTBEAT_INTERVAL);
    let _ = tokio::time::timeout(duration, tasks).await;
}

#[test]
fn a_former_head_whose_task_is_rejected_proposes_no_more() {
    let harness = harness_with_silent_edges();
    commit_task_of_later_head(&harness.log);
    block_on(async {
        run_for(&harness, EDGE_EXPIRY_TIME + MANY_SCHEDULE_INTERVALS).await;
    });
    assert_eq!(
        harness.log.singleton_views(),
        [FORMER_VIEW],
        "one task was rejected"
    );
    assert_eq!(harness.log.control_state().edges().iter().count(), 3);
}

/// Guards against a suspended, slow or partitioned head. The outcome of its first task is delayed
/// while the other tasks wait.
#[test]
fn waiting_tasks_are_not_proposed_after_a_slow_rejection() {
    let harness = harness_with_silent_edges();
    harness.log.set_proposal_delay(Duration::from_millis(700));
    commit_task_of_later_head(&harness.log);
    block_on(async {
        run_for(&harness, EDGE_EXPIRY_TIME + MANY_SCHEDULE_INTERVALS).await;
    });
    assert_eq!(harness.log.singleton_views(), [FORMER_VIEW]);
}

/// Guards against a head that is replaced while its first task is in flight: its chain status no
/// longer names it as the head.
#[test]
fn waiting_tasks_are_not_proposed_after_the_head_changes() {
    let harness = harness_with_silent_edges();
    harness.log.set_proposal_delay(Duration::from_millis(700));
    let log = harness.log.clone();
    block_on(async {
        let demotion = async {
            while log.singleton_views().is_empty() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            log.set_chain_status(ChainStatus::default());
        };
        tokio::join!(
            run_for(&harness, EDGE_EXPIRY_TIME + MANY_SCHEDULE_INTERVALS),
            demotion
        );
    });
    assert_eq!(harness.log.singleton_views(), [FORMER_VIEW]);
}

#[test]
fn a_rejected_head_proposes_again_in_a_later_view() {
    let harness = harness_with_silent_edges();
    commit_task_of_later_head(&harness.log);
    let log = harness.log.clone();
    block_on(async {
        let promotion = async {
            while log.singleton_views().is_empty() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            tokio::time::sleep(Duration::from_millis(600)).await;
            log.set_chain_status(head_of(LATER_VIEW + 1));
        };
        tokio::join!(
            run_for(&harness, EDGE_EXPIRY_TIME + MANY_SCHEDULE_INTERVALS),
            promotion
        );
    });
    let views = harness.log.singleton_views();
    assert_eq!(views[0], FORMER_VIEW);
    assert!(
        views[1..].iter().all(|view| *view == LATER_VIEW + 1),
        "{views:?}"
    );
    assert_eq!(harness.log.control_state().edges().iter().count(), 0);
}

#[test]
fn a_fence_admits_only_views_after_the_rejected_ones() {
    let mut fence = Fence::default();
    assert!(fence.admits(0));
    fence.record_rejection(4);
    fence.record_rejection(2);
    assert!(!fence.admits(2));
    assert!(!fence.admits(4));
    assert!(fence.admits(5));
}

#[test]
fn the_control_state_rejects_tasks_of_older_views() {
    let harness = harness_with_silent_edges();
    commit_task_of_later_head(&harness.log);
    let task = SingletonTask::BootstrapStores;
    let view = FORMER_VIEW;
    let outcome = harness.log.commit(&Operation::SingletonTask { view, task });
    assert_eq!(outcome, Outcome::Fenced);
}
