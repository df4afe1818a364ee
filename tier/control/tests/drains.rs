//! Tests of drain orders.

mod common;

use common::{apply, edge};
use plankhill_control::{
    build_tables, diff_tables, ControlState, DrainAction, DrainOrder, Operation, Outcome,
};
use plankhill_protocol::ids::{NodeId, Revision, ZoneName};
use plankhill_protocol::tables::{Drain, Edge, TablesChange};

fn order(expected: u64, nodes: &[&str], action: DrainAction) -> Operation {
    let nodes = nodes.iter().map(|node| NodeId::from(*node)).collect();
    Operation::OrderDrain(DrainOrder {
        expected,
        nodes,
        action,
    })
}

fn drained(node: &str, number: u64) -> Operation {
    Operation::EdgeDrained {
        node: NodeId::from(node),
        number,
    }
}

/// Returns a state with three zones of two edges each: a1, a2, b1 and so on.
fn six_edges() -> ControlState {
    let mut state = ControlState::default();
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        let edge = Edge {
            zone: ZoneName::from(&name[..1]),
            ..edge(name, 1)
        };
        assert_eq!(
            apply(&mut state, &Operation::RegisterEdge(edge)),
            Outcome::Applied
        );
    }
    state
}

fn drains(state: &ControlState) -> Vec<(&str, u64, bool)> {
    state
        .drains()
        .iter()
        .map(|drain| (drain.node.as_str(), drain.number, drain.empty))
        .collect()
}

#[test]
fn a_drain_order_is_numbered_and_its_repeat_is_a_duplicate() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], DrainAction::Drain)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], DrainAction::Drain)),
        Outcome::Duplicate
    );
    assert_eq!(
        (state.drains().last_number(), drains(&state)),
        (1, vec![("a1", 1, false)])
    );
}

#[test]
fn one_of_two_drain_orders_on_the_same_number_is_applied() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], DrainAction::Drain)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(0, &["b1"], DrainAction::Drain)),
        Outcome::Conflict { current: 1 }
    );
    assert_eq!(
        apply(&mut state, &order(1, &["a1"], DrainAction::Undrain)),
        Outcome::Applied
    );
    // A late repeat of the first order: its drain was undone by a later order.
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], DrainAction::Drain)),
        Outcome::Conflict { current: 2 }
    );
    assert_eq!(drains(&state), []);
}

#[test]
fn drains_of_unknown_edges_and_beyond_the_disruption_budget_are_rejected() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1", "x"], DrainAction::Drain)),
        Outcome::UnknownEdge
    );
    assert_eq!(
        apply(
            &mut state,
            &order(0, &["a1", "b1", "c1", "c2"], DrainAction::Drain)
        ),
        Outcome::TooFewEdges
    );
    assert_eq!(state.drains().last_number(), 0);
    assert_eq!(
        apply(&mut state, &order(0, &["a1", "a2"], DrainAction::Drain)),
        Outcome::Applied,
        "a complete zone"
    );
    assert_eq!(
        apply(&mut state, &order(1, &["b1"], DrainAction::Drain)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(2, &["c1"], DrainAction::Drain)),
        Outcome::TooFewEdges
    );
}

#[test]
fn a_deregistered_edge_stays_drained_until_it_is_undrained() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], DrainAction::Drain));
    let deregister = Operation::DeregisterEdge {
        node: NodeId::from("a1"),
        incarnation: edge("a1", 1).incarnation,
    };
    assert_eq!(apply(&mut state, &deregister), Outcome::Applied);
    assert_eq!(
        drains(&state),
        [("a1", 1, false)],
        "a new incarnation stays out of service"
    );
    assert_eq!(
        apply(&mut state, &order(1, &["a1"], DrainAction::Undrain)),
        Outcome::Applied
    );
}

#[test]
fn a_drained_report_counts_for_its_own_order_only() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], DrainAction::Drain));
    apply(&mut state, &order(1, &["a1"], DrainAction::Undrain));
    apply(&mut state, &order(2, &["a1"], DrainAction::Drain));
    assert_eq!(apply(&mut state, &drained("a1", 1)), Outcome::Ignored);
    assert_eq!(apply(&mut state, &drained("a1", 3)), Outcome::Applied);
    assert_eq!(apply(&mut state, &drained("a1", 3)), Outcome::Ignored);
    assert_eq!(apply(&mut state, &drained("b1", 3)), Outcome::Ignored);
    assert_eq!(drains(&state), [("a1", 3, true)]);
}

#[test]
fn a_second_drain_of_the_same_edge_keeps_its_progress() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], DrainAction::Drain));
    apply(&mut state, &drained("a1", 1));
    apply(&mut state, &order(1, &["a1", "b1"], DrainAction::Drain));
    assert_eq!(drains(&state), [("a1", 1, true), ("b1", 2, false)]);
}

#[test]
fn drains_are_part_of_the_tables() {
    let mut state = six_edges();
    let before = state.clone();
    apply(&mut state, &order(0, &["a1"], DrainAction::Drain));
    let drains = vec![Drain {
        node: NodeId::from("a1"),
        number: 1,
        empty: false,
    }];
    assert_eq!(build_tables(&state, Revision(9)).drains, drains);
    assert_eq!(diff_tables(&before, &state), [TablesChange::Drains(drains)]);
    assert_eq!(diff_tables(&state, &state), []);
}
