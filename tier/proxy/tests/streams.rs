//! Tests that streams are forwarded event by event, and that a broken stream never appears
//! complete.

mod support;

use plankhill_proxy::stream::events::MAX_EVENT_BYTES;
use support::fixture::{chunk, event, get, stream_head, target_response, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use support::peer::{Peer, ScriptedTarget};
use tokio::join;

/// Sends the head of a stream, and then each of these pieces as a chunk.
async fn send_stream(peer: &mut Peer, signature: &str, pieces: &[&str]) {
    peer.send(&stream_head("r1", signature)).await;
    for piece in pieces {
        peer.send(&chunk(piece)).await;
    }
}

#[test]
fn events_are_relayed_as_they_arrive() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut client = fixture.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        send_stream(&mut peer, "s", &[&event(1, "a"), "id: 2\nda"]).await;
        let head = client.read_head().await.expect("a head");
        assert!(head.starts_with("HTTP/1.1 200 OK\r\n"));
        assert!(head.to_lowercase().contains("upstream-signature: s\r\n"));
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(1, "a").into_bytes()))
        );
        // The rest of the second event, which was split in the middle, is sent only after the first
        // event was received.
        peer.send(&chunk("ta: b\n\n")).await;
        assert_eq!(
            client.read_chunk().await,
            Some(Some(b"id: 2\ndata: b\n\n".to_vec()))
        );
        peer.send(LAST_CHUNK).await;
        assert_eq!(client.read_chunk().await, Some(None));
    });
}

#[test]
fn the_connection_serves_the_next_request_after_a_stream() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut client = fixture.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        let head = stream_head("r1", "s").replace("\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n");
        peer.send(&(head + &chunk(&event(1, "a")) + LAST_CHUNK))
            .await;
        assert!(client.receive().await.is_some());
        client.send(&get("once", "r2")).await;
        let request = peer.receive().await.expect("over the same connection");
        assert_eq!(request.header("request-id"), Some("r2"));
        peer.send(&target_response("200 OK", "r2", "", "two")).await;
        assert_eq!(client.receive().await.expect("a response").text(), "two");
    });
}

#[test]
fn a_reset_truncates_a_stream_that_is_not_resumable() {
    on_one_thread(async {
        for reset in [false, true] {
            let (target, other) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
            let fixture = ProxyFixture::with_targets(&[&target, &other]).await;
            let mut client = fixture.client().await;
            client.send(&get("stream", "r1")).await;
            let (mut peer, _) = target.accept_request().await;
            send_stream(&mut peer, "s", &[&event(1, "a")]).await;
            assert!(client.read_head().await.is_some());
            assert_eq!(
                client.read_chunk().await,
                Some(Some(event(1, "a").into_bytes()))
            );
            peer.send(&chunk("id: 2\ndata: ha")).await;
            if reset {
                peer.reset();
            } else {
                drop(peer);
            }
            assert_eq!(
                client.read_until_closed().await,
                b"",
                "neither half an event nor the end of the body"
            );
        }
    });
}

#[test]
fn a_reset_before_the_first_event_is_answered_with_502() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let request = get("stream", "r1");
        let serve = async {
            let (mut peer, _) = target.accept_request().await;
            send_stream(&mut peer, "s", &["id: 1\nda"]).await;
        };
        let (response, ()) = join!(fixture.send_request(&request), serve);
        let response = response.expect("a response");
        assert_eq!(
            (response.status(), response.header("upstream-signature")),
            (502, None)
        );
    });
}

#[test]
fn a_resumable_stream_continues_at_another_target() {
    on_one_thread(async {
        let (first, second) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
        let fixture = ProxyFixture::with_targets(&[&first, &second]).await;
        let request = get("resume", "r1");
        let serve = async {
            let (mut peer, request) = first.accept_request().await;
            assert_eq!(request.header("last-event-id"), None);
            send_stream(
                &mut peer,
                "one",
                &[&event(1, "a"), &event(2, "b"), "id: 3\nda"],
            )
            .await;
            drop(peer);
            let (mut peer, request) = second.accept_request().await;
            assert_eq!(request.header("last-event-id"), Some("2"));
            assert_eq!(request.header("expected-instance"), Some("t1"));
            send_stream(&mut peer, "two", &[&event(3, "c")]).await;
            peer.send(LAST_CHUNK).await;
            peer
        };
        let (response, _peer) = join!(fixture.send_request(&request), serve);
        let response = response.expect("a complete response");
        assert_eq!(
            response.text(),
            event(1, "a") + &event(2, "b") + &event(3, "c")
        );
        assert_eq!(response.header("upstream-signature"), Some("one"));
    });
}

#[test]
fn events_of_a_second_execution_from_the_start_are_not_relayed() {
    on_one_thread(async {
        let (first, second) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
        let fixture = ProxyFixture::with_targets(&[&first, &second]).await;
        let mut client = fixture.client().await;
        client.send(&get("resume", "r1")).await;
        let (mut peer, _) = first.accept_request().await;
        send_stream(&mut peer, "one", &[&event(1, "a")]).await;
        drop(peer);
        let (mut peer, _) = second.accept_request().await;
        send_stream(&mut peer, "two", &[&event(1, "a"), &event(2, "b")]).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(
            client.read_chunk().await,
            Some(Some(event(1, "a").into_bytes()))
        );
        assert_eq!(client.read_until_closed().await, b"");
    });
}

/// Guards against lost events: those that arrived together with an invalid one were not forwarded, but the
/// stream was resumed after them.
#[test]
fn events_that_arrive_with_an_invalid_one_are_relayed_before_the_stream_is_resumed() {
    let too_long = "x".repeat(MAX_EVENT_BYTES + 1);
    for invalid in [event(1, "a"), too_long] {
        on_one_thread(async {
            let (first, second) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
            let fixture = ProxyFixture::with_targets(&[&first, &second]).await;
            let request = get("resume", "r1");
            let valid = event(2, "b") + &event(3, "c");
            let serve = async {
                let (mut peer, _) = first.accept_request().await;
                let piece = format!("{valid}{invalid}");
                send_stream(&mut peer, "one", &[&event(1, "a"), &piece]).await;
                let (mut other, request) = second.accept_request().await;
                assert_eq!(request.header("last-event-id"), Some("3"));
                send_stream(&mut other, "two", &[&event(4, "d")]).await;
                other.send(LAST_CHUNK).await;
                (peer, other)
            };
            let (response, _peers) = join!(fixture.send_request(&request), serve);
            let response = response.expect("a complete response");
            assert_eq!(response.text(), event(1, "a") + &valid + &event(4, "d"));
        });
    }
}

#[test]
fn a_rejection_on_a_streaming_route_is_retried_at_another_target() {
    on_one_thread(async {
        let (full, free) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
        let fixture = ProxyFixture::with_targets(&[&full, &free]).await;
        let request = get("stream", "r1");
        let serve = async {
            let (mut peer, _) = full.accept_request().await;
            peer.send(&target_response(
                "503 Full",
                "r1",
                "Not-Executed: 1\r\n",
                "",
            ))
            .await;
            let (mut other, _) = free.accept_request().await;
            send_stream(&mut other, "s", &[&event(1, "a")]).await;
            other.send(LAST_CHUNK).await;
            (peer, other)
        };
        let (response, _peers) = join!(fixture.send_request(&request), serve);
        assert_eq!(response.expect("a response").text(), event(1, "a"));
    });
}

#[test]
fn a_client_disconnect_closes_the_connection_to_the_target() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut client = fixture.client().await;
        client.send(&get("stream", "r1")).await;
        let (mut peer, _) = target.accept_request().await;
        send_stream(&mut peer, "s", &[&event(1, "a")]).await;
        assert!(client.read_head().await.is_some());
        drop(client);
        assert_eq!(peer.read_until_closed().await, b"");
        fixture.proxy.lifecycle.work_finished().await;
    });
}

#[test]
fn a_client_disconnect_before_the_response_closes_the_connection_to_the_target() {
    on_one_thread(async {
        for route in ["stream", "once"] {
            let (target, fixture) = ProxyFixture::with_one_target().await;
            let mut client = fixture.client().await;
            client.send(&get(route, "r1")).await;
            let (mut peer, _) = target.accept_request().await;
            drop(client);
            assert_eq!(peer.read_until_closed().await, b"");
            fixture.proxy.lifecycle.work_finished().await;
        }
    });
}

#[test]
fn a_stream_resumed_by_the_client_repeats_no_event() {
    on_one_thread(async {
        let (first, second) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
        let fixture = ProxyFixture::with_targets(&[&first, &second]).await;
        let request = get("resume", "r1").replace("\r\n\r\n", "\r\nLast-Event-Id: 7\r\n\r\n");
        let serve = async {
            let (mut peer, request) = first.accept_request().await;
            assert_eq!(request.header("last-event-id"), Some("7"));
            send_stream(&mut peer, "one", &[&event(7, "again")]).await;
            let (mut other, request) = second.accept_request().await;
            assert_eq!(request.header("last-event-id"), Some("7"));
            send_stream(&mut other, "two", &[&event(8, "next")]).await;
            other.send(LAST_CHUNK).await;
            (peer, other)
        };
        let (response, _peers) = join!(fixture.send_request(&request), serve);
        let response = response.expect("a response");
        assert_eq!(
            (response.text(), response.header("upstream-signature")),
            (event(8, "next"), Some("two"))
        );
    });
}
