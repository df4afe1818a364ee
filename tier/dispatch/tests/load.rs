//! Tests of load balancing: requests are sent to the least loaded targets, by the proxy's own count
//! and by the reports of targets.

mod common;

use std::collections::HashMap;

use common::{healthy, request, target, Proxy};
use plankhill_dispatch::target_load::TargetLoad;
use plankhill_dispatch::UpstreamLoad;
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::TargetState;

fn report(running: u32, waiting: u32) -> UpstreamLoad {
    UpstreamLoad {
        running,
        waiting,
        slots: 4,
    }
}

#[test]
fn requests_spread_evenly() {
    let mut proxy = Proxy::with_targets(&["a", "b", "c", "d"]);
    let mut request_counts = HashMap::<String, usize>::new();
    for key in 0..40 {
        *request_counts
            .entry(proxy.enqueue(1.0, request(key, 1.0)).expect("sent"))
            .or_default() += 1;
    }
    assert!(
        request_counts
            .values()
            .all(|count| (9..=11).contains(count)),
        "{request_counts:?}"
    );
}

#[test]
fn a_target_that_reports_high_load_gets_no_requests_while_others_report_low_load() {
    let mut proxy = Proxy::with_targets(&["a", "b"]);
    proxy
        .dispatcher
        .on_load_reported(1.0, &InstanceId::from("a"), report(4, 10));
    for key in 0..6 {
        assert_eq!(proxy.enqueue(2.0, request(key, 2.0)).as_deref(), Some("b"));
    }
}

#[test]
fn own_attempts_are_not_counted_twice_and_reports_decay() {
    let mut load = TargetLoad::new(4);
    load.on_sent();
    load.on_sent();
    load.on_report(0.0, report(3, 0));
    assert_eq!(load.estimate(0.0, 0.0), 3.0);
    assert!(load.estimate(5_000.0, 0.0) < 2.1);
    load.on_ended();
    load.on_ended();
    load.on_ended();
    assert_eq!(load.in_flight(), 0);
}

#[test]
fn an_unusually_high_report_is_trusted_for_longer() {
    let typical = 4.0;
    let weight = |running: u32| {
        let mut load = TargetLoad::new(24);
        load.on_report(0.0, report(running, 0));
        (load.estimate(1_000.0, typical) - typical) / (f64::from(running) - typical)
    };
    assert!(weight(8) < 0.05, "{}", weight(8));
    assert!(weight(24) > 0.6, "{}", weight(24));
    // An unusual report decays as well, and a newer report of few requests takes effect at once.
    let mut load = TargetLoad::new(24);
    load.on_report(0.0, report(24, 50));
    assert!(load.estimate(20_000.0, typical) < typical + 0.2);
    load.on_report(20_000.0, report(2, 0));
    assert_eq!(load.estimate(20_000.0, typical), 2.0);
}

#[test]
fn implausible_reports_leave_every_cost_finite() {
    arbtest::arbtest(|random| {
        let mut load = TargetLoad::new(random.arbitrary()?);
        for _ in 0..random.int_in_range(0..=8_u32)? {
            let (running, waiting, slots) = random.arbitrary()?;
            load.on_report(
                f64::from(random.arbitrary::<u16>()?),
                UpstreamLoad {
                    running,
                    waiting,
                    slots,
                },
            );
            load.on_response(f64::from(random.arbitrary::<u32>()?));
        }
        let now = f64::from(random.arbitrary::<u32>()?);
        let typical = f64::from(random.arbitrary::<u16>()?);
        let estimate = load.estimate(now, typical);
        let cost = load.cost(now, estimate, 100.0);
        assert!(estimate.is_finite() && estimate >= 0.0, "{estimate}");
        assert!(cost.is_finite() && cost >= 0.0, "{cost}");
        assert!(load.rejection_backoff(now).is_finite());
        Ok(())
    });
}

#[test]
fn a_queue_costs_more_than_free_slots() {
    let cost = |running, waiting| {
        let mut load = TargetLoad::new(4);
        load.on_response(100.0);
        load.on_report(0.0, report(running, waiting));
        load.cost(0.0, load.estimate(0.0, 0.0), 100.0)
    };
    assert!(cost(0, 0) < cost(1, 0));
    assert!(cost(1, 0) < cost(4, 0));
    assert!(cost(4, 0) < cost(4, 1));
    assert!(cost(4, 1) < cost(4, 8));
}

#[test]
fn the_backoff_after_a_rejection_is_bounded() {
    for elapsed in [0.0, 1.0, 100.0, 1e9] {
        for waiting in [0, 24, u32::MAX] {
            let mut load = TargetLoad::new(4);
            load.on_response(elapsed);
            load.on_report(0.0, report(4, waiting));
            assert!((1.0..=1_000.0).contains(&load.rejection_backoff(0.0)));
        }
    }
}

#[test]
fn the_own_zone_is_preferred_until_it_is_fuller() {
    let mut proxy = Proxy::with_targets(&[]);
    let far = target("far", "far", TargetState::Healthy);
    proxy.dispatcher.set_targets(&[healthy("near"), far]);
    assert_eq!(proxy.enqueue(1.0, request(1, 1.0)).as_deref(), Some("near"));
    assert_eq!(
        proxy.enqueue(1.0, request(2, 1.0)).as_deref(),
        Some("far"),
        "one of four slots in use costs more than another zone"
    );
}
