//! Streams pass event by event, and a break is never taken for an end.

mod support;

use support::on_one_thread;
use support::peer::{Listening, Peer};
use support::world::{answer, chunk, event, get, stream_head, World, LAST_CHUNK};
use tokio::join;

/// Sends the head and then these pieces.
async fn send_stream(peer: &mut Peer, stamp: &str, pieces: &[&str]) {
    peer.send(&stream_head("r1", stamp)).await;
    for piece in pieces {
        peer.send(&chunk(piece)).await;
    }
}

#[test]
fn events_are_relayed_as_they_arrive() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        send_stream(&mut peer, "s", &[&event(1, "a"), "id: 2\nda"]).await;
        let head = client.head().await.expect("a head");
        assert!(head.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(head.to_lowercase().contains("upstream-signature: s\r\n"));
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        // The second event comes only now that the first was received; it was cut in the middle.
        peer.send(&chunk("ta: b\n\n")).await;
        assert_eq!(
            client.chunk().await,
            Some(Some(b"id: 2\ndata: b\n\n".to_vec()))
        );
        peer.send(LAST_CHUNK).await;
        assert_eq!(client.chunk().await, Some(None));
    });
}

#[test]
fn the_connection_serves_the_next_request_after_a_stream() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        let head = stream_head("r1", "s").replace("\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n");
        peer.send(&(head + &chunk(&event(1, "a")) + LAST_CHUNK))
            .await;
        assert!(client.receive().await.is_some());
        client.send(&get("once", "r2")).await;
        let request = peer.receive().await.expect("over the same connection");
        assert_eq!(request.header("request-id"), Some("r2"));
        peer.send(&answer("200 OK", "r2", "", "two")).await;
        assert_eq!(client.receive().await.expect("an answer").text(), "two");
    });
}

#[test]
fn a_reset_truncates_a_stream_that_is_not_resumable() {
    on_one_thread(async {
        for reset in [false, true] {
            let (target, other) = (Listening::start().await, Listening::start().await);
            let world = World::with_targets(&[&target, &other]).await;
            let mut client = world.client().await;
            client.send(&get("stream", "r1")).await;
            let (mut peer, _) = target.request().await;
            send_stream(&mut peer, "s", &[&event(1, "a")]).await;
            assert!(client.head().await.is_some());
            assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
            peer.send(&chunk("id: 2\ndata: ha")).await;
            if reset {
                peer.reset();
            } else {
                drop(peer);
            }
            assert_eq!(
                client.closed().await,
                b"",
                "neither half an event nor the end of the body"
            );
        }
    });
}

#[test]
fn a_reset_before_the_first_event_is_answered_with_502() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let request = get("stream", "r1");
        let serve = async {
            let (mut peer, _) = target.request().await;
            send_stream(&mut peer, "s", &["id: 1\nda"]).await;
        };
        let (got, ()) = join!(world.ask(&request), serve);
        let got = got.expect("an answer");
        assert_eq!(
            (got.status(), got.header("upstream-signature")),
            (502, None)
        );
    });
}

#[test]
fn a_resumable_stream_continues_at_another_target() {
    on_one_thread(async {
        let (first, second) = (Listening::start().await, Listening::start().await);
        let world = World::with_targets(&[&first, &second]).await;
        let request = get("resume", "r1");
        let serve = async {
            let (mut peer, request) = first.request().await;
            assert_eq!(request.header("last-event-id"), None);
            send_stream(
                &mut peer,
                "one",
                &[&event(1, "a"), &event(2, "b"), "id: 3\nda"],
            )
            .await;
            drop(peer);
            let (mut peer, request) = second.request().await;
            assert_eq!(request.header("last-event-id"), Some("2"));
            assert_eq!(request.header("expected-instance"), Some("t1"));
            send_stream(&mut peer, "two", &[&event(3, "c")]).await;
            peer.send(LAST_CHUNK).await;
            peer
        };
        let (got, _peer) = join!(world.ask(&request), serve);
        let got = got.expect("a whole answer");
        assert_eq!(got.text(), event(1, "a") + &event(2, "b") + &event(3, "c"));
        assert_eq!(got.header("upstream-signature"), Some("one"));
    });
}

#[test]
fn events_of_a_second_execution_from_the_start_are_not_relayed() {
    on_one_thread(async {
        let (first, second) = (Listening::start().await, Listening::start().await);
        let world = World::with_targets(&[&first, &second]).await;
        let mut client = world.client().await;
        client.send(&get("resume", "r1")).await;
        let (mut peer, _) = first.request().await;
        send_stream(&mut peer, "one", &[&event(1, "a")]).await;
        drop(peer);
        let (mut peer, _) = second.request().await;
        send_stream(&mut peer, "two", &[&event(1, "a"), &event(2, "b")]).await;
        assert!(client.head().await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1, "a").into_bytes())));
        assert_eq!(client.closed().await, b"");
    });
}

#[test]
fn a_rejection_on_a_streaming_route_is_retried_at_another_target() {
    on_one_thread(async {
        let (full, free) = (Listening::start().await, Listening::start().await);
        let world = World::with_targets(&[&full, &free]).await;
        let request = get("stream", "r1");
        let serve = async {
            let (mut peer, _) = full.request().await;
            peer.send(&answer("503 Full", "r1", "Not-Executed: 1\r\n", ""))
                .await;
            let (mut other, _) = free.request().await;
            send_stream(&mut other, "s", &[&event(1, "a")]).await;
            other.send(LAST_CHUNK).await;
            (peer, other)
        };
        let (got, _peers) = join!(world.ask(&request), serve);
        assert_eq!(got.expect("an answer").text(), event(1, "a"));
    });
}

#[test]
fn a_client_disconnect_closes_the_connection_to_the_target() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let mut client = world.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.request().await;
        send_stream(&mut peer, "s", &[&event(1, "a")]).await;
        assert!(client.head().await.is_some());
        drop(client);
        assert_eq!(peer.closed().await, b"");
        world.proxy.lifecycle.work_finished().await;
    });
}

#[test]
fn a_client_disconnect_before_the_answer_closes_the_connection_to_the_target() {
    on_one_thread(async {
        for route in ["stream", "once"] {
            let (target, world) = World::with_one_target().await;
            let mut client = world.client().await;
            client.send(&get(route, "r1")).await;
            let (mut peer, _) = target.request().await;
            drop(client);
            assert_eq!(peer.closed().await, b"");
            world.proxy.lifecycle.work_finished().await;
        }
    });
}

#[test]
fn a_stream_resumed_by_the_client_repeats_no_event() {
    on_one_thread(async {
        let (first, second) = (Listening::start().await, Listening::start().await);
        let world = World::with_targets(&[&first, &second]).await;
        let request = get("resume", "r1").replace("\r\n\r\n", "\r\nLast-Event-Id: 7\r\n\r\n");
        let serve = async {
            let (mut peer, request) = first.request().await;
            assert_eq!(request.header("last-event-id"), Some("7"));
            send_stream(&mut peer, "one", &[&event(7, "again")]).await;
            let (mut other, request) = second.request().await;
            assert_eq!(request.header("last-event-id"), Some("7"));
            send_stream(&mut other, "two", &[&event(8, "next")]).await;
            other.send(LAST_CHUNK).await;
            (peer, other)
        };
        let (got, _peers) = join!(world.ask(&request), serve);
        let got = got.expect("an answer");
        assert_eq!(
            (got.text(), got.header("upstream-signature")),
            (event(8, "next"), Some("two"))
        );
    });
}
