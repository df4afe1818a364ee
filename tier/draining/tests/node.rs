//! The states of one node, by plain calls.

use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::node::{DrainAction, NodeDrain, NodeObservation, NodeState};

const REST: Duration = Duration::from_secs(15);
const REPLY: Duration = Duration::from_secs(5);

fn seen(order: Option<u64>, requests: usize, connections: usize) -> NodeObservation {
    let shutdown = None;
    NodeObservation {
        drain_order: order,
        shutdown,
        drained_recorded: false,
        requests_in_flight: requests,
        open_connections: connections,
        max_idle_timeout: REST,
        max_response_timeout: REPLY,
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn without_an_order_nothing_happens() {
    let mut drain = NodeDrain::default();
    assert_eq!(drain.step(at(1), &seen(None, 5, 5)), []);
    assert_eq!(drain.state(), NodeState::InService);
}

#[test]
fn an_order_turns_clients_away_and_an_empty_node_says_so_until_it_is_recorded() {
    let mut drain = NodeDrain::default();
    assert_eq!(
        drain.step(at(1), &seen(Some(4), 2, 3)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.step(at(2), &seen(Some(4), 0, 1)), []);
    assert_eq!(
        drain.step(at(3), &seen(Some(4), 0, 0)),
        [DrainAction::ReportDrained(4)]
    );
    assert_eq!(
        drain.step(at(4), &seen(Some(4), 0, 0)),
        [DrainAction::ReportDrained(4)]
    );
    let recorded = NodeObservation {
        drained_recorded: true,
        ..seen(Some(4), 0, 0)
    };
    assert_eq!(drain.step(at(5), &recorded), []);
    assert_eq!(drain.state(), NodeState::Empty);
}

#[test]
fn connections_at_rest_are_left_to_their_clients_first() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &seen(Some(1), 0, 2));
    assert_eq!(drain.step(at(16), &seen(Some(1), 0, 2)), []);
    assert_eq!(
        drain.step(at(17), &seen(Some(1), 0, 2)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.state(), NodeState::Closing);
}

#[test]
fn a_reply_is_never_cut_before_its_longest_time() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &seen(Some(1), 1, 1));
    drain.step(at(17), &seen(Some(1), 1, 1));
    assert_eq!(drain.step(at(21), &seen(Some(1), 1, 1)), []);
    assert_eq!(
        drain.step(at(22), &seen(Some(1), 1, 1)),
        [DrainAction::ResetConnections]
    );
    assert_eq!(drain.step(at(23), &seen(Some(1), 1, 1)), [], "once");
    assert_eq!(
        drain.step(at(24), &seen(Some(1), 0, 0)),
        [DrainAction::ReportDrained(1)]
    );
}

#[test]
fn a_lifted_order_leads_back_from_every_state() {
    for steps in 0..4 {
        let mut drain = NodeDrain::default();
        let states = [
            seen(Some(1), 1, 1),
            seen(Some(1), 1, 1),
            seen(Some(1), 1, 1),
            seen(Some(1), 0, 0),
        ];
        (0..=steps).for_each(|step| drop(drain.step(at(1 + 16 * step as u64), &states[step])));
        assert_eq!(
            drain.step(at(100), &seen(None, 0, 0)),
            [DrainAction::AcceptNewClients]
        );
        assert_eq!(drain.state(), NodeState::InService);
    }
}

/// Guards an order that was lifted and given again between two looks: what was reported of the first says nothing.
#[test]
fn another_order_begins_anew() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &seen(Some(1), 0, 0));
    assert_eq!(drain.state(), NodeState::Empty);
    assert_eq!(
        drain.step(at(2), &seen(Some(3), 1, 1)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.state(), NodeState::Leaving);
    assert_eq!(
        drain.step(at(3), &seen(Some(3), 0, 0)),
        [DrainAction::ReportDrained(3)]
    );
}

#[test]
fn whatever_happens_a_node_says_that_it_is_empty_only_when_it_is() {
    arbtest(|u| {
        let mut drain = NodeDrain::default();
        let mut now = Duration::ZERO;
        let (mut away, mut reported) = (false, None);
        for _ in 0..40 {
            now += Duration::from_millis(u.int_in_range(0..=8_000)?);
            let order = u.arbitrary::<bool>()?.then_some(u.int_in_range(1..=2)?);
            let seen = seen(order, u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            for action in drain.step(now, &seen) {
                match action {
                    DrainAction::RejectNewClients => away = true,
                    DrainAction::AcceptNewClients => (away, reported) = (false, None),
                    DrainAction::ReportDrained(number) => {
                        assert_eq!(Some(number), order);
                        // The first report of an order comes with nothing under way.
                        assert!(
                            reported == order
                                || (seen.requests_in_flight == 0 && seen.open_connections == 0)
                        );
                        reported = order;
                    }
                    DrainAction::CloseIdleConnections | DrainAction::ResetConnections => {
                        assert!(away)
                    }
                    DrainAction::ExitProcess => unreachable!("nobody asked for the end"),
                }
            }
            assert_eq!(away, order.is_some());
        }
        Ok(())
    })
    .budget_ms(500);
}
