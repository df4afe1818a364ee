//! Which targets get requests: not those that are draining, removed or offline.

mod common;

use common::{draining, health_checks, healthy, is_rejected, once, request, sends, sent_to, Proxy};
use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, HealthCheckResult, NewRequest, RequestKey,
};
use plankhill_protocol::ids::InstanceId;

#[test]
fn draining_and_removed_targets_get_no_requests() {
    let mut proxy = Proxy::with(&["a", "b", "c"]);
    proxy.dispatcher.set_targets(&[healthy("a"), draining("b")]);
    for key in 0..20 {
        assert_eq!(proxy.takes(1.0, request(key, 1.0)).as_deref(), Some("a"));
    }
}

#[test]
fn a_new_target_at_an_old_address_inherits_nothing() {
    let mut proxy = Proxy::with(&["a"]);
    takes_offline(&mut proxy, "a");
    proxy.dispatcher.set_targets(&[healthy("a2")]);
    assert_eq!(proxy.takes(20.0, request(9, 20.0)).as_deref(), Some("a2"));
}

#[test]
fn a_target_is_offline_after_two_failures_until_its_health_check_is_answered() {
    let mut proxy = Proxy::with(&["a"]);
    assert_eq!(takes_offline(&mut proxy, "a"), ["a"], "asked at once");
    let commands = proxy.at(20.0, |dispatcher| {
        dispatcher.enqueue(20.0, request(9, 20.0))
    });
    assert!(sends(&commands).is_empty());
    assert!(sends(&proxy.health_checked(21.0, "a", HealthCheckResult::Unhealthy)).is_empty());
    let commands = proxy.until(130.0);
    assert!(is_rejected(&commands, 9), "queued briefly");
    assert!(
        health_checks(&commands).is_empty(),
        "the next one is due after about a second"
    );
    proxy.at(1_300.0, |dispatcher| {
        dispatcher.enqueue(1_300.0, request(11, 1_300.0))
    });
    let commands = proxy.health_checked(1_301.0, "a", HealthCheckResult::Healthy);
    assert_eq!(sends(&commands), [(11, "a".to_owned())]);
}

#[test]
fn an_answer_to_a_request_does_not_release_an_offline_target() {
    let mut proxy = Proxy::with(&["a"]);
    proxy.takes(1.0, request(5, 1.0));
    takes_offline(&mut proxy, "a");
    proxy.ends(15.0, 5, "a", AttemptOutcome::Delivered);
    assert_eq!(proxy.takes(20.0, request(9, 20.0)), None);
}

#[test]
fn rejections_take_no_target_offline() {
    let mut proxy = Proxy::with(&["a"]);
    let mut now = 1.0;
    for key in 0..6 {
        proxy.takes(now, once(key, now)).expect("not offline");
        let full = AttemptResult {
            retry_after: Some(1.0),
            ..AttemptResult::from_outcome(AttemptOutcome::Rejected)
        };
        proxy.ends_with(now + 1.0, key, "a", full);
        proxy.dispatcher.cancel(RequestKey(key));
        now += 200.0;
    }
}

#[test]
fn a_dead_target_does_not_delay_requests_that_others_take() {
    let mut proxy = Proxy::with(&["a", "b"]);
    let mut now = 1.0;
    for key in 0..50 {
        let mut target = proxy
            .takes(now, request(key, now))
            .expect("some target takes it");
        if target == "a" {
            proxy.ends(now + 1.0, key, "a", AttemptOutcome::ConnectFailed);
            target = sent_to(&proxy.until(now + 15.0)).expect("goes to the other soon");
            assert_eq!(target, "b");
        }
        proxy.ends(now + 16.0, key, &target, AttemptOutcome::Delivered);
        now += 20.0;
    }
}

#[test]
fn requests_go_only_to_targets_of_their_service() {
    let mut proxy = Proxy::with(&["a"]);
    let mut other = healthy("x");
    other.service = "tools".into();
    proxy.dispatcher.set_targets(&[healthy("a"), other]);
    for key in 0..10 {
        assert_eq!(proxy.takes(1.0, request(key, 1.0)).as_deref(), Some("a"));
        let tool = NewRequest {
            service: "tools".into(),
            ..request(100 + key, 1.0)
        };
        assert_eq!(proxy.takes(1.0, tool).as_deref(), Some("x"));
    }
}

#[test]
fn ends_of_attempts_at_removed_targets_are_accepted() {
    let mut proxy = Proxy::with(&["a"]);
    proxy.takes(1.0, request(1, 1.0));
    proxy.dispatcher.set_targets(&[]);
    proxy.until(2.0);
    proxy.ends(3.0, 1, "a", AttemptOutcome::Delivered);
    proxy
        .dispatcher
        .on_health_check_ended(&InstanceId::from("a"), HealthCheckResult::Healthy);
    proxy.until(10_000.0);
    assert!(proxy.dispatcher.is_empty());
}

/// Two attempts fail there; returns the targets whose health is checked then.
fn takes_offline(proxy: &mut Proxy, target: &str) -> Vec<String> {
    for key in [101, 102] {
        proxy.takes(1.0, once(key, 1.0));
    }
    proxy.ends(10.0, 101, target, AttemptOutcome::ConnectFailed);
    health_checks(&proxy.ends(10.0, 102, target, AttemptOutcome::ConnectFailed))
}
