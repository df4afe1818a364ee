//! Which housekeeping is due, in virtual time.

mod common;

use std::time::{Duration, Instant};

use common::{edge, heartbeat, register, store, MemoryLog};
use plankhill_control::{Duty, Operation};
use plankhill_controller::admin::parse_heartbeat;
use plankhill_controller::duties::Duties;
use plankhill_controller::liveness::{HeardReport, Liveness, MachineLife};
use plankhill_controller::log::Place;
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId};

const HEARTBEAT: Duration = Duration::from_millis(1_000);

struct World {
    log: MemoryLog,
    duties: Duties,
    liveness: Liveness,
    now: Instant,
}

impl World {
    fn new() -> Self {
        let log = MemoryLog::new();
        World {
            log,
            duties: Duties::new(HEARTBEAT),
            liveness: Liveness::default(),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
    }

    fn due_as(&mut self, is_head: bool, current: bool) -> Vec<Duty> {
        let place = Place {
            view: 3,
            is_head,
            ..Place::default()
        };
        self.duties.due(
            &place,
            current,
            &self.log.control(),
            &self.liveness,
            self.now,
        )
    }

    fn due(&mut self) -> Vec<Duty> {
        self.due_as(true, true)
    }

    fn hear_store(&mut self, node: &str, incarnation: u64) {
        let life = MachineLife {
            node: NodeId::from(node),
            incarnation: Incarnation(incarnation),
        };
        self.liveness.heard_machine(&life, self.now);
    }
}

fn register_target(world: &World) -> InstanceId {
    let id = InstanceId::from("i-1");
    let target = parse_heartbeat(id.clone(), heartbeat("healthy", 1).as_bytes()).unwrap();
    world.log.commit(&Operation::SetTarget(target));
    id
}

#[test]
fn a_target_that_is_heard_stays_and_a_silent_one_goes() {
    let mut world = World::new();
    let id = register_target(&world);
    assert!(world.due().is_empty());
    for _ in 0..10 {
        world.pass(1);
        world.liveness.heard_target(&id, world.now);
        assert!(world.due().is_empty());
    }
    world.pass(5);
    assert!(matches!(&world.due()[..], [Duty::ExpireTargets(expired)] if expired[0].id == id));
}

#[test]
fn a_target_that_another_controller_hears_stays() {
    let mut world = World::new();
    let id = register_target(&world);
    world.due();
    world.pass(6);
    let report = HeardReport {
        targets: vec![id],
        machines: Vec::new(),
    };
    world.liveness.heard_elsewhere(&report, world.now);
    assert!(world.due().is_empty());
    assert_eq!(
        world.liveness.report_since(world.now),
        HeardReport::default()
    );
}

#[test]
fn a_new_head_listens_before_it_acts() {
    let mut world = World::new();
    register_target(&world);
    world.pass(100);
    assert!(world.due().is_empty());
    world.pass(4);
    assert!(world.due().is_empty());
    world.pass(1);
    assert_eq!(world.due().len(), 1);
}

#[test]
fn only_a_head_that_is_current_acts() {
    let mut world = World::new();
    register_target(&world);
    for (is_head, current) in [(false, true), (true, false), (false, true)] {
        world.pass(100);
        assert!(world.due_as(is_head, current).is_empty());
    }
    // Having been out of office, it listens again.
    world.pass(100);
    assert!(world.due().is_empty());
}

#[test]
fn a_silent_edge_is_forgotten_after_the_contact_bound() {
    let mut world = World::new();
    world.log.commit(&Operation::SetEdge(edge("edge-1", 7)));
    world.due();
    world.pass(3);
    assert!(world.due().is_empty());
    world.pass(1);
    let forget = Duty::ForgetEdge {
        node: NodeId::from("edge-1"),
        incarnation: Incarnation(7),
    };
    assert_eq!(world.due(), [forget]);
}

#[test]
fn a_silent_store_stays_until_a_successor_comes() {
    let mut world = World::new();
    for number in 1..=3 {
        world
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    world.due();
    for _ in 0..6 {
        world.pass(1);
        world.hear_store("s1", 1);
        world.hear_store("s2", 2);
        assert!(world.due().is_empty());
    }
    world.log.commit(&register(&store("s4", 4)));
    world.hear_store("s4", 4);
    let drop = Duty::DropStore {
        node: NodeId::from("s3"),
        incarnation: Incarnation(3),
    };
    assert_eq!(world.due(), [drop]);
}

/// Its successor joined before it ended: nobody joins afterwards.
#[test]
fn a_silent_store_is_dropped_after_a_while_if_enough_others_serve() {
    let mut world = World::new();
    for number in 1..=4 {
        world
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    let epoch = world.log.control().stores().view().epoch;
    for number in 1..=4 {
        let (node, incarnation) = (
            NodeId::from(format!("s{number}").as_str()),
            Incarnation(number),
        );
        world.log.commit(&Operation::StoreSynced {
            node,
            incarnation,
            epoch,
        });
    }
    assert_eq!(world.log.control().stores().view().serving.len(), 4);
    world.due();
    for _ in 0..7 {
        world.pass(1);
        for number in 1..=3 {
            world.hear_store(&format!("s{number}"), number);
        }
        assert!(world.due().is_empty());
    }
    world.pass(1);
    for number in 1..=3 {
        world.hear_store(&format!("s{number}"), number);
    }
    let drop = Duty::DropStore {
        node: NodeId::from("s4"),
        incarnation: Incarnation(4),
    };
    assert_eq!(world.due(), [drop]);
}

#[test]
fn a_joining_store_that_falls_silent_is_dropped() {
    let mut world = World::new();
    for number in 1..=4 {
        world
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    world.due();
    for _ in 0..4 {
        world.pass(1);
        for number in 1..=3 {
            world.hear_store(&format!("s{number}"), number);
        }
    }
    let drop = Duty::DropStore {
        node: NodeId::from("s4"),
        incarnation: Incarnation(4),
    };
    assert_eq!(world.due(), [drop]);
}

#[test]
fn fewer_stores_than_wanted_start_after_a_grace() {
    let mut world = World::new();
    for number in 1..=2 {
        world
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    assert!(world.due().is_empty());
    world.pass(4);
    assert_eq!(world.due(), [Duty::FoundStores]);
}

#[test]
fn whoever_was_just_registered_is_given_time_to_be_heard() {
    let mut world = World::new();
    for number in 1..=3 {
        world
            .log
            .commit(&register(&store(&format!("s{number}"), number)));
    }
    world.due();
    for _ in 0..20 {
        world.pass(1);
        (1..=3).for_each(|number| world.hear_store(&format!("s{number}"), number));
        assert!(world.due().is_empty());
    }
    register_target(&world);
    world.log.commit(&register(&store("s3", 33)));
    world.log.commit(&Operation::SetEdge(edge("edge-1", 7)));
    for _ in 0..4 {
        (1..=2).for_each(|number| world.hear_store(&format!("s{number}"), number));
        assert!(world.due().is_empty());
        world.pass(1);
    }
    (1..=2).for_each(|number| world.hear_store(&format!("s{number}"), number));
    let due = world.due();
    assert!(due.contains(&Duty::DropStore {
        node: NodeId::from("s3"),
        incarnation: Incarnation(33)
    }));
    assert!(due.contains(&Duty::ForgetEdge {
        node: NodeId::from("edge-1"),
        incarnation: Incarnation(7)
    }));
}
