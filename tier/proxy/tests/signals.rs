//! Tests of signals, which the test process sends to itself.

mod support;

use plankhill_proxy::signals::process_ended;
use plankhill_settings::{Bounds, ProcessSignals};
use support::drain_orders::DrainOrders;
use support::fixture::{chunk, event, get, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use tokio::task;

#[test]
fn signals_after_sigterm_are_ignored() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let _orders = DrainOrders::start(&fixture);
        let signals = ProcessSignals::new().expect("signals");
        let bounds: Bounds =
            serde_json::from_value(serde_json::json!({ "grace_s": 8 })).expect("bounds");
        let ended = task::spawn_local(process_ended(signals, fixture.proxy.clone(), bounds));
        let (mut client, mut peer) = fixture
            .begin_stream(&target, &get("stream", "r1").replace("9000", "2000"))
            .await;
        signal("TERM");
        let mut shutdown = fixture.proxy.lifecycle.shutdown();
        let first = *shutdown
            .wait_for(Option::is_some)
            .await
            .expect("a lifecycle");
        signal("TERM");
        signal("HUP");
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
        assert_eq!(*fixture.proxy.lifecycle.shutdown().borrow(), first);
        assert!(!ended.is_finished(), "clients may still come");
        ended.abort();
    });
}

fn signal(name: &str) {
    let own = std::process::id().to_string();
    let sent = std::process::Command::new("kill")
        .args(["-s", name, &own])
        .status();
    assert!(sent.expect("kill runs").success());
}
