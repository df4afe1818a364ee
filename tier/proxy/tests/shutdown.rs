//! Tests of requests that race with a shutdown, on real connections; the tests begin the shutdown
//! directly instead of by SIGTERM.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_proxy::clock::duration;
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::signals::shut_down;
use support::drain_orders::{run_ready_tasks, DrainOrders};
use support::fixture::{chunk, event, get, target_response, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use support::peer::{Peer, ScriptedTarget};
use tokio::task;

/// Longer than any request of these tests may take.
const HOUR: Duration = Duration::from_secs(3_600);

/// Begins a shutdown in which clients are still accepted and responses may take `time_left` from
/// now.
fn begin_shutdown(fixture: &ProxyFixture, time_left: Duration) -> Shutdown {
    let response_deadline = duration(fixture.proxy.clock.now()) + time_left;
    let admit_all_until = Duration::ZERO;
    let shutdown = Shutdown {
        accept_until: response_deadline,
        admit_all_until,
        response_deadline,
    };
    fixture.proxy.lifecycle.begin_shutdown(shutdown);
    shutdown
}

/// Ends the acceptance of clients, and waits until idle connections are closed.
async fn close_idle(fixture: &ProxyFixture, shutdown: Shutdown) {
    fixture.proxy.lifecycle.begin_shutdown(Shutdown {
        accept_until: Duration::ZERO,
        ..shutdown
    });
    let mut policy = fixture.proxy.lifecycle.connection_policy();
    policy
        .wait_for(|policy| *policy == ConnectionPolicy::CloseIdle)
        .await
        .expect("a lifecycle");
    run_ready_tasks().await;
}

/// Starts a proxy with one target, whose node applies drain orders.
async fn fixture_with_drain() -> (ScriptedTarget, ProxyFixture, DrainOrders) {
    let (target, fixture) = ProxyFixture::with_one_target().await;
    let orders = DrainOrders::start(&fixture);
    (target, fixture, orders)
}

/// Sends a request and receives its response, so that the connection is idle.
async fn idle_connection(fixture: &ProxyFixture, target: &ScriptedTarget) -> (Peer, Peer) {
    let mut client = fixture.client().await;
    client.send(&get("once", "r0")).await;
    let (mut peer, _) = target.accept_request().await;
    peer.send(&target_response(
        "200 OK",
        "r0",
        "Keep-Alive: timeout=9\r\n",
        "first",
    ))
    .await;
    assert_eq!(client.receive().await.expect("a response").text(), "first");
    (client, peer)
}

#[test]
fn an_idle_connection_gets_one_more_response_during_shutdown() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (mut client, mut peer) = idle_connection(&fixture, &target).await;
        begin_shutdown(&fixture, HOUR);
        run_ready_tasks().await;
        client.send(&get("once", "r1")).await;
        assert!(peer.receive().await.is_some());
        peer.send(&target_response("200 OK", "r1", "", "last"))
            .await;
        let response = client.receive().await.expect("a response");
        assert_eq!(
            (response.text().as_str(), response.header("connection")),
            ("last", Some("close"))
        );
        assert_eq!(client.read_until_closed().await, b"");
    });
}

/// The request may take nine seconds, and five are left: another node has to serve it.
#[test]
fn a_request_that_cannot_end_before_shutdown_is_rejected_and_not_sent() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (mut client, mut peer) = idle_connection(&fixture, &target).await;
        begin_shutdown(&fixture, Duration::from_secs(5));
        for (route, mut client) in [("once", client), ("stream", fixture.client().await)] {
            client.send(&get(route, "r1")).await;
            let response = client.receive().await.expect("a response");
            assert_eq!(
                (response.status(), response.header("connection")),
                (503, Some("close"))
            );
            assert!(response.header("retry-after").is_some());
            assert_eq!(client.read_until_closed().await, b"");
        }
        assert_eq!(fixture.proxy.lifecycle.rejected_requests(), 2);
        // The next request that the target receives is one that can be complete in time.
        client = fixture.client().await;
        client.send(&get("once", "r2").replace("9000", "900")).await;
        assert!(peer.receive().await.expect("a request").head.contains("r2"));
        peer.send(&target_response("200 OK", "r2", "", "short"))
            .await;
        assert_eq!(client.receive().await.expect("a response").text(), "short");
    });
}

#[test]
fn a_request_whose_head_is_arriving_when_idle_connections_close_is_answered() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (mut client, mut peer) = idle_connection(&fixture, &target).await;
        let request = get("once", "r1");
        let (first, rest) = request.split_at(30);
        client.send(first).await;
        while fixture.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        client.send(rest).await;
        assert!(peer.receive().await.is_some());
        peer.send(&target_response("200 OK", "r1", "", "whole"))
            .await;
        let response = client.receive().await.expect("a response");
        assert_eq!(
            (response.text().as_str(), response.header("connection")),
            ("whole", Some("close"))
        );
        drop(client);
        fixture.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_request_whose_body_is_arriving_when_idle_connections_close_is_answered() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let mut client = fixture.client().await;
        let head = get("once", "r1")
            .replace("GET", "POST")
            .replace("\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n");
        client.send(&(head + "half")).await;
        while fixture.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        client.send("half").await;
        let (mut peer, request) = target.accept_request().await;
        assert_eq!(request.text(), "halfhalf");
        peer.send(&target_response("200 OK", "r1", "", "whole"))
            .await;
        assert_eq!(client.receive().await.expect("a response").text(), "whole");
    });
}

#[test]
fn a_queued_request_is_answered_when_idle_connections_close() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let mut client = fixture.client().await;
        client.send(&get("once", "r1")).await;
        // The connection to the target is open, and nothing of the request has been read from it.
        let mut peer = target.accept().await;
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        assert!(peer.receive().await.is_some());
        peer.send(&target_response("200 OK", "r1", "", "sent"))
            .await;
        assert_eq!(client.receive().await.expect("a response").text(), "sent");
        fixture.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_stream_in_flight_ends_completely_before_its_connection_closes() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (mut client, mut peer) = fixture.begin_stream(&target, &get("stream", "r1")).await;
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(1, "a").into_bytes()))
        );
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(2, "b").into_bytes()))
        );
        assert_eq!(client.read_chunk().await, Some(None));
        assert_eq!(client.read_until_closed().await, b"");
        fixture.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_request_that_races_with_the_close_of_an_idle_connection_is_not_sent() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (mut client, mut peer) = idle_connection(&fixture, &target).await;
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        client.send(&get("once", "r1")).await;
        assert_eq!(
            client.read_until_closed().await,
            b"",
            "a normal close without a response"
        );
        // A client that connects later is served: no part of the first request was sent to the
        // target before.
        let mut later = fixture.client().await;
        later.send(&get("once", "r2")).await;
        assert!(peer.receive().await.expect("a request").head.contains("r2"));
        peer.send(&target_response("200 OK", "r2", "", "later"))
            .await;
        assert_eq!(later.receive().await.expect("a response").text(), "later");
    });
}

/// A response that is sent before the request body was read completely reaches the client, although
/// bytes of the body are unread.
#[test]
fn a_response_before_the_body_was_read_reaches_the_client() {
    on_one_thread(async {
        let (_target, fixture, _orders) = fixture_with_drain().await;
        let mut client = fixture.client().await;
        let head = get("once", "r1").replace("GET", "POST");
        let head = head.replace("\r\n\r\n", "\r\nContent-Length: 200000\r\n\r\n");
        client.send(&(head + &"x".repeat(180_000))).await;
        assert_eq!(client.receive().await.expect("a response").status(), 413);
        client.send(&"x".repeat(20_000)).await;
        assert_eq!(client.read_until_closed().await, b"");
    });
}

/// A request that arrives between the decision to end and the end of the process would be
/// truncated.
#[test]
fn once_the_process_end_is_decided_no_request_is_sent() {
    on_one_thread(async {
        let (_target, fixture, _orders) = fixture_with_drain().await;
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        fixture.proxy.lifecycle.process_ended().await;
        let response = fixture
            .send_request(&get("once", "r1"))
            .await
            .expect("a response");
        assert_eq!(
            (response.status(), response.header("retry-after").is_some()),
            (503, true)
        );
    });
}

#[test]
fn a_client_that_never_closes_does_not_delay_shutdown() {
    on_one_thread(async {
        let (target, fixture, _orders) = fixture_with_drain().await;
        let (_silent, _late) = (
            idle_connection(&fixture, &target).await,
            fixture.client().await,
        );
        let shutdown = begin_shutdown(&fixture, HOUR);
        close_idle(&fixture, shutdown).await;
        fixture.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn shutdown_ends_after_the_grace_time_without_a_drain_task() {
    on_one_thread(async {
        let (_target, fixture) = ProxyFixture::with_one_target().await;
        shut_down(&fixture.proxy, Duration::from_millis(50)).await;
        assert!(fixture.proxy.lifecycle.is_draining());
    });
}
