//! A node that is taken out of service by an order, and the replies that its end cuts off.

mod support;

use std::sync::Arc;
use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::{Drain, Tables};
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::readiness::is_ready;
use support::drain_orders::{settled, DrainOrders};
use support::on_one_thread;
use support::world::{answer, chunk, event, get, turn, World, LAST_CHUNK};
use tokio::join;

#[test]
fn a_drain_order_makes_the_node_unready_until_it_is_lifted() {
    on_one_thread(async {
        let (_target, world) = World::with_one_target().await;
        let orders = DrainOrders::follow(&world);
        settled().await;
        assert!(is_ready(&world.proxy));
        orders.set(Some(1)).await;
        assert!(!is_ready(&world.proxy));
        orders.set(None).await;
        assert!(is_ready(&world.proxy));
    });
}

#[test]
fn a_drain_order_for_another_node_is_ignored() {
    on_one_thread(async {
        let (_target, world) = World::with_one_target().await;
        let orders = DrainOrders::follow(&world);
        let other = Drain {
            node: NodeId::from("other"),
            number: 1,
            empty: false,
        };
        orders.tables.send_modify(|tables| {
            *tables = Arc::new(Tables {
                drains: vec![other],
                ..Tables::clone(tables)
            });
        });
        settled().await;
        assert!(is_ready(&world.proxy));
    });
}

#[test]
fn a_draining_node_finishes_the_answer_in_flight_and_closes_its_connection() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let orders = DrainOrders::follow(&world);
        let (mut client, mut peer) = world.begin_stream(&target, &get("stream", "r1")).await;
        orders.set(Some(5)).await;
        assert_eq!(orders.reported.borrow().len(), 0);
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        assert_eq!(client.chunk().await, Some(Some(event(2, "b").into_bytes())));
        assert_eq!(client.chunk().await, Some(None));
        drop(client);
        orders.until_reported(5).await;
    });
}

#[test]
fn a_draining_node_serves_a_request_on_an_open_connection_and_closes_it() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let orders = DrainOrders::follow(&world);
        let mut client = world.client().await;
        settled().await;
        orders.set(Some(1)).await;
        client.send(&get("once", "r1")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&answer("200 OK", "r1", "", "body")).await;
        let got = client.receive().await.expect("an answer");
        assert_eq!(
            (got.status(), got.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(client.closed().await, b"");
        orders.until_reported(1).await;
    });
}

/// A process that ends settles what it cuts by what its client was handed, not by the turn's most.
#[test]
fn a_turn_truncated_by_shutdown_is_settled_by_its_delivered_events() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (mut client, _peer) = world
            .begin_stream(&target, &turn("stream", "r1", "", "in"))
            .await;
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        let _orders = DrainOrders::follow(&world);
        world
            .proxy
            .lifecycle
            .begin_shutdown(Shutdown::new(Duration::ZERO, Duration::ZERO));
        let ending = world.proxy.lifecycle.process_ended();
        let (_, cut) = join!(ending, client.chunk());
        assert_eq!(cut, None, "no end that looks complete");
        assert_eq!(world.stores.first_end().await.tokens, Some(3));
    });
}

#[test]
fn idle_connections_are_closed_and_the_answer_in_flight_is_finished() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (mut resting, mut busy) = (world.client().await, world.client().await);
        busy.send(&get("once", "r1")).await;
        let (mut peer, _) = target.request().await;
        world
            .proxy
            .lifecycle
            .set_connection_policy(ConnectionPolicy::CloseIdle);
        assert_eq!(resting.closed().await, b"");
        peer.send(&answer("200 OK", "r1", "", "body")).await;
        assert_eq!(busy.receive().await.expect("an answer").text(), "body");
        assert_eq!(busy.closed().await, b"");
    });
}

#[test]
fn close_all_closes_connections_with_requests_in_flight() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let mut client = world.client().await;
        client.send(&get("once", "r1")).await;
        let _held = target.request().await;
        world
            .proxy
            .lifecycle
            .set_connection_policy(ConnectionPolicy::CloseAll);
        assert_eq!(client.closed().await, b"");
        assert_eq!(
            (
                world.proxy.lifecycle.open_connections(),
                world.proxy.lifecycle.work_in_flight()
            ),
            (0, 0)
        );
    });
}
