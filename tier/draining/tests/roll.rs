//! Rolls over simulated fleets: bounds hold at each step, and the roll stops when it has to.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::rolling_restart::{
    FleetView, NodeView, RestartLimits, RestartStep, RollingRestart, StopReason,
};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};

const BOUNDS: RestartLimits = RestartLimits {
    max_unavailable: 3,
    drain_timeout: Duration::from_secs(30),
    restart_timeout: Duration::from_secs(60),
};

fn node(at: usize) -> NodeId {
    NodeId::from(format!("edge-{at}").as_str())
}

fn fleet(zones: usize, each: usize) -> FleetView {
    let view = |at: usize| NodeView {
        zone: ZoneName::from(format!("z{}", at % zones).as_str()),
        incarnation: Incarnation(1),
    };
    FleetView {
        live: (0..zones * each).map(|at| (node(at), view(at))).collect(),
        drains: BTreeMap::new(),
    }
}

fn all(view: &FleetView) -> Vec<NodeId> {
    view.live.keys().cloned().collect()
}

/// Carries a step out as an operator would, and lets each node be empty and back at once.
fn carry_out(view: &mut FleetView, step: &RestartStep) {
    match step {
        RestartStep::Drain(node) => drop(view.drains.insert(node.clone(), true)),
        RestartStep::Restart(node) => {
            let live = view.live.get_mut(node).expect("live");
            live.incarnation.0 += 1;
        }
        RestartStep::Undrain(node) => drop(view.drains.remove(node)),
        _ => {}
    }
}

#[test]
fn a_roll_over_seventy_seven_nodes_has_each_out_once() {
    let mut view = fleet(4, 20);
    let mut roll = RollingRestart::new(BOUNDS, all(&view), &view);
    let mut drained = Vec::new();
    for second in 0..10_000 {
        let step = roll.step(Duration::from_secs(second), &view);
        if let RestartStep::Drain(node) = &step {
            drained.push(node.clone());
        }
        assert!(!matches!(step, RestartStep::Stop(_)), "{step:?}");
        if step == RestartStep::Done {
            break;
        }
        carry_out(&mut view, &step);
        assert!(view.drains.len() <= BOUNDS.max_unavailable);
    }
    assert_eq!(drained.len(), 80);
    assert_eq!(roll.progress(), (80, 80));
    assert!(view
        .live
        .values()
        .all(|node| node.incarnation == Incarnation(2)));
}

#[test]
fn two_nodes_of_a_zone_with_two_are_never_out_together() {
    let mut view = fleet(3, 2);
    let mut roll = RollingRestart::new(
        RestartLimits {
            max_unavailable: 6,
            ..BOUNDS
        },
        all(&view),
        &view,
    );
    for second in 0..1_000 {
        let step = roll.step(Duration::from_secs(second), &view);
        if step == RestartStep::Done {
            return;
        }
        carry_out(&mut view, &step);
        for zone in 0..3 {
            let out = (0..6)
                .filter(|at| at % 3 == zone && view.drains.contains_key(&node(*at)))
                .count();
            assert!(out <= 1);
        }
    }
    panic!("not done");
}

#[test]
fn the_last_node_of_a_zone_is_left_alone() {
    let view = fleet(3, 1);
    let mut roll = RollingRestart::new(BOUNDS, all(&view), &view);
    assert_eq!(roll.step(Duration::ZERO, &view), RestartStep::Wait);
}

#[test]
fn another_lost_machine_stops_the_roll() {
    let mut view = fleet(3, 4);
    let mut roll = RollingRestart::new(BOUNDS, vec![node(0), node(1)], &view);
    let step = roll.step(Duration::ZERO, &view);
    assert_eq!(step, RestartStep::Drain(node(0)));
    view.drains.insert(node(0), false);
    view.live.remove(&node(7));
    assert_eq!(
        roll.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::Lost(node(7)))
    );
}

#[test]
fn a_node_that_dies_before_it_is_empty_stops_the_roll() {
    let mut view = fleet(3, 4);
    let mut roll = RollingRestart::new(BOUNDS, vec![node(0)], &view);
    roll.step(Duration::ZERO, &view);
    view.drains.insert(node(0), false);
    view.live.remove(&node(0));
    assert_eq!(
        roll.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::Lost(node(0)))
    );
}

#[test]
fn a_node_that_does_not_get_empty_or_come_back_stops_the_roll() {
    let mut view = fleet(3, 4);
    let bounds = RestartLimits {
        max_unavailable: 1,
        ..BOUNDS
    };
    let mut roll = RollingRestart::new(bounds, vec![node(0)], &view);
    roll.step(Duration::ZERO, &view);
    view.drains.insert(node(0), false);
    assert_eq!(roll.step(Duration::from_secs(29), &view), RestartStep::Wait);
    assert_eq!(
        roll.clone().step(Duration::from_secs(30), &view),
        RestartStep::Stop(StopReason::NotEmpty(node(0)))
    );
    view.drains.insert(node(0), true);
    assert_eq!(
        roll.step(Duration::from_secs(29), &view),
        RestartStep::Restart(node(0))
    );
    view.live.remove(&node(0));
    assert_eq!(roll.step(Duration::from_secs(88), &view), RestartStep::Wait);
    assert_eq!(
        roll.step(Duration::from_secs(89), &view),
        RestartStep::Stop(StopReason::NotBack(node(0)))
    );
}

#[test]
fn orders_of_others_stop_the_roll() {
    let mut view = fleet(3, 4);
    let mut roll = RollingRestart::new(BOUNDS, vec![node(0), node(1)], &view);
    view.drains.insert(node(0), false);
    assert_eq!(
        roll.step(Duration::ZERO, &view),
        RestartStep::Stop(StopReason::Foreign(node(0)))
    );
    let mut view = fleet(3, 4);
    let mut roll = RollingRestart::new(BOUNDS, vec![node(0)], &view);
    roll.step(Duration::ZERO, &view);
    assert_eq!(
        roll.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::Foreign(node(0)))
    );
    view.drains.clear();
}

/// Nodes get empty, go and come back at any moment, machines are lost: no more are out than allowed, half stays.
#[test]
fn bounds_hold_whatever_comes_when() {
    arbtest(|u| {
        let mut view = fleet(u.int_in_range(1..=4)?, u.int_in_range(1..=5)?);
        let most_out = u.int_in_range(1..=4)?;
        let mut roll = RollingRestart::new(
            RestartLimits {
                max_unavailable: most_out,
                ..BOUNDS
            },
            all(&view),
            &view,
        );
        let mut now = Duration::ZERO;
        for _ in 0..60 {
            now += Duration::from_millis(u.int_in_range(0..=5_000)?);
            match roll.step(now, &view) {
                RestartStep::Drain(node) => drop(view.drains.insert(node, false)),
                RestartStep::Restart(node) => {
                    assert_eq!(view.drains.get(&node), Some(&true));
                    view.live.get_mut(&node).expect("live").incarnation.0 +=
                        u64::from(u.arbitrary::<bool>()?);
                }
                RestartStep::Undrain(node) => drop(view.drains.remove(&node)),
                RestartStep::Stop(_) | RestartStep::Done => return Ok(()),
                RestartStep::Wait => {}
            }
            if u.arbitrary()? {
                view.drains.values_mut().for_each(|empty| *empty = true);
            }
            assert!(view.drains.len() <= most_out);
            let out = view
                .live
                .keys()
                .filter(|node| view.drains.contains_key(*node))
                .count();
            assert!(out * 2 <= view.live.len());
        }
        Ok(())
    })
    .budget_ms(1_000);
}
