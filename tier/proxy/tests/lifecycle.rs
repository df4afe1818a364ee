//! Readiness, and the orderly end.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use support::drain_orders::Orders;
use support::on_one_thread;
use support::peer::{Listening, Peer};
use support::world::{
    answer, chunk, configuration, event, get, stream_head, tables, World, LAST_CHUNK,
};
use tokio::join;

/// The end was asked for, and nothing has to be over yet.
fn in_an_hour() -> Shutdown {
    Shutdown::new(Duration::ZERO, Duration::from_secs(3_600))
}

async fn readiness(world: &World) -> u16 {
    let mut peer = Peer::connect(world.readiness).await;
    peer.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    peer.receive().await.expect("an answer").status()
}

#[test]
fn ready_with_a_configuration_that_is_known_to_be_the_newest() {
    on_one_thread(async {
        let world = World::unready().await;
        assert_eq!(readiness(&world).await, 503);
        world.set_tables(tables(&[], &configuration()));
        assert_eq!(readiness(&world).await, 503);
        let hurried = get("once", "r1").replace("Deadline-Ms: 9000", "Deadline-Ms: 1");
        let early = world.ask(&hurried).await.expect("an answer");
        assert_eq!(
            (early.status(), early.header("retry-after").is_some()),
            (503, true)
        );
        world.proxy.lifecycle.mark_tables_current();
        assert_eq!(readiness(&world).await, 200);
        world.proxy.lifecycle.begin_shutdown(in_an_hour());
        assert_eq!(readiness(&world).await, 503);
    });
}

#[test]
fn a_request_that_comes_just_before_the_tables_waits_for_them() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::unready().await;
        let mut client = world.client().await;
        client.send(&get("once", "r1")).await;
        // Served in the order of their coming: the first request has been read when this one is answered.
        let _ = readiness(&world).await;
        world.set_tables(tables(&[target.address()], &configuration()));
        world.proxy.lifecycle.mark_tables_current();
        let (mut peer, _) = target.request().await;
        peer.send(&answer("200 OK", "r1", "", "body")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "body");
    });
}

#[test]
fn older_tables_do_not_come_back_in_force() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let mut newer = tables(&[target.address()], &configuration());
        newer.revision.0 = 5;
        newer.configuration = None;
        assert!(world.proxy.snapshots.replace(std::sync::Arc::new(newer)));
        let older = tables(&[target.address()], &configuration());
        assert!(!world.proxy.snapshots.replace(std::sync::Arc::new(older)));
        assert_eq!(world.proxy.snapshots.newest().tables.revision.0, 5);
    });
}

#[test]
fn what_comes_while_the_process_ends_is_answered_and_the_connection_closed() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let mut open = world.client().await;
        world.proxy.lifecycle.begin_shutdown(in_an_hour());
        open.send(&get("once", "r1")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "body"))
            .await;
        let got = open.receive().await.expect("an answer");
        assert_eq!(
            (got.status(), got.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(open.closed().await, b"");
        let mut late = world.client().await;
        late.send(&get("once", "r2")).await;
        assert!(peer.receive().await.is_some());
        peer.send(&answer("200 OK", "r2", "", "late")).await;
        assert_eq!(late.receive().await.expect("an answer").text(), "late");
    });
}

#[test]
fn the_end_waits_for_the_last_bytes_of_a_stream() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.head().await.is_some());
        let _orders = Orders::follow(&world);
        world.proxy.lifecycle.begin_shutdown(Shutdown {
            accept_until: Duration::ZERO,
            ..in_an_hour()
        });
        let ending = world.proxy.lifecycle.process_ended();
        let finishing = async {
            assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
            peer.send(LAST_CHUNK).await;
            assert_eq!(client.chunk().await, Some(None));
        };
        join!(ending, finishing);
    });
}
