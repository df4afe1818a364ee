//! Tests of the graceful shutdown of a process.

use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::node::{DrainAction, NodeDrain, NodeObservation, NodeState};
use plankhill_draining::shutdown::Shutdown;

const GRACE: Duration = Duration::from_secs(8);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The deadlines of a process that received SIGTERM at 1 s.
fn shutdown() -> Shutdown {
    Shutdown::new(at(1_000), GRACE)
}

fn observed(order: Option<u64>, requests: usize, connections: usize) -> NodeObservation {
    NodeObservation {
        drain_order: order,
        shutdown: Some(shutdown()),
        drained_recorded: false,
        requests_in_flight: requests,
        open_connections: connections,
        max_idle_timeout: Duration::from_secs(15),
        max_response_timeout: Duration::from_secs(60),
    }
}

#[test]
fn clients_are_served_until_the_platform_redirects_them() {
    let mut drain = NodeDrain::default();
    assert_eq!(
        drain.step(at(1_000), &observed(None, 1, 4)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.step(at(3_900), &observed(None, 0, 4)), []);
    assert_eq!(
        drain.step(at(4_000), &observed(None, 0, 4)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.step(at(4_050), &observed(None, 0, 0)), []);
    assert_eq!(
        drain.step(at(4_100), &observed(None, 0, 0)),
        [DrainAction::ExitProcess]
    );
}

#[test]
fn a_response_in_flight_delays_the_exit_until_it_is_flushed() {
    let mut drain = NodeDrain::default();
    drain.step(at(1_000), &observed(None, 1, 1));
    assert_eq!(
        drain.step(at(4_000), &observed(None, 1, 1)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.step(at(6_000), &observed(None, 1, 1)), []);
    assert_eq!(drain.step(at(6_100), &observed(None, 0, 1)), []);
    assert_eq!(drain.step(at(6_150), &observed(None, 0, 1)), []);
    // Another request has begun in the meantime.
    assert_eq!(drain.step(at(6_200), &observed(None, 1, 1)), []);
    assert_eq!(
        drain.step(at(6_300), &observed(None, 0, 1)),
        [DrainAction::ExitProcess]
    );
}

#[test]
fn responses_past_the_deadline_are_reset_before_the_kill() {
    let mut drain = NodeDrain::default();
    drain.step(at(1_000), &observed(None, 1, 1));
    drain.step(at(4_000), &observed(None, 1, 1));
    let end = shutdown().response_deadline;
    assert!(end < at(9_000));
    assert_eq!(
        drain.step(end, &observed(None, 1, 1)),
        [DrainAction::ResetConnections]
    );
    assert_eq!(drain.step(end + at(100), &observed(None, 1, 1)), [], "once");
    assert_eq!(
        drain.step(end + at(250), &observed(None, 1, 1)),
        [DrainAction::ExitProcess]
    );
    assert!(end + at(250) < at(9_000), "before the kill");
}

#[test]
fn drain_orders_do_not_change_a_shutdown() {
    for orders in [
        [Some(1), Some(1), Some(1)],
        [None, Some(2), None],
        [Some(1), None, Some(3)],
    ] {
        let mut drain = NodeDrain::default();
        drain.step(
            at(0),
            &NodeObservation {
                shutdown: None,
                ..observed(orders[0], 1, 1)
            },
        );
        let actions = drain.step(at(1_000), &observed(orders[1], 1, 1));
        assert!(!actions.contains(&DrainAction::AcceptNewClients));
        assert_ne!(drain.state(), NodeState::InService);
        assert_eq!(
            drain.step(at(4_000), &observed(orders[2], 1, 1)),
            [DrainAction::CloseIdleConnections]
        );
        assert_eq!(drain.step(at(4_200), &observed(orders[2], 0, 0)), []);
        assert_eq!(
            drain.step(at(4_300), &observed(orders[2], 0, 0)),
            [DrainAction::ExitProcess]
        );
    }
}

/// A request that may take five seconds of the eight-second grace period is admitted while the
/// platform still sends clients to the node; later, only requests that take less time are.
#[test]
fn late_requests_are_admitted_only_if_they_can_complete_in_time() {
    let is_admitted = |arrived_after_ms: u64, duration_ms: u64| {
        let arrived = at(1_000 + arrived_after_ms);
        shutdown().admits(arrived, arrived + at(duration_ms))
    };
    assert!(is_admitted(0, 5_000));
    assert!(is_admitted(2_899, 5_000));
    assert!(!is_admitted(2_900, 5_000));
    assert!(!is_admitted(3_100, 5_000));
    assert!(!is_admitted(7_000, 5_000));
    assert!(is_admitted(3_100, 1_200));
    assert!(is_admitted(6_100, 1_200));
    assert!(!is_admitted(7_000, 1_200));
}

#[test]
fn a_short_grace_admits_nothing() {
    for grace in [0, 100, 650] {
        let shutdown = Shutdown::new(at(1_000), at(grace));
        assert_eq!(shutdown.response_deadline, at(1_000));
        assert_eq!(shutdown.accept_until, at(1_000));
        assert!(!shutdown.admits(at(1_000), at(1_001)));
    }
}

/// For any observations, nothing is reset before the deadline, and the process exits before it is
/// killed.
#[test]
fn nothing_is_reset_before_the_response_deadline() {
    arbtest(|u| {
        let mut drain = NodeDrain::default();
        let mut now = at(1_000);
        let mut exited = None;
        while exited.is_none() {
            let order = u.arbitrary::<bool>()?.then_some(u.int_in_range(1..=2)?);
            let observed = observed(order, u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            for action in drain.step(now, &observed) {
                match action {
                    DrainAction::RejectNewClients => assert_eq!(now, at(1_000)),
                    DrainAction::CloseIdleConnections => assert!(now >= shutdown().accept_until),
                    DrainAction::ResetConnections => assert!(now >= shutdown().response_deadline),
                    DrainAction::ExitProcess => exited = Some((now, observed.requests_in_flight)),
                    DrainAction::ReportDrained(_) | DrainAction::AcceptNewClients => {
                        unreachable!("the node is shutting down")
                    }
                }
            }
            now += at(u.int_in_range(1..=60)?);
        }
        let (exit_time, requests) = exited.expect("the process has exited");
        assert!(exit_time < at(1_000) + GRACE);
        assert!(requests == 0 || exit_time >= shutdown().response_deadline);
        Ok(())
    })
    .budget_ms(500);
}
