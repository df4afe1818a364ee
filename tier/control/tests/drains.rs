//! Orders that take edges out of service.

mod common;

use common::{apply, edge};
use plankhill_control::{changes_between, tables_of, ControlState, DrainOrder, Operation, Outcome};
use plankhill_protocol::ids::{NodeId, Revision, ZoneName};
use plankhill_protocol::tables::{Drain, Edge, TablesChange};

fn order(expected: u64, nodes: &[&str], leave: bool) -> Operation {
    let nodes = nodes.iter().map(|node| NodeId::from(*node)).collect();
    Operation::OrderDrain(DrainOrder {
        expected,
        nodes,
        leave,
    })
}

fn emptied(node: &str, number: u64) -> Operation {
    Operation::EdgeEmptied {
        node: NodeId::from(node),
        number,
    }
}

/// Three zones of two edges each: a1, a2, b1 and so on.
fn six_edges() -> ControlState {
    let mut state = ControlState::default();
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        let edge = Edge {
            zone: ZoneName::from(&name[..1]),
            ..edge(name, 1)
        };
        assert_eq!(
            apply(&mut state, &Operation::SetEdge(edge)),
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
fn an_order_is_numbered_and_acknowledged_again_when_it_is_sent_again() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], true)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], true)),
        Outcome::Repeated
    );
    assert_eq!(
        (state.drains().number(), drains(&state)),
        (1, vec![("a1", 1, false)])
    );
}

#[test]
fn of_two_operators_with_the_same_knowledge_one_wins() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], true)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(0, &["b1"], true)),
        Outcome::Conflict { current: 1 }
    );
    assert_eq!(
        apply(&mut state, &order(1, &["a1"], false)),
        Outcome::Applied
    );
    // The first one's repeat comes late: what it asked for is not in force any more.
    assert_eq!(
        apply(&mut state, &order(0, &["a1"], true)),
        Outcome::Conflict { current: 2 }
    );
    assert_eq!(drains(&state), []);
}

#[test]
fn unknown_edges_and_too_many_are_refused() {
    let mut state = six_edges();
    assert_eq!(
        apply(&mut state, &order(0, &["a1", "x"], true)),
        Outcome::UnknownEdge
    );
    assert_eq!(
        apply(&mut state, &order(0, &["a1", "b1", "c1", "c2"], true)),
        Outcome::TooFewEdges
    );
    assert_eq!(state.drains().number(), 0);
    assert_eq!(
        apply(&mut state, &order(0, &["a1", "a2"], true)),
        Outcome::Applied,
        "a whole zone"
    );
    assert_eq!(
        apply(&mut state, &order(1, &["b1"], true)),
        Outcome::Applied
    );
    assert_eq!(
        apply(&mut state, &order(2, &["c1"], true)),
        Outcome::TooFewEdges
    );
}

#[test]
fn what_is_gone_counts_no_more_and_can_be_taken_back() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], true));
    let gone = Operation::RemoveEdge {
        node: NodeId::from("a1"),
        incarnation: edge("a1", 1).incarnation,
    };
    assert_eq!(apply(&mut state, &gone), Outcome::Applied);
    assert_eq!(
        drains(&state),
        [("a1", 1, false)],
        "a new life of it stays out of service"
    );
    assert_eq!(
        apply(&mut state, &order(1, &["a1"], false)),
        Outcome::Applied
    );
}

#[test]
fn an_edge_is_empty_under_the_order_that_it_names_only() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], true));
    apply(&mut state, &order(1, &["a1"], false));
    apply(&mut state, &order(2, &["a1"], true));
    assert_eq!(apply(&mut state, &emptied("a1", 1)), Outcome::Ignored);
    assert_eq!(apply(&mut state, &emptied("a1", 3)), Outcome::Applied);
    assert_eq!(apply(&mut state, &emptied("a1", 3)), Outcome::Ignored);
    assert_eq!(apply(&mut state, &emptied("b1", 3)), Outcome::Ignored);
    assert_eq!(drains(&state), [("a1", 3, true)]);
}

#[test]
fn a_second_order_for_the_same_edge_keeps_what_the_first_came_to() {
    let mut state = six_edges();
    apply(&mut state, &order(0, &["a1"], true));
    apply(&mut state, &emptied("a1", 1));
    apply(&mut state, &order(1, &["a1", "b1"], true));
    assert_eq!(drains(&state), [("a1", 1, true), ("b1", 2, false)]);
}

#[test]
fn the_data_plane_hears_of_it() {
    let mut state = six_edges();
    let before = state.clone();
    apply(&mut state, &order(0, &["a1"], true));
    let drains = vec![Drain {
        node: NodeId::from("a1"),
        number: 1,
        empty: false,
    }];
    assert_eq!(tables_of(&state, Revision(9)).drains, drains);
    assert_eq!(
        changes_between(&before, &state),
        [TablesChange::Drains(drains)]
    );
    assert_eq!(changes_between(&state, &state), []);
}
