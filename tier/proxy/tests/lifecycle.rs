//! Tests of readiness and graceful shutdown.

mod support;

use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use support::drain_orders::DrainOrders;
use support::fixture::{
    configuration, event, get, tables, target_response, ProxyFixture, LAST_CHUNK,
};
use support::on_one_thread;
use support::peer::{Peer, ScriptedTarget};
use tokio::join;

/// A shutdown that has begun, with deadlines far in the future.
fn shutdown_in_an_hour() -> Shutdown {
    Shutdown::new(Duration::ZERO, Duration::from_secs(3_600))
}

async fn readiness(fixture: &ProxyFixture) -> u16 {
    let mut peer = Peer::connect(fixture.readiness_address).await;
    peer.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    peer.receive().await.expect("a response").status()
}

#[test]
fn ready_once_a_configuration_is_known_to_be_current() {
    on_one_thread(async {
        let fixture = ProxyFixture::unready().await;
        assert_eq!(readiness(&fixture).await, 503);
        fixture.set_tables(tables(&[], &configuration()));
        assert_eq!(readiness(&fixture).await, 503);
        let hurried = get("once", "r1").replace("Deadline-Ms: 9000", "Deadline-Ms: 1");
        let early = fixture.send_request(&hurried).await.expect("a response");
        assert_eq!(
            (early.status(), early.header("retry-after").is_some()),
            (503, true)
        );
        fixture.proxy.lifecycle.mark_tables_current();
        assert_eq!(readiness(&fixture).await, 200);
        fixture
            .proxy
            .lifecycle
            .begin_shutdown(shutdown_in_an_hour());
        assert_eq!(readiness(&fixture).await, 503);
    });
}

#[test]
fn a_request_waits_for_the_first_tables() {
    on_one_thread(async {
        let target = ScriptedTarget::start().await;
        let fixture = ProxyFixture::unready().await;
        let mut client = fixture.client().await;
        client.send(&get("once", "r1")).await;
        // Requests are served in the order of arrival: the first request has been read when this
        // one gets its response.
        let _ = readiness(&fixture).await;
        fixture.set_tables(tables(&[target.address()], &configuration()));
        fixture.proxy.lifecycle.mark_tables_current();
        let (mut peer, _) = target.accept_request().await;
        peer.send(&target_response("200 OK", "r1", "", "body"))
            .await;
        assert_eq!(client.receive().await.expect("a response").text(), "body");
    });
}

#[test]
fn tables_of_an_older_revision_are_ignored() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut newer = tables(&[target.address()], &configuration());
        newer.revision.0 = 5;
        newer.configuration = None;
        assert!(fixture.proxy.snapshots.replace(std::sync::Arc::new(newer)));
        let older = tables(&[target.address()], &configuration());
        assert!(!fixture.proxy.snapshots.replace(std::sync::Arc::new(older)));
        assert_eq!(fixture.proxy.snapshots.newest().tables.revision.0, 5);
    });
}

#[test]
fn a_request_during_shutdown_is_answered_and_its_connection_closed() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut open = fixture.client().await;
        fixture
            .proxy
            .lifecycle
            .begin_shutdown(shutdown_in_an_hour());
        open.send(&get("once", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        peer.send(&target_response(
            "200 OK",
            "r1",
            "Keep-Alive: timeout=9\r\n",
            "body",
        ))
        .await;
        let response = open.receive().await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        assert_eq!(open.read_until_closed().await, b"");
        let mut late = fixture.client().await;
        late.send(&get("once", "r2")).await;
        assert!(peer.receive().await.is_some());
        peer.send(&target_response("200 OK", "r2", "", "late"))
            .await;
        assert_eq!(late.receive().await.expect("a response").text(), "late");
    });
}

#[test]
fn shutdown_waits_for_the_last_bytes_of_a_stream() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let (mut client, mut peer) = fixture.begin_stream(&target, &get("stream", "r1")).await;
        let _orders = DrainOrders::start(&fixture);
        fixture.proxy.lifecycle.begin_shutdown(Shutdown {
            accept_until: Duration::ZERO,
            ..shutdown_in_an_hour()
        });
        let ending = fixture.proxy.lifecycle.process_ended();
        let finishing = async {
            assert_eq!(
                client.read_chunk().await,
                Some(Some(event(1, "a").into_bytes()))
            );
            peer.send(LAST_CHUNK).await;
            assert_eq!(client.read_chunk().await, Some(None));
        };
        join!(ending, finishing);
    });
}
