//! Tests the scheduling of singleton tasks in virtual time.

mod common;

use std::time::{Duration, Instant};

use common::{edge, heartbeat, register_store, store, MemoryLog};
use plankhill_control::{Operation, SingletonTask};
use plankhill_controller::admin::parse_heartbeat;
use plankhill_controller::control_log::ChainStatus;
use plankhill_controller::liveness::{Liveness, LivenessReport, MachineIncarnation};
use plankhill_controller::singleton::{ScheduleInput, SingletonScheduler};
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The scheduler of one controller with an in-memory log. The stores are named `s1`, `s2` and so
/// on; each has its number as its incarnation.
struct SchedulerHarness {
    log: MemoryLog,
    scheduler: SingletonScheduler,
    liveness: Liveness,
    now: Instant,
}

impl SchedulerHarness {
    fn new() -> Self {
        SchedulerHarness {
            log: MemoryLog::new(),
            scheduler: SingletonScheduler::new(HEARTBEAT_INTERVAL),
            liveness: Liveness::default(),
            now: Instant::now(),
        }
    }

    fn with_stores(count: u64) -> Self {
        let harness = SchedulerHarness::new();
        for number in 1..=count {
            harness
                .log
                .commit(&register_store(&store(&format!("s{number}"), number)));
        }
        harness
    }

    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }

    fn due_as(&mut self, is_head: bool, is_current: bool) -> Vec<SingletonTask> {
        let status = ChainStatus {
            view: 3,
            is_head,
            ..ChainStatus::default()
        };
        self.scheduler.due_tasks(&ScheduleInput {
            status: &status,
            is_current,
            state: &self.log.control_state(),
            liveness: &self.liveness,
            now: self.now,
        })
    }

    fn due(&mut self) -> Vec<SingletonTask> {
        self.due_as(true, true)
    }

    fn record_stores(&mut self, numbers: std::ops::RangeInclusive<u64>) {
        for number in numbers {
            let node = NodeId::from(format!("s{number}").as_str());
            let machine = MachineIncarnation::new(&node, Incarnation(number));
            self.liveness.record_machine(&machine, self.now);
        }
    }
}

fn register_target(harness: &SchedulerHarness) -> InstanceId {
    let id = InstanceId::from("i-1");
    let target = parse_heartbeat(id.clone(), heartbeat("healthy", 1).as_bytes()).unwrap();
    harness.log.commit(&Operation::RegisterTarget(target));
    id
}

fn remove_store(node: &str, incarnation: u64) -> SingletonTask {
    let (node, incarnation) = (NodeId::from(node), Incarnation(incarnation));
    SingletonTask::RemoveLostStore { node, incarnation }
}

fn expire_edge(node: &str, incarnation: u64) -> SingletonTask {
    let (node, incarnation) = (NodeId::from(node), Incarnation(incarnation));
    SingletonTask::ExpireEdge { node, incarnation }
}

#[test]
fn a_target_expires_only_without_heartbeats() {
    let mut harness = SchedulerHarness::new();
    let id = register_target(&harness);
    assert!(harness.due().is_empty());
    for _ in 0..10 {
        harness.advance(1);
        harness.liveness.record_target(&id, harness.now);
        assert!(harness.due().is_empty());
    }
    harness.advance(5);
    assert!(
        matches!(&harness.due()[..], [SingletonTask::ExpireTargets(expired)] if expired[0].id == id)
    );
}

#[test]
fn a_target_reported_by_another_controller_does_not_expire() {
    let mut harness = SchedulerHarness::new();
    let id = register_target(&harness);
    harness.due();
    harness.advance(6);
    let report = LivenessReport {
        targets: vec![id],
        machines: Vec::new(),
    };
    harness.liveness.record_remote(&report, harness.now);
    assert!(harness.due().is_empty());
    assert_eq!(
        harness.liveness.report_since(harness.now),
        LivenessReport::default()
    );
}

#[test]
fn a_new_head_waits_for_the_timeout_before_it_expires_targets() {
    let mut harness = SchedulerHarness::new();
    register_target(&harness);
    harness.advance(100);
    assert!(harness.due().is_empty());
    harness.advance(4);
    assert!(harness.due().is_empty());
    harness.advance(1);
    assert_eq!(harness.due().len(), 1);
}

#[test]
fn only_a_current_head_has_due_tasks() {
    let mut harness = SchedulerHarness::new();
    register_target(&harness);
    for (is_head, is_current) in [(false, true), (true, false), (false, true)] {
        harness.advance(100);
        assert!(harness.due_as(is_head, is_current).is_empty());
    }
    // A controller that was not the head in the meantime waits for the complete timeout again.
    harness.advance(100);
    assert!(harness.due().is_empty());
}

#[test]
fn a_silent_edge_expires_after_the_contact_bound() {
    let mut harness = SchedulerHarness::new();
    harness
        .log
        .commit(&Operation::RegisterEdge(edge("edge-1", 7)));
    harness.due();
    harness.advance(3);
    assert!(harness.due().is_empty());
    harness.advance(1);
    assert_eq!(harness.due(), [expire_edge("edge-1", 7)]);
}

#[test]
fn a_silent_store_is_kept_until_a_successor_joins() {
    let mut harness = SchedulerHarness::with_stores(3);
    harness.due();
    for _ in 0..6 {
        harness.advance(1);
        harness.record_stores(1..=2);
        assert!(harness.due().is_empty());
    }
    harness.log.commit(&register_store(&store("s4", 4)));
    harness.record_stores(4..=4);
    assert_eq!(harness.due(), [remove_store("s3", 3)]);
}

/// Guards against a lost store that is never removed because its replacement joined before it
/// failed, so that no store joins afterwards.
#[test]
fn a_silent_store_is_removed_after_the_serving_timeout_if_enough_others_serve() {
    let mut harness = SchedulerHarness::with_stores(4);
    let epoch = harness.log.control_state().stores().view().epoch;
    for number in 1..=4 {
        let node = NodeId::from(format!("s{number}").as_str());
        let incarnation = Incarnation(number);
        harness.log.commit(&Operation::StoreSynced {
            node,
            incarnation,
            epoch,
        });
    }
    assert_eq!(harness.log.control_state().stores().view().serving.len(), 4);
    harness.due();
    for _ in 0..7 {
        harness.advance(1);
        harness.record_stores(1..=3);
        assert!(harness.due().is_empty());
    }
    harness.advance(1);
    harness.record_stores(1..=3);
    assert_eq!(harness.due(), [remove_store("s4", 4)]);
}

#[test]
fn a_silent_joining_store_is_removed() {
    let mut harness = SchedulerHarness::with_stores(4);
    harness.due();
    for _ in 0..4 {
        harness.advance(1);
        harness.record_stores(1..=3);
    }
    assert_eq!(harness.due(), [remove_store("s4", 4)]);
}

#[test]
fn fewer_stores_than_full_size_bootstrap_after_a_grace_period() {
    let mut harness = SchedulerHarness::with_stores(2);
    assert!(harness.due().is_empty());
    harness.advance(4);
    assert_eq!(harness.due(), [SingletonTask::BootstrapStores]);
}

#[test]
fn newly_registered_senders_do_not_expire_before_the_timeout() {
    let mut harness = SchedulerHarness::with_stores(3);
    harness.due();
    for _ in 0..20 {
        harness.advance(1);
        harness.record_stores(1..=3);
        assert!(harness.due().is_empty());
    }
    register_target(&harness);
    harness.log.commit(&register_store(&store("s3", 33)));
    harness
        .log
        .commit(&Operation::RegisterEdge(edge("edge-1", 7)));
    for _ in 0..4 {
        harness.record_stores(1..=2);
        assert!(harness.due().is_empty());
        harness.advance(1);
    }
    harness.record_stores(1..=2);
    let due = harness.due();
    assert!(due.contains(&remove_store("s3", 33)));
    assert!(due.contains(&expire_edge("edge-1", 7)));
}
