//! Readiness, and the orderly end.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use support::drain_orders::DrainOrders;
use support::on_one_thread;
use support::peer::{Listening, Peer};
use support::world::{answer, configuration, event, get, tables, World, LAST_CHUNK};
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
fn ready_once_a_configuration_is_known_to_be_current() {
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
fn a_request_waits_for_the_first_tables() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::unready().await;
        let mut client = world.client().await;
        client.send(&get("once", "r1")).await;
        // Served in the order of their coming: the first request has been read when this one is
        // answered.
        let _ = readiness(&world).await;
        world.set_tables(tables(&[target.address()], &configuration()));
        world.proxy.lifecycle.mark_tables_current();
        let (mut peer, _) = target.request().await;
        peer.send(&answer("200 OK", "r1", "", "body")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "body");
    });
}

#[test]
fn tables_of_an_older_revision_are_ignored() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
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
fn a_request_during_shutdown_is_answered_and_its_connection_closed() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
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
fn shutdown_waits_for_the_last_bytes_of_a_stream() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (mut client, mut peer) = world.begin_stream(&target, &get("stream", "r1")).await;
        let _orders = DrainOrders::follow(&world);
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
