//! SIGTERM and what crosses it, on real connections; the end is asked for by hand.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_proxy::clock::duration;
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::signals::shut_down;
use support::drain_orders::{settled, DrainOrders};
use support::on_one_thread;
use support::peer::{Listening, Peer};
use support::world::{answer, chunk, event, get, World, LAST_CHUNK};
use tokio::task;

/// Longer than any request of these tests may take.
const HOUR: Duration = Duration::from_secs(3_600);

/// The end was asked for and clients still come; replies may take `left` from now on.
fn begin_shutdown(world: &World, left: Duration) -> Shutdown {
    let replies_end = duration(world.proxy.clock.now()) + left;
    let all_begun_until = Duration::ZERO;
    let shutdown = Shutdown {
        accept_until: replies_end,
        admit_all_until: all_begun_until,
        response_deadline: replies_end,
    };
    world.proxy.lifecycle.begin_shutdown(shutdown);
    shutdown
}

/// No more clients come: connections at rest are closed.
async fn close_idle(world: &World, shutdown: Shutdown) {
    world.proxy.lifecycle.begin_shutdown(Shutdown {
        accept_until: Duration::ZERO,
        ..shutdown
    });
    let mut connections = world.proxy.lifecycle.connection_policy();
    connections
        .wait_for(|wanted| *wanted == ConnectionPolicy::CloseIdle)
        .await
        .expect("a lifecycle");
    settled().await;
}

/// A proxy with one target, whose node follows drain orders.
async fn world_with_drain() -> (Listening, World, DrainOrders) {
    let (target, world) = World::with_one_target().await;
    let orders = DrainOrders::follow(&world);
    (target, world, orders)
}

/// A request that was answered once, so that the connection rests.
async fn idle_connection(world: &World, target: &Listening) -> (Peer, Peer) {
    let mut client = world.client().await;
    client.send(&get("once", "r0")).await;
    let (mut peer, _) = target.request().await;
    peer.send(&answer(
        "200 OK",
        "r0",
        "Keep-Alive: timeout=9\r\n",
        "first",
    ))
    .await;
    assert_eq!(client.receive().await.expect("an answer").text(), "first");
    (client, peer)
}

#[test]
fn an_idle_connection_gets_one_more_answer_during_shutdown() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (mut client, mut peer) = idle_connection(&world, &target).await;
        begin_shutdown(&world, HOUR);
        settled().await;
        client.send(&get("once", "r1")).await;
        assert!(peer.receive().await.is_some());
        peer.send(&answer("200 OK", "r1", "", "last")).await;
        let got = client.receive().await.expect("an answer");
        assert_eq!(
            (got.text().as_str(), got.header("connection")),
            ("last", Some("close"))
        );
        assert_eq!(client.closed().await, b"");
    });
}

/// The request may take nine seconds, and five are left: it is another node's.
#[test]
fn a_request_that_cannot_end_before_shutdown_is_rejected_and_not_sent() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (mut client, mut peer) = idle_connection(&world, &target).await;
        begin_shutdown(&world, Duration::from_secs(5));
        for (route, mut client) in [("once", client), ("stream", world.client().await)] {
            client.send(&get(route, "r1")).await;
            let got = client.receive().await.expect("an answer");
            assert_eq!(
                (got.status(), got.header("connection")),
                (503, Some("close"))
            );
            assert!(got.header("retry-after").is_some());
            assert_eq!(client.closed().await, b"");
        }
        assert_eq!(world.proxy.lifecycle.rejected_requests(), 2);
        // The next thing that the target hears is a request that can be over in time.
        client = world.client().await;
        client.send(&get("once", "r2").replace("9000", "900")).await;
        assert!(peer.receive().await.expect("a request").head.contains("r2"));
        peer.send(&answer("200 OK", "r2", "", "short")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "short");
    });
}

#[test]
fn a_request_whose_head_is_arriving_when_idle_connections_close_is_answered() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (mut client, mut peer) = idle_connection(&world, &target).await;
        let request = get("once", "r1");
        let (first, rest) = request.split_at(30);
        client.send(first).await;
        while world.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        client.send(rest).await;
        assert!(peer.receive().await.is_some());
        peer.send(&answer("200 OK", "r1", "", "whole")).await;
        let got = client.receive().await.expect("an answer");
        assert_eq!(
            (got.text().as_str(), got.header("connection")),
            ("whole", Some("close"))
        );
        drop(client);
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_request_whose_body_is_arriving_when_idle_connections_close_is_answered() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let mut client = world.client().await;
        let head = get("once", "r1")
            .replace("GET", "POST")
            .replace("\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n");
        client.send(&(head + "half")).await;
        while world.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        client.send("half").await;
        let (mut peer, request) = target.request().await;
        assert_eq!(request.text(), "halfhalf");
        peer.send(&answer("200 OK", "r1", "", "whole")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "whole");
    });
}

#[test]
fn a_queued_request_is_answered_when_idle_connections_close() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let mut client = world.client().await;
        client.send(&get("once", "r1")).await;
        // The connection to the target is up, and nothing of the request has been read from it.
        let mut peer = target.accept().await;
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        assert!(peer.receive().await.is_some());
        peer.send(&answer("200 OK", "r1", "", "sent")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "sent");
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_stream_in_flight_ends_completely_before_its_connection_closes() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (mut client, mut peer) = world.begin_stream(&target, &get("stream", "r1")).await;
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(client.chunk().await, Some(Some(event(2, "b").into_bytes())));
        assert_eq!(client.chunk().await, Some(None));
        assert_eq!(client.closed().await, b"");
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_sent() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (mut client, mut peer) = idle_connection(&world, &target).await;
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        client.send(&get("once", "r1")).await;
        assert_eq!(
            client.closed().await,
            b"",
            "an orderly end without an answer"
        );
        // A client that comes later is served: nothing of the first went before it.
        let mut later = world.client().await;
        later.send(&get("once", "r2")).await;
        assert!(peer.receive().await.expect("a request").head.contains("r2"));
        peer.send(&answer("200 OK", "r2", "", "later")).await;
        assert_eq!(later.receive().await.expect("an answer").text(), "later");
    });
}

/// An answer that is given before the body was read reaches the client, although bytes of the body
/// are unread.
#[test]
fn an_answer_before_the_body_was_read_reaches_the_client() {
    on_one_thread(async {
        let (_target, world, _orders) = world_with_drain().await;
        let mut client = world.client().await;
        let head = get("once", "r1").replace("GET", "POST");
        let head = head.replace("\r\n\r\n", "\r\nContent-Length: 200000\r\n\r\n");
        client.send(&(head + &"x".repeat(180_000))).await;
        assert_eq!(client.receive().await.expect("an answer").status(), 413);
        client.send(&"x".repeat(20_000)).await;
        assert_eq!(client.closed().await, b"");
    });
}

/// What comes between the decision to end and the end itself would be cut by it.
#[test]
fn once_the_process_end_is_decided_no_request_is_sent() {
    on_one_thread(async {
        let (_target, world, _orders) = world_with_drain().await;
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        world.proxy.lifecycle.process_ended().await;
        let got = world.ask(&get("once", "r1")).await.expect("an answer");
        assert_eq!(
            (got.status(), got.header("retry-after").is_some()),
            (503, true)
        );
    });
}

#[test]
fn a_client_that_never_closes_does_not_delay_shutdown() {
    on_one_thread(async {
        let (target, world, _orders) = world_with_drain().await;
        let (_silent, _late) = (idle_connection(&world, &target).await, world.client().await);
        let shutdown = begin_shutdown(&world, HOUR);
        close_idle(&world, shutdown).await;
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn shutdown_ends_after_the_grace_time_without_a_drain_task() {
    on_one_thread(async {
        let (_target, world) = World::with_one_target().await;
        shut_down(&world.proxy, Duration::from_millis(50)).await;
        assert!(world.proxy.lifecycle.is_draining());
    });
}
