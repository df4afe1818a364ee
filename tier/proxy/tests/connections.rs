//! Tests of reused connections to targets: which response belongs to which request, and what may
//! have been executed.

mod support;

use support::fixture::{get, target_response, ProxyFixture};
use support::on_one_thread;
use support::peer::ScriptedTarget;
use tokio::join;

/// The response of a target that is full, rejects r1 and keeps the connection open.
const REJECTED: &str =
    "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nKeep-Alive: timeout=9\r\n\
     Content-Length: 0\r\n\r\n";

/// A request with a body that does not fit into the socket buffers unless the target reads it.
fn long_request(id: &str) -> String {
    let head = get("once", id)
        .replace("GET", "POST")
        .replace("\r\n\r\n", "");
    format!(
        "{head}\r\nContent-Length: 90000\r\n\r\n{}",
        "b".repeat(90_000)
    )
}

/// Guards against reuse of a connection on which the target rejected a long request before reading
/// all of it: the next request was sent behind the unread body and failed with 502, although no
/// target had read it.
#[test]
fn a_connection_whose_request_body_may_be_unread_is_not_reused() {
    on_one_thread(async {
        let target = ScriptedTarget::with_small_buffers().await;
        let fixture = ProxyFixture::with_targets(&[&target]).await;
        let (first, second) = (long_request("r1"), get("once", "r2"));
        let serve = async {
            let mut early = target.accept().await;
            assert!(early.read_head().await.is_some());
            early.send(REJECTED).await;
            // The same request arrives again, completely, and its connection is reused.
            let (mut next, request) = target.accept_request().await;
            assert_eq!(
                (request.header("request-id"), request.body.len()),
                (Some("r1"), 90_000)
            );
            next.send(&target_response(
                "200 OK",
                "r1",
                "Keep-Alive: timeout=9\r\n",
                "one",
            ))
            .await;
            let request = next.receive().await.expect("over the same connection");
            assert_eq!(request.header("request-id"), Some("r2"));
            next.send(&target_response("200 OK", "r2", "", "two")).await;
            // Only remaining bytes of the first body arrive on the first connection.
            let rest = early.read_until_closed().await;
            assert!(
                rest.len() <= 90_000 && rest.iter().all(|byte| *byte == b'b'),
                "{} bytes",
                rest.len()
            );
        };
        let ask = async {
            fixture.expect_body(&first, "one").await;
            fixture.expect_body(&second, "two").await;
        };
        join!(ask, serve);
    });
}

/// The rejection of a short request does not close its connection.
#[test]
fn a_rejected_short_request_leaves_its_connection_reusable() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let request = get("once", "r1");
        let serve = async {
            let (mut peer, _) = target.accept_request().await;
            peer.send(REJECTED).await;
            assert!(peer.receive().await.is_some(), "over the same connection");
            peer.send(&target_response("200 OK", "r1", "", "one")).await;
        };
        let ask = async { fixture.expect_body(&request, "one").await };
        join!(ask, serve);
    });
}

#[test]
fn a_response_without_a_length_is_complete_if_its_connection_closes_normally() {
    on_one_thread(async {
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n\r\n";
        for (is_reset, status, body) in [(false, 200, "all of it"), (true, 502, "")] {
            let (target, fixture) = ProxyFixture::with_one_target().await;
            let request = get("once", "r1");
            let serve = async {
                let (mut peer, _) = target.accept_request().await;
                peer.send(&format!("{head}all of it")).await;
                if is_reset {
                    // Lets the proxy read the bytes before the reset.
                    tokio::task::yield_now().await;
                    peer.reset();
                }
            };
            let (response, ()) = join!(fixture.send_request(&request), serve);
            let response = response.expect("a response");
            assert_eq!(
                (response.status(), response.text().as_str()),
                (status, body),
                "reset {is_reset}"
            );
            assert_eq!(
                response.header("upstream-signature").is_some(),
                status == 200
            );
        }
    });
}

/// The target closes an idle connection while the proxy sends the next request over it, repeatedly:
/// no request is lost, and none is sent twice.
#[test]
fn a_request_that_races_with_an_idle_close_gets_one_response() {
    on_one_thread(async {
        for _ in 0..20 {
            let (target, fixture) = ProxyFixture::with_one_target().await;
            let (first, second) = (get("once", "r1"), get("once", "r2"));
            let serve = async {
                let (mut peer, _) = target.accept_request().await;
                peer.send(&target_response(
                    "200 OK",
                    "r1",
                    "Keep-Alive: timeout=9\r\n",
                    "one",
                ))
                .await;
                drop(peer);
                // Either the proxy detects the close and opens a new connection, or the request
                // races with the close and may have been executed.
                tokio::select! {
                    (mut next, request) = target.accept_request() => {
                        assert_eq!(request.header("request-id"), Some("r2"));
                        next.send(&target_response("200 OK", "r2", "", "two")).await;
                        std::future::pending::<()>().await;
                    }
                    () = std::future::pending() => {}
                }
            };
            let ask = async {
                fixture.expect_body(&first, "one").await;
                let response = fixture.send_request(&second).await.expect("a response");
                assert!(matches!(
                    (response.status(), response.text().as_str()),
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
