//! Signals, which this process gets itself.

mod support;

use plankhill_proxy::signals::Signals;
use plankhill_settings::Bounds;
use support::drain_orders::Orders;
use support::on_one_thread;
use support::peer::Listening;
use support::world::{chunk, event, get, stream_head, World, LAST_CHUNK};
use tokio::task;

#[test]
fn signals_behind_the_first_change_nothing() {
    on_one_thread(async {
        let target = Listening::start().await;
        let world = World::with_targets(&[&target]).await;
        let _orders = Orders::follow(&world);
        let signals = Signals::catch().expect("signals");
        let bounds: Bounds =
            serde_json::from_value(serde_json::json!({ "grace_s": 8 })).expect("bounds");
        let ended = task::spawn_local(signals.process_ended(world.proxy.clone(), bounds));
        let mut client = world.client().await;
        client
            .send(&get("stream", "r1").replace("9000", "2000"))
            .await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a"))))
            .await;
        assert!(client.head().await.is_some());
        signal("TERM");
        let mut shutdown = world.proxy.lifecycle.shutdown();
        let first = *shutdown.wait_for(Option::is_some).await.expect("a life");
        signal("TERM");
        signal("HUP");
        peer.send(&(chunk(&event(2, "b")) + LAST_CHUNK)).await;
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        assert_eq!(client.chunk().await, Some(Some(event(2, "b").into_bytes())));
        assert_eq!(client.chunk().await, Some(None));
        assert_eq!(*world.proxy.lifecycle.shutdown().borrow(), first);
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
