//! Tests of rolling restarts with simulated fleets: limits are respected at each step, and the
//! restart stops on lost nodes, timeouts and conflicting orders.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::rolling_restart::{
    FleetView, NodeView, RestartLimits, RestartStep, RollingRestart, StopReason,
};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};

const LIMITS: RestartLimits = RestartLimits {
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

/// Carries out a step as an operator would; each node drains and restarts immediately.
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
fn a_rolling_restart_drains_each_node_once() {
    let mut view = fleet(4, 20);
    let mut restart = RollingRestart::new(LIMITS, all(&view), &view);
    let mut drained = Vec::new();
    for second in 0..10_000 {
        let step = restart.step(Duration::from_secs(second), &view);
        if let RestartStep::Drain(node) = &step {
            drained.push(node.clone());
        }
        assert!(!matches!(step, RestartStep::Stop(_)), "{step:?}");
        if step == RestartStep::Done {
            break;
        }
        carry_out(&mut view, &step);
        assert!(view.drains.len() <= LIMITS.max_unavailable);
    }
    assert_eq!(drained.len(), 80);
    assert_eq!(restart.progress(), (80, 80));
    assert!(view
        .live
        .values()
        .all(|node| node.incarnation == Incarnation(2)));
}

#[test]
fn two_nodes_of_a_zone_of_two_are_never_out_of_service_together() {
    let mut view = fleet(3, 2);
    let mut restart = RollingRestart::new(
        RestartLimits {
            max_unavailable: 6,
            ..LIMITS
        },
        all(&view),
        &view,
    );
    for second in 0..1_000 {
        let step = restart.step(Duration::from_secs(second), &view);
        if step == RestartStep::Done {
            return;
        }
        carry_out(&mut view, &step);
        for zone in 0..3 {
            let out_of_service = (0..6)
                .filter(|at| at % 3 == zone && view.drains.contains_key(&node(*at)))
                .count();
            assert!(out_of_service <= 1);
        }
    }
    panic!("not done");
}

#[test]
fn the_last_node_of_a_zone_is_not_drained() {
    let view = fleet(3, 1);
    let mut restart = RollingRestart::new(LIMITS, all(&view), &view);
    assert_eq!(restart.step(Duration::ZERO, &view), RestartStep::Wait);
}

#[test]
fn another_lost_machine_stops_the_rolling_restart() {
    let mut view = fleet(3, 4);
    let mut restart = RollingRestart::new(LIMITS, vec![node(0), node(1)], &view);
    let step = restart.step(Duration::ZERO, &view);
    assert_eq!(step, RestartStep::Drain(node(0)));
    view.drains.insert(node(0), false);
    view.live.remove(&node(7));
    assert_eq!(
        restart.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::NodeLost(node(7)))
    );
}

#[test]
fn a_node_lost_before_it_has_drained_stops_the_rolling_restart() {
    let mut view = fleet(3, 4);
    let mut restart = RollingRestart::new(LIMITS, vec![node(0)], &view);
    restart.step(Duration::ZERO, &view);
    view.drains.insert(node(0), false);
    view.live.remove(&node(0));
    assert_eq!(
        restart.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::NodeLost(node(0)))
    );
}

#[test]
fn drain_and_restart_timeouts_stop_the_rolling_restart() {
    let mut view = fleet(3, 4);
    let limits = RestartLimits {
        max_unavailable: 1,
        ..LIMITS
    };
    let mut restart = RollingRestart::new(limits, vec![node(0)], &view);
    restart.step(Duration::ZERO, &view);
    view.drains.insert(node(0), false);
    assert_eq!(
        restart.step(Duration::from_secs(29), &view),
        RestartStep::Wait
    );
    assert_eq!(
        restart.clone().step(Duration::from_secs(30), &view),
        RestartStep::Stop(StopReason::DrainTimedOut(node(0)))
    );
    view.drains.insert(node(0), true);
    assert_eq!(
        restart.step(Duration::from_secs(29), &view),
        RestartStep::Restart(node(0))
    );
    view.live.remove(&node(0));
    assert_eq!(
        restart.step(Duration::from_secs(88), &view),
        RestartStep::Wait
    );
    assert_eq!(
        restart.step(Duration::from_secs(89), &view),
        RestartStep::Stop(StopReason::RestartTimedOut(node(0)))
    );
}

#[test]
fn orders_of_other_operators_stop_the_rolling_restart() {
    let mut view = fleet(3, 4);
    let mut restart = RollingRestart::new(LIMITS, vec![node(0), node(1)], &view);
    view.drains.insert(node(0), false);
    assert_eq!(
        restart.step(Duration::ZERO, &view),
        RestartStep::Stop(StopReason::ConflictingOrder(node(0)))
    );
    let mut view = fleet(3, 4);
    let mut restart = RollingRestart::new(LIMITS, vec![node(0)], &view);
    restart.step(Duration::ZERO, &view);
    assert_eq!(
        restart.step(Duration::from_secs(1), &view),
        RestartStep::Stop(StopReason::ConflictingOrder(node(0)))
    );
    view.drains.clear();
}

/// Nodes drain and restart at random times: no more nodes are out of service than allowed, and at
/// least half stay in service.
#[test]
fn limits_hold_under_random_events() {
    arbtest(|u| {
        let mut view = fleet(u.int_in_range(1..=4)?, u.int_in_range(1..=5)?);
        let max_unavailable = u.int_in_range(1..=4)?;
        let mut restart = RollingRestart::new(
            RestartLimits {
                max_unavailable,
                ..LIMITS
            },
            all(&view),
            &view,
        );
        let mut now = Duration::ZERO;
        for _ in 0..60 {
            now += Duration::from_millis(u.int_in_range(0..=5_000)?);
            match restart.step(now, &view) {
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
                view.drains.values_mut().for_each(|drained| *drained = true);
            }
            assert!(view.drains.len() <= max_unavailable);
            let out_of_service = view
                .live
                .keys()
                .filter(|node| view.drains.contains_key(*node))
                .count();
            assert!(out_of_service * 2 <= view.live.len());
        }
        Ok(())
    })
    .budget_ms(1_000);
}
