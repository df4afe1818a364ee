//! A node that is taken out of service by an order, and the replies that its end cuts off.

mod support;

use std::sync::Arc;
use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::{Drain, Tables};
use plankhill_proxy::lifecycle::ConnectionPolicy;
use plankhill_proxy::readiness::is_ready;
use support::drain_orders::{settled, Orders};
use support::on_one_thread;
use support::peer::Listening;
use support::world::{answer, chunk, event, get, stream_head, turn, World, LAST_CHUNK};
use tokio::join;

#[test]
fn an_order_turns_clients_away_and_a_lifted_one_welcomes_them() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let orders = Orders::follow(&world);
        settled().await;
        assert!(is_ready(&world.proxy));
        orders.set(Some(1)).await;
        assert!(!is_ready(&world.proxy));
        orders.set(None).await;
        assert!(is_ready(&world.proxy));
    });
}

#[test]
fn an_order_for_another_node_is_none() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let orders = Orders::follow(&world);
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
fn a_reply_under_way_is_finished_and_its_connection_closes_behind_it() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let orders = Orders::follow(&world);
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.head().await.is_some());
        orders.set(Some(5)).await;
        assert_eq!(orders.said.borrow().len(), 0);
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        assert_eq!(client.chunk().await, Some(Some(event(2, "b").into_bytes())));
        assert_eq!(client.chunk().await, Some(None));
        drop(client);
        orders.until_said(5).await;
    });
}

#[test]
fn what_comes_on_an_open_connection_is_served_and_told_to_close() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let orders = Orders::follow(&world);
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
        orders.until_said(1).await;
    });
}

/// A process that ends settles what it cuts by what its client was handed, not by the turn's most.
#[test]
fn a_turn_that_the_end_cuts_counts_by_what_was_handed() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let mut client = world.client().await;
        client.send(&turn("stream", "r1", "", "in")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.head().await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        let _orders = Orders::follow(&world);
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
fn connections_at_rest_are_closed_and_a_reply_under_way_is_finished() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
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
fn in_the_end_all_connections_are_cut() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
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
