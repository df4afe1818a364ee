//! Tests of the state machine of one draining node.

use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::node::{DrainAction, NodeDrain, NodeObservation, NodeState};

const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

fn observed(order: Option<u64>, requests: usize, connections: usize) -> NodeObservation {
    let shutdown = None;
    NodeObservation {
        drain_order: order,
        shutdown,
        drained_recorded: false,
        requests_in_flight: requests,
        open_connections: connections,
        max_idle_timeout: IDLE_TIMEOUT,
        max_response_timeout: RESPONSE_TIMEOUT,
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn without_an_order_the_node_stays_in_service() {
    let mut drain = NodeDrain::default();
    assert_eq!(drain.step(at(1), &observed(None, 5, 5)), []);
    assert_eq!(drain.state(), NodeState::InService);
}

#[test]
fn a_drained_node_reports_until_the_report_is_recorded() {
    let mut drain = NodeDrain::default();
    assert_eq!(
        drain.step(at(1), &observed(Some(4), 2, 3)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.step(at(2), &observed(Some(4), 0, 1)), []);
    assert_eq!(
        drain.step(at(3), &observed(Some(4), 0, 0)),
        [DrainAction::ReportDrained(4)]
    );
    assert_eq!(
        drain.step(at(4), &observed(Some(4), 0, 0)),
        [DrainAction::ReportDrained(4)]
    );
    let recorded = NodeObservation {
        drained_recorded: true,
        ..observed(Some(4), 0, 0)
    };
    assert_eq!(drain.step(at(5), &recorded), []);
    assert_eq!(drain.state(), NodeState::Drained);
}

#[test]
fn idle_connections_are_closed_after_the_clients_idle_timeout() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &observed(Some(1), 0, 2));
    assert_eq!(drain.step(at(16), &observed(Some(1), 0, 2)), []);
    assert_eq!(
        drain.step(at(17), &observed(Some(1), 0, 2)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.state(), NodeState::Closing);
}

#[test]
fn a_response_is_not_reset_before_its_timeout() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &observed(Some(1), 1, 1));
    drain.step(at(17), &observed(Some(1), 1, 1));
    assert_eq!(drain.step(at(21), &observed(Some(1), 1, 1)), []);
    assert_eq!(
        drain.step(at(22), &observed(Some(1), 1, 1)),
        [DrainAction::ResetConnections]
    );
    assert_eq!(drain.step(at(23), &observed(Some(1), 1, 1)), [], "once");
    assert_eq!(
        drain.step(at(24), &observed(Some(1), 0, 0)),
        [DrainAction::ReportDrained(1)]
    );
}

#[test]
fn a_lifted_order_returns_the_node_to_service_from_every_state() {
    for steps in 0..4 {
        let mut drain = NodeDrain::default();
        let states = [
            observed(Some(1), 1, 1),
            observed(Some(1), 1, 1),
            observed(Some(1), 1, 1),
            observed(Some(1), 0, 0),
        ];
        (0..=steps).for_each(|step| drop(drain.step(at(1 + 16 * step as u64), &states[step])));
        assert_eq!(
            drain.step(at(100), &observed(None, 0, 0)),
            [DrainAction::AcceptNewClients]
        );
        assert_eq!(drain.state(), NodeState::InService);
    }
}

/// Guards against an order that is lifted and replaced by another one between two steps: the node
/// has to drain again, and must not report the first drain under the second order.
#[test]
fn another_order_restarts_the_drain() {
    let mut drain = NodeDrain::default();
    drain.step(at(1), &observed(Some(1), 0, 0));
    assert_eq!(drain.state(), NodeState::Drained);
    assert_eq!(
        drain.step(at(2), &observed(Some(3), 1, 1)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.state(), NodeState::Draining);
    assert_eq!(
        drain.step(at(3), &observed(Some(3), 0, 0)),
        [DrainAction::ReportDrained(3)]
    );
}

#[test]
fn a_node_reports_drained_only_with_nothing_in_flight() {
    arbtest(|u| {
        let mut drain = NodeDrain::default();
        let mut now = Duration::ZERO;
        let (mut is_rejecting, mut reported) = (false, None);
        for _ in 0..40 {
            now += Duration::from_millis(u.int_in_range(0..=8_000)?);
            let order = u.arbitrary::<bool>()?.then_some(u.int_in_range(1..=2)?);
            let observed = observed(order, u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            for action in drain.step(now, &observed) {
                match action {
                    DrainAction::RejectNewClients => is_rejecting = true,
                    DrainAction::AcceptNewClients => (is_rejecting, reported) = (false, None),
                    DrainAction::ReportDrained(number) => {
                        assert_eq!(Some(number), order);
                        // The first report under an order requires that nothing is in flight and no
                        // connection is open.
                        assert!(
                            reported == order
                                || (observed.requests_in_flight == 0
                                    && observed.open_connections == 0)
                        );
                        reported = order;
                    }
                    DrainAction::CloseIdleConnections | DrainAction::ResetConnections => {
                        assert!(is_rejecting)
                    }
                    DrainAction::ExitProcess => unreachable!("no shutdown was observed"),
                }
            }
            assert_eq!(is_rejecting, order.is_some());
        }
        Ok(())
    })
    .budget_ms(500);
}
