//! The end of a process, by plain calls.

use std::time::Duration;

use arbtest::arbtest;
use plankhill_draining::node::{DrainAction, NodeDrain, NodeObservation, NodeState};
use plankhill_draining::shutdown::Shutdown;

const GRACE: Duration = Duration::from_secs(8);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// SIGTERM came at 1 s.
fn shutdown() -> Shutdown {
    Shutdown::new(at(1_000), GRACE)
}

fn seen(order: Option<u64>, requests: usize, connections: usize) -> NodeObservation {
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
fn clients_are_served_until_the_platform_sends_no_more() {
    let mut drain = NodeDrain::default();
    assert_eq!(
        drain.step(at(1_000), &seen(None, 1, 4)),
        [DrainAction::RejectNewClients]
    );
    assert_eq!(drain.step(at(3_900), &seen(None, 0, 4)), []);
    assert_eq!(
        drain.step(at(4_000), &seen(None, 0, 4)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.step(at(4_050), &seen(None, 0, 0)), []);
    assert_eq!(
        drain.step(at(4_100), &seen(None, 0, 0)),
        [DrainAction::ExitProcess]
    );
}

#[test]
fn a_reply_under_way_is_waited_for_and_its_last_bytes_too() {
    let mut drain = NodeDrain::default();
    drain.step(at(1_000), &seen(None, 1, 1));
    assert_eq!(
        drain.step(at(4_000), &seen(None, 1, 1)),
        [DrainAction::CloseIdleConnections]
    );
    assert_eq!(drain.step(at(6_000), &seen(None, 1, 1)), []);
    assert_eq!(drain.step(at(6_100), &seen(None, 0, 1)), []);
    assert_eq!(drain.step(at(6_150), &seen(None, 0, 1)), []);
    // Something else has begun meanwhile.
    assert_eq!(drain.step(at(6_200), &seen(None, 1, 1)), []);
    assert_eq!(
        drain.step(at(6_300), &seen(None, 0, 1)),
        [DrainAction::ExitProcess]
    );
}

#[test]
fn what_is_not_over_in_time_is_cut_before_the_kill() {
    let mut drain = NodeDrain::default();
    drain.step(at(1_000), &seen(None, 1, 1));
    drain.step(at(4_000), &seen(None, 1, 1));
    let end = shutdown().response_deadline;
    assert!(end < at(9_000));
    assert_eq!(
        drain.step(end, &seen(None, 1, 1)),
        [DrainAction::ResetConnections]
    );
    assert_eq!(drain.step(end + at(100), &seen(None, 1, 1)), [], "once");
    assert_eq!(
        drain.step(end + at(250), &seen(None, 1, 1)),
        [DrainAction::ExitProcess]
    );
    assert!(end + at(250) < at(9_000), "before the kill");
}

#[test]
fn an_order_before_or_behind_it_changes_nothing_of_the_end() {
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
                ..seen(orders[0], 1, 1)
            },
        );
        let actions = drain.step(at(1_000), &seen(orders[1], 1, 1));
        assert!(!actions.contains(&DrainAction::AcceptNewClients));
        assert_ne!(drain.state(), NodeState::InService);
        assert_eq!(
            drain.step(at(4_000), &seen(orders[2], 1, 1)),
            [DrainAction::CloseIdleConnections]
        );
        assert_eq!(drain.step(at(4_200), &seen(orders[2], 0, 0)), []);
        assert_eq!(
            drain.step(at(4_300), &seen(orders[2], 0, 0)),
            [DrainAction::ExitProcess]
        );
    }
}

/// A stream that may take five of the eight seconds is begun while clients are sent here, later only where they are left.
#[test]
fn later_only_what_can_be_over_in_time_is_begun() {
    let begun = |after: u64, takes: u64| {
        let arrived = at(1_000 + after);
        shutdown().admits(arrived, arrived + at(takes))
    };
    assert!(begun(0, 5_000));
    assert!(begun(2_899, 5_000));
    assert!(!begun(2_900, 5_000));
    assert!(!begun(3_100, 5_000));
    assert!(!begun(7_000, 5_000));
    assert!(begun(3_100, 1_200));
    assert!(begun(6_100, 1_200));
    assert!(!begun(7_000, 1_200));
}

#[test]
fn a_short_grace_begins_nothing() {
    for grace in [0, 100, 650] {
        let shutdown = Shutdown::new(at(1_000), at(grace));
        assert_eq!(shutdown.response_deadline, at(1_000));
        assert_eq!(shutdown.accept_until, at(1_000));
        assert!(!shutdown.admits(at(1_000), at(1_001)));
    }
}

/// Whatever is seen, nothing is cut before the end of the time, and the process ends before it is killed.
#[test]
fn nothing_that_was_begun_in_time_is_cut() {
    arbtest(|u| {
        let mut drain = NodeDrain::default();
        let mut now = at(1_000);
        let mut ended = None;
        while ended.is_none() {
            let order = u.arbitrary::<bool>()?.then_some(u.int_in_range(1..=2)?);
            let seen = seen(order, u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            for action in drain.step(now, &seen) {
                match action {
                    DrainAction::RejectNewClients => assert_eq!(now, at(1_000)),
                    DrainAction::CloseIdleConnections => assert!(now >= shutdown().accept_until),
                    DrainAction::ResetConnections => assert!(now >= shutdown().response_deadline),
                    DrainAction::ExitProcess => ended = Some((now, seen.requests_in_flight)),
                    DrainAction::ReportDrained(_) | DrainAction::AcceptNewClients => {
                        unreachable!("the node is on its way out")
                    }
                }
            }
            now += at(u.int_in_range(1..=60)?);
        }
        let (at_end, requests) = ended.expect("an end");
        assert!(at_end < at(1_000) + GRACE);
        assert!(requests == 0 || at_end >= shutdown().response_deadline);
        Ok(())
    })
    .budget_ms(500);
}
