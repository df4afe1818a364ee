//! Tests of a node that is taken out of service by a drain order, and of responses truncated by a
//! shutdown.

mod support;

use std::sync::Arc;
use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::{Drain, Tables};
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::readiness::is_ready;
use support::drain_orders::{run_ready_tasks, DrainOrders};
use support::fixture::{chunk, event, get, target_response, turn, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use tokio::join;

#[test]
fn a_drain_order_makes_the_node_unready_until_it_is_lifted() {
    on_one_thread(async {
        let (_target, fixture) = ProxyFixture::with_one_target().await;
        let orders = DrainOrders::start(&fixture);
        run_ready_tasks().await;
        assert!(is_ready(&fixture.proxy));
        orders.set(Some(1)).await;
        assert!(!is_ready(&fixture.proxy));
        orders.set(None).await;
        assert!(is_ready(&fixture.proxy));
    });
}

#[test]
fn a_drain_order_for_another_node_is_ignored() {
    on_one_thread(async {
        let (_target, fixture) = ProxyFixture::with_one_target().await;
        let orders = DrainOrders::start(&fixture);
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
        run_ready_tasks().await;
        assert!(is_ready(&fixture.proxy));
    });
}

#[test]
fn a_draining_node_finishes_the_response_in_flight_and_closes_its_connection() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let orders = DrainOrders::start(&fixture);
        let (mut client, mut peer) = fixture.begin_stream(&target, &get("stream", "r1")).await;
        orders.set(Some(5)).await;
        assert_eq!(orders.reported.borrow().len(), 0);
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(1, "a").into_bytes()))
        );
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(2, "b").into_bytes()))
        );
        assert_eq!(client.read_chunk().await, Some(None));
        drop(client);
        orders.wait_reported(5).await;
    });
}

#[test]
fn a_draining_node_serves_a_request_on_an_open_connection_and_closes_it() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let orders = DrainOrders::start(&fixture);
        let mut client = fixture.client().await;
        run_ready_tasks().await;
        orders.set(Some(1)).await;
        client.send(&get("once", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        peer.send(&target_response("200 OK", "r1", "", "body"))
            .await;
        let response = client.receive().await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(client.read_until_closed().await, b"");
        orders.wait_reported(1).await;
    });
}

/// A process that ends settles a truncated turn by the events delivered to its client, not by the
/// turn's maximum.
#[test]
fn a_turn_truncated_by_shutdown_is_settled_by_its_delivered_events() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let (mut client, _peer) = fixture
            .begin_stream(&target, &turn("stream", "r1", "", "in"))
            .await;
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(1, "a").into_bytes()))
        );
        let _orders = DrainOrders::start(&fixture);
        fixture
            .proxy
            .lifecycle
            .begin_shutdown(Shutdown::new(Duration::ZERO, Duration::ZERO));
        let ending = fixture.proxy.lifecycle.process_ended();
        let (_, truncated) = join!(ending, client.read_chunk());
        assert_eq!(truncated, None, "no end that looks complete");
        assert_eq!(fixture.stores.first_end().await.tokens, Some(3));
    });
}

#[test]
fn idle_connections_are_closed_and_the_response_in_flight_is_finished() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let (mut idle, mut busy) = (fixture.client().await, fixture.client().await);
        busy.send(&get("once", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        fixture
            .proxy
            .lifecycle
            .set_connection_policy(ConnectionPolicy::CloseIdle);
        assert_eq!(idle.read_until_closed().await, b"");
        peer.send(&target_response("200 OK", "r1", "", "body"))
            .await;
        assert_eq!(busy.receive().await.expect("a response").text(), "body");
        assert_eq!(busy.read_until_closed().await, b"");
    });
}

#[test]
fn close_all_closes_connections_with_requests_in_flight() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut client = fixture.client().await;
        client.send(&get("once", "r1")).await;
        let _in_flight = target.accept_request().await;
        fixture
            .proxy
            .lifecycle
            .set_connection_policy(ConnectionPolicy::CloseAll);
        assert_eq!(client.read_until_closed().await, b"");
        assert_eq!(
            (
                fixture.proxy.lifecycle.open_connections(),
                fixture.proxy.lifecycle.work_in_flight()
            ),
            (0, 0)
        );
    });
}
