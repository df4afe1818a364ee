//! Tests of target health: targets that are draining, removed or offline get no requests.

mod common;

use common::{
    draining, health_checks, healthy, is_rejected, non_idempotent_request, request, sends, sent_to,
    Proxy,
};
use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, HealthCheckResult, NewRequest, RequestKey,
};
use plankhill_protocol::ids::InstanceId;

#[test]
fn draining_and_removed_targets_get_no_requests() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c"]);
    proxy.dispatcher.set_targets(&[healthy("a"), draining("b")]);
    for key in 0..20 {
        assert_eq!(proxy.enqueue(1.0, request(key, 1.0)).as_deref(), Some("a"));
    }
}

#[test]
fn a_new_target_at_an_old_address_inherits_nothing() {
    let mut proxy = Proxy::with_targets(&["a"]);
    take_offline(&mut proxy, "a");
    proxy.dispatcher.set_targets(&[healthy("a2")]);
    assert_eq!(proxy.enqueue(20.0, request(9, 20.0)).as_deref(), Some("a2"));
}

#[test]
fn a_target_is_offline_after_two_failures_until_its_health_check_succeeds() {
    let mut proxy = Proxy::with_targets(&["a"]);
    assert_eq!(
        take_offline(&mut proxy, "a"),
        ["a"],
        "health check sent at once"
    );
    let commands = proxy.iterate_at(20.0, |dispatcher| {
        dispatcher.enqueue(20.0, request(9, 20.0))
    });
    assert!(sends(&commands).is_empty());
    assert!(sends(&proxy.end_health_check(21.0, "a", HealthCheckResult::Unhealthy)).is_empty());
    let commands = proxy.advance_to(130.0);
    assert!(is_rejected(&commands, 9), "queued briefly");
    assert!(
        health_checks(&commands).is_empty(),
        "the next health check is due after about a second"
    );
    proxy.iterate_at(1_300.0, |dispatcher| {
        dispatcher.enqueue(1_300.0, request(11, 1_300.0))
    });
    let commands = proxy.end_health_check(1_301.0, "a", HealthCheckResult::Healthy);
    assert_eq!(sends(&commands), [(11, "a".to_owned())]);
}

#[test]
fn a_response_to_a_request_does_not_release_an_offline_target() {
    let mut proxy = Proxy::with_targets(&["a"]);
    proxy.enqueue(1.0, request(5, 1.0));
    take_offline(&mut proxy, "a");
    proxy.end_attempt(15.0, 5, "a", AttemptOutcome::Delivered);
    assert_eq!(proxy.enqueue(20.0, request(9, 20.0)), None);
}

#[test]
fn rejections_take_no_target_offline() {
    let mut proxy = Proxy::with_targets(&["a"]);
    let mut now = 1.0;
    for key in 0..6 {
        proxy
            .enqueue(now, non_idempotent_request(key, now))
            .expect("not offline");
        let rejection = AttemptResult {
            retry_after: Some(1.0),
            ..AttemptResult::from_outcome(AttemptOutcome::Rejected)
        };
        proxy.end_attempt_with(now + 1.0, key, "a", rejection);
        proxy.dispatcher.cancel(RequestKey(key));
        now += 200.0;
    }
}

#[test]
fn an_unreachable_target_does_not_delay_requests_that_others_accept() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    let mut now = 1.0;
    for key in 0..50 {
        let mut target = proxy
            .enqueue(now, request(key, now))
            .expect("some target accepts the request");
        if target == "a" {
            proxy.end_attempt(now + 1.0, key, "a", AttemptOutcome::ConnectFailed);
            target =
                sent_to(&proxy.advance_to(now + 15.0)).expect("retried soon at the other target");
            assert_eq!(target, "b");
        }
        proxy.end_attempt(now + 16.0, key, &target, AttemptOutcome::Delivered);
        now += 20.0;
    }
}

#[test]
fn requests_go_only_to_targets_of_their_service() {
    let mut proxy = Proxy::with_targets(&["a"]);
    let mut other = healthy("x");
    other.service = "tools".into();
    proxy.dispatcher.set_targets(&[healthy("a"), other]);
    for key in 0..10 {
        assert_eq!(proxy.enqueue(1.0, request(key, 1.0)).as_deref(), Some("a"));
        let tool = NewRequest {
            service: "tools".into(),
            ..request(100 + key, 1.0)
        };
        assert_eq!(proxy.enqueue(1.0, tool).as_deref(), Some("x"));
    }
}

#[test]
fn results_of_attempts_at_removed_targets_are_accepted() {
    let mut proxy = Proxy::with_targets(&["a"]);
    proxy.enqueue(1.0, request(1, 1.0));
    proxy.dispatcher.set_targets(&[]);
    proxy.advance_to(2.0);
    proxy.end_attempt(3.0, 1, "a", AttemptOutcome::Delivered);
    proxy
        .dispatcher
        .on_health_check_ended(&InstanceId::from("a"), HealthCheckResult::Healthy);
    proxy.advance_to(10_000.0);
    assert!(proxy.dispatcher.is_empty());
}

/// Takes the target offline by two failed attempts; returns the targets of the health checks that
/// follow.
fn take_offline(proxy: &mut Proxy, target: &str) -> Vec<String> {
    for key in [101, 102] {
        proxy.enqueue(1.0, non_idempotent_request(key, 1.0));
    }
    proxy.end_attempt(10.0, 101, target, AttemptOutcome::ConnectFailed);
    health_checks(&proxy.end_attempt(10.0, 102, target, AttemptOutcome::ConnectFailed))
}
