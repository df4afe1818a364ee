//! SIGTERM and what crosses it, on real connections; the end is asked for by hand.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_proxy::clock::duration;
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::signals::shut_down;
use support::drain_orders::{settled, Orders};
use support::on_one_thread;
use support::peer::{Listening, Peer};
use support::world::{answer, chunk, event, get, stream_head, World, LAST_CHUNK};
use tokio::task;

/// Longer than any request of these tests may take.
const HOUR: Duration = Duration::from_secs(3_600);

/// The end was asked for and clients still come; replies may take `left` from now on.
fn ending(world: &World, left: Duration) -> Shutdown {
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
        .expect("a life");
    settled().await;
}

async fn world(target: &Listening) -> (World, Orders) {
    let world = World::with_targets(&[target]).await;
    let orders = Orders::follow(&world);
    (world, orders)
}

/// A request that was answered once, so that the connection rests.
async fn rested(world: &World, target: &Listening) -> (Peer, Peer) {
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
fn a_connection_that_stays_open_gets_one_more_answer_that_closes_it() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let (mut client, mut peer) = rested(&world, &target).await;
        ending(&world, HOUR);
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
fn what_could_not_be_over_in_time_is_refused_at_once_and_never_passed_on() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let (mut client, mut peer) = rested(&world, &target).await;
        ending(&world, Duration::from_secs(5));
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
fn a_head_that_is_half_read_when_connections_close_is_answered() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let (mut client, mut peer) = rested(&world, &target).await;
        let request = get("once", "r1");
        let (first, rest) = request.split_at(30);
        client.send(first).await;
        while world.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = ending(&world, HOUR);
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
fn a_body_that_is_half_read_when_connections_close_is_answered() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let mut client = world.client().await;
        let head = get("once", "r1")
            .replace("GET", "POST")
            .replace("\r\n\r\n", "\r\nContent-Length: 8\r\n\r\n");
        client.send(&(head + "half")).await;
        while world.proxy.lifecycle.work_in_flight() == 0 {
            task::yield_now().await;
        }
        let shutdown = ending(&world, HOUR);
        close_idle(&world, shutdown).await;
        client.send("half").await;
        let (mut peer, request) = target.request().await;
        assert_eq!(request.text(), "halfhalf");
        peer.send(&answer("200 OK", "r1", "", "whole")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "whole");
    });
}

#[test]
fn a_request_that_waits_to_be_sent_when_connections_close_is_answered() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let mut client = world.client().await;
        client.send(&get("once", "r1")).await;
        // The connection to the target is up, and nothing of the request has been read from it.
        let mut peer = target.accept().await;
        let shutdown = ending(&world, HOUR);
        close_idle(&world, shutdown).await;
        assert!(peer.receive().await.is_some());
        peer.send(&answer("200 OK", "r1", "", "sent")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "sent");
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn a_stream_under_way_runs_to_its_end_and_then_its_connection_closes() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.head().await.is_some());
        let shutdown = ending(&world, HOUR);
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
fn a_request_that_crosses_the_close_of_a_resting_connection_is_not_passed_on() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let (mut client, mut peer) = rested(&world, &target).await;
        let shutdown = ending(&world, HOUR);
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

/// An answer that is given before the body was read reaches the client, although bytes of the body are unread.
#[test]
fn an_early_answer_is_not_eaten_by_the_unread_body() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
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
fn once_the_end_is_decided_on_nothing_is_passed_on() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let shutdown = ending(&world, HOUR);
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
fn a_client_that_never_closes_does_not_hold_the_end_up() {
    on_one_thread(async {
        let target = Listening::start().await;
        let (world, _orders) = world(&target).await;
        let (_silent, _late) = (rested(&world, &target).await, world.client().await);
        let shutdown = ending(&world, HOUR);
        close_idle(&world, shutdown).await;
        world.proxy.lifecycle.process_ended().await;
    });
}

#[test]
fn without_a_follower_of_orders_the_end_still_comes() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        shut_down(&world.proxy, Duration::from_millis(50)).await;
        assert!(world.proxy.lifecycle.is_draining());
    });
}
