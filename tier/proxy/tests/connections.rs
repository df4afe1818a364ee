//! ConnectionPolicy to targets that are used again: which answer belongs to which request, and what
//! may have run.

mod support;

use support::on_one_thread;
use support::peer::Listening;
use support::world::{answer, get, World};
use tokio::join;

/// A target that is full turns r1 away and keeps the connection.
const REJECTED: &str =
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nKeep-Alive: timeout=9\r\n\
     Content-Length: 0\r\n\r\n";

/// A request with a body that no system takes in whole unless the target reads it.
fn long(id: &str) -> String {
    let head = get("once", id)
        .replace("GET", "POST")
        .replace("\r\n\r\n", "");
    format!(
        "{head}\r\nContent-Length: 90000\r\n\r\n{}",
        "b".repeat(90_000)
    )
}

/// Guards a target that turns a long request away before it has read it, and keeps the connection:
/// the next request went out behind the unread body and came to a 502, though nobody had read it.
#[test]
fn a_connection_whose_request_body_may_be_unread_is_not_reused() {
    on_one_thread(async {
        let target = Listening::with_small_buffers().await;
        let world = World::with_targets(&[&target]).await;
        let (first, second) = (long("r1"), get("once", "r2"));
        let serve = async {
            let mut early = target.accept().await;
            assert!(early.head().await.is_some());
            early.send(REJECTED).await;
            // The same request comes anew, whole, and its connection is used again.
            let (mut next, request) = target.request().await;
            assert_eq!(
                (request.header("request-id"), request.body.len()),
                (Some("r1"), 90_000)
            );
            next.send(&answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one"))
                .await;
            let request = next.receive().await.expect("over the same connection");
            assert_eq!(request.header("request-id"), Some("r2"));
            next.send(&answer("200 OK", "r2", "", "two")).await;
            // What is left of the first connection is the rest of the first body.
            let rest = early.closed().await;
            assert!(
                rest.len() <= 90_000 && rest.iter().all(|byte| *byte == b'b'),
                "{} bytes",
                rest.len()
            );
        };
        let ask = async {
            world.ask_text(&first, "one").await;
            world.ask_text(&second, "two").await;
        };
        join!(ask, serve);
    });
}

/// A refusal of a short request costs no connection.
#[test]
fn a_rejected_short_request_leaves_its_connection_reusable() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let request = get("once", "r1");
        let serve = async {
            let (mut peer, _) = target.request().await;
            peer.send(REJECTED).await;
            assert!(peer.receive().await.is_some(), "over the same connection");
            peer.send(&answer("200 OK", "r1", "", "one")).await;
        };
        let ask = async { world.ask_text(&request, "one").await };
        join!(ask, serve);
    });
}

#[test]
fn an_answer_without_a_length_is_complete_if_its_connection_ends_in_order() {
    on_one_thread(async {
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n\r\n";
        for (is_reset, status, body) in [(false, 200, "all of it"), (true, 502, "")] {
            let (target, world) = World::with_one_target().await;
            let request = get("once", "r1");
            let serve = async {
                let (mut peer, _) = target.request().await;
                peer.send(&format!("{head}all of it")).await;
                if is_reset {
                    // The bytes are read before the reset is met.
                    tokio::task::yield_now().await;
                    peer.reset();
                }
            };
            let (got, ()) = join!(world.ask(&request), serve);
            let got = got.expect("an answer");
            assert_eq!(
                (got.status(), got.text().as_str()),
                (status, body),
                "reset {is_reset}"
            );
            assert_eq!(got.header("upstream-signature").is_some(), status == 200);
        }
    });
}

/// Both ends close at the same moment, again and again: no request is eaten, and none is sent
/// twice.
#[test]
fn a_close_while_idle_that_crosses_a_request_is_no_reset_of_a_new_connection() {
    on_one_thread(async {
        for _ in 0..20 {
            let (target, world) = World::with_one_target().await;
            let (first, second) = (get("once", "r1"), get("once", "r2"));
            let serve = async {
                let (mut peer, _) = target.request().await;
                peer.send(&answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one"))
                    .await;
                drop(peer);
                // Either the close was seen, and a new connection comes, or the request met it and
                // may have run.
                tokio::select! {
                    (mut next, request) = target.request() => {
                        assert_eq!(request.header("request-id"), Some("r2"));
                        next.send(&answer("200 OK", "r2", "", "two")).await;
                        std::future::pending::<()>().await;
                    }
                    () = std::future::pending() => {}
                }
            };
            let ask = async {
                world.ask_text(&first, "one").await;
                let got = world.ask(&second).await.expect("an answer");
                assert!(matches!(
                    (got.status(), got.text().as_str()),
                    (200, "two") | (502, "")
                ));
            };
            tokio::select! {
                () = ask => {}
                () = serve => unreachable!(),
            }
        }
    });
}
