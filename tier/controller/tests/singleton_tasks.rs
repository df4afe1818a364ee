//! Which singleton tasks are due, in virtual time.

mod common;

use std::time::{Duration, Instant};

use common::{edge, heartbeat, register, store, MemoryLog};
use plankhill_control::{Operation, SingletonTask};
use plankhill_controller::admin::parse_heartbeat;
use plankhill_controller::control_log::ChainStatus;
use plankhill_controller::liveness::{Liveness, LivenessReport, MachineIncarnation};
use plankhill_controller::singleton::{ScheduleInput, SingletonScheduler};
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// One controller's scheduler over a log in memory. The stores are `s1`, `s2` and so on, each with
/// its number as its incarnation.
struct World {
    log: MemoryLog,
    scheduler: SingletonScheduler,
    liveness: Liveness,
    now: Instant,
}

impl World {
    fn new() -> Self {
        World {
            log: MemoryLog::new(),
            scheduler: SingletonScheduler::new(HEARTBEAT_INTERVAL),
            liveness: Liveness::default(),
            now: Instant::now(),
        }
    }

    fn with_stores(count: u64) -> Self {
        let world = World::new();
        for number in 1..=count {
            world
                .log
                .commit(&register(&store(&format!("s{number}"), number)));
        }
        world
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
            state: &self.log.control(),
            liveness: &self.liveness,
            now: self.now,
        })
    }

    fn due(&mut self) -> Vec<SingletonTask> {
        self.due_as(true, true)
    }

    fn hear_stores(&mut self, numbers: std::ops::RangeInclusive<u64>) {
        for number in numbers {
            let node = NodeId::from(format!("s{number}").as_str());
            let machine = MachineIncarnation::new(&node, Incarnation(number));
            self.liveness.record_machine(&machine, self.now);
        }
    }
}

fn register_target(world: &World) -> InstanceId {
    let id = InstanceId::from("i-1");
    let target = parse_heartbeat(id.clone(), heartbeat("healthy", 1).as_bytes()).unwrap();
    world.log.commit(&Operation::RegisterTarget(target));
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
fn a_target_with_heartbeats_stays_and_a_silent_one_expires() {
    let mut world = World::new();
    let id = register_target(&world);
    assert!(world.due().is_empty());
    for _ in 0..10 {
        world.advance(1);
        world.liveness.record_target(&id, world.now);
        assert!(world.due().is_empty());
    }
    world.advance(5);
    assert!(
        matches!(&world.due()[..], [SingletonTask::ExpireTargets(expired)] if expired[0].id == id)
    );
}

#[test]
fn a_target_that_another_controller_hears_from_stays() {
    let mut world = World::new();
    let id = register_target(&world);
    world.due();
    world.advance(6);
    let report = LivenessReport {
        targets: vec![id],
        machines: Vec::new(),
    };
    world.liveness.record_remote(&report, world.now);
    assert!(world.due().is_empty());
    assert_eq!(
        world.liveness.report_since(world.now),
        LivenessReport::default()
    );
}

#[test]
fn a_new_head_listens_before_it_acts() {
    let mut world = World::new();
    register_target(&world);
    world.advance(100);
    assert!(world.due().is_empty());
    world.advance(4);
    assert!(world.due().is_empty());
    world.advance(1);
    assert_eq!(world.due().len(), 1);
}

#[test]
fn only_a_head_that_is_current_acts() {
    let mut world = World::new();
    register_target(&world);
    for (is_head, is_current) in [(false, true), (true, false), (false, true)] {
        world.advance(100);
        assert!(world.due_as(is_head, is_current).is_empty());
    }
    // A controller that was not the head meanwhile listens again.
    world.advance(100);
    assert!(world.due().is_empty());
}

#[test]
fn a_silent_edge_expires_after_the_contact_bound() {
    let mut world = World::new();
    world
        .log
        .commit(&Operation::RegisterEdge(edge("edge-1", 7)));
    world.due();
    world.advance(3);
    assert!(world.due().is_empty());
    world.advance(1);
    assert_eq!(world.due(), [expire_edge("edge-1", 7)]);
}

#[test]
fn a_silent_store_stays_until_a_successor_joins() {
    let mut world = World::with_stores(3);
    world.due();
    for _ in 0..6 {
        world.advance(1);
        world.hear_stores(1..=2);
        assert!(world.due().is_empty());
    }
    world.log.commit(&register(&store("s4", 4)));
    world.hear_stores(4..=4);
    assert_eq!(world.due(), [remove_store("s3", 3)]);
}

/// Its successor joined before it ended: no store joins afterwards.
#[test]
fn a_silent_store_is_removed_after_the_serving_timeout_if_enough_others_serve() {
    let mut world = World::with_stores(4);
    let epoch = world.log.control().stores().view().epoch;
    for number in 1..=4 {
        let node = NodeId::from(format!("s{number}").as_str());
        let incarnation = Incarnation(number);
        world.log.commit(&Operation::StoreSynced {
            node,
            incarnation,
            epoch,
        });
    }
    assert_eq!(world.log.control().stores().view().serving.len(), 4);
    world.due();
    for _ in 0..7 {
        world.advance(1);
        world.hear_stores(1..=3);
        assert!(world.due().is_empty());
    }
    world.advance(1);
    world.hear_stores(1..=3);
    assert_eq!(world.due(), [remove_store("s4", 4)]);
}

#[test]
fn a_joining_store_that_falls_silent_is_removed() {
    let mut world = World::with_stores(4);
    world.due();
    for _ in 0..4 {
        world.advance(1);
        world.hear_stores(1..=3);
    }
    assert_eq!(world.due(), [remove_store("s4", 4)]);
}

#[test]
fn fewer_stores_than_wanted_bootstrap_after_a_grace_period() {
    let mut world = World::with_stores(2);
    assert!(world.due().is_empty());
    world.advance(4);
    assert_eq!(world.due(), [SingletonTask::BootstrapStores]);
}

#[test]
fn newly_registered_senders_are_given_time_to_be_heard_from() {
    let mut world = World::with_stores(3);
    world.due();
    for _ in 0..20 {
        world.advance(1);
        world.hear_stores(1..=3);
        assert!(world.due().is_empty());
    }
    register_target(&world);
    world.log.commit(&register(&store("s3", 33)));
    world
        .log
        .commit(&Operation::RegisterEdge(edge("edge-1", 7)));
    for _ in 0..4 {
        world.hear_stores(1..=2);
        assert!(world.due().is_empty());
        world.advance(1);
    }
    world.hear_stores(1..=2);
    let due = world.due();
    assert!(due.contains(&remove_store("s3", 33)));
    assert!(due.contains(&expire_edge("edge-1", 7)));
}
