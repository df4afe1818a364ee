//! Tests of requests with buffered responses, with targets that have every kind of fault.

mod support;

use support::fixture::{get, target_response, ProxyFixture};
use support::on_one_thread;
use support::peer::ScriptedTarget;
use tokio::join;
use tokio::time::Instant;

#[test]
fn request_and_response_are_forwarded_unchanged() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let request = "POST /once/a%20b/?q=%2F HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r1\r\n\
             Deadline-Ms: 9000\r\nX-Own: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\nTransfer-Encoding: chunked\r\n\r\n\
             3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let serve = async {
            let (mut peer, request) = target.accept_request().await;
            assert!(request
                .head
                .starts_with("POST /once/a%20b/?q=%2F HTTP/1.1\r\n"));
            assert_eq!(request.text(), "abcde");
            assert_eq!(request.header("expected-instance"), Some("t0"));
            assert_eq!(request.header("request-id"), Some("r1"));
            assert_eq!(request.header("x-own"), Some("1"));
            assert_eq!(request.header("x-hop"), None);
            let left: u64 = request.header("deadline-ms").unwrap().parse().unwrap();
            assert!((1..=9000).contains(&left));
            peer.send(&target_response(
                "201 Created",
                "r1",
                "X-Target: 7\r\nKeep-Alive: timeout=9\r\n",
                "body",
            ))
            .await;
            peer
        };
        let (response, _peer) = join!(fixture.send_request(request), serve);
        let response = response.expect("a response");
        assert_eq!((response.status(), response.text().as_str()), (201, "body"));
        assert_eq!(response.header("upstream-signature"), Some("stamp-r1"));
        assert_eq!(response.header("x-target"), Some("7"));
        assert_eq!(response.header("keep-alive"), None);
    });
}

#[test]
fn an_error_response_from_a_target_is_forwarded_unchanged() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let serve = async {
            let (mut peer, _) = target.accept_request().await;
            peer.send(&target_response(
                "500 Internal Server Error",
                "r1",
                "",
                "broken",
            ))
            .await;
            peer
        };
        let request = get("once", "r1");
        let (response, _peer) = join!(fixture.send_request(&request), serve);
        let response = response.expect("a response");
        assert_eq!(
            (response.status(), response.text().as_str()),
            (500, "broken")
        );
        assert_eq!(response.header("upstream-signature"), Some("stamp-r1"));
    });
}

/// Returns the response to a request whose first target sends `first` and then closes or resets the
/// connection, and whose second target succeeds.
async fn response_after_fault(
    first: &'static str,
    reset: bool,
    route: &str,
) -> support::peer::Message {
    let (bad, good) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
    let fixture = ProxyFixture::with_targets(&[&bad, &good]).await;
    let faulty = async {
        let (mut peer, _) = bad.accept_request().await;
        peer.send(first).await;
        if reset {
            peer.reset();
        }
    };
    let healthy = async {
        let (mut peer, _) = good.accept_request().await;
        peer.send(&target_response("200 OK", "r1", "", "good"))
            .await;
        peer
    };
    let request = get(route, "r1");
    let exchange = async {
        tokio::select! {
            response = fixture.send_request(&request) => response.expect("a response"),
            _ = async { join!(faulty, healthy); std::future::pending::<()>().await } => unreachable!(),
        }
    };
    exchange.await
}

/// Target responses that do not show whether the request was executed; `true` if the connection is
/// then reset.
const FAULTS: [(&str, bool); 9] = [
    ("HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\nContent-Length: 0\r\n\r\n", false),
    ("", false),
    ("", true),
    ("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUps", false),
    ("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\nContent-Length: 9\r\n\r\nhalf", false),
    ("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\nContent-Length: 9\r\n\r\nhalf", true),
    ("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nUpstream-Signature: s\r\nContent-Length: 2\r\n\r\nno", false),
    ("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno", false),
    ("these bytes form no answer\r\n\r\n", false),
];

#[test]
fn a_non_idempotent_request_that_may_have_executed_is_not_retried() {
    on_one_thread(async {
        for (first, reset) in FAULTS {
            let response = response_after_fault(first, reset, "once").await;
            assert_eq!(
                (response.status(), response.text().as_str()),
                (502, ""),
                "{first:?}"
            );
            assert_eq!(response.header("upstream-signature"), None);
        }
    });
}

#[test]
fn an_idempotent_request_that_may_have_executed_is_retried() {
    on_one_thread(async {
        for (first, reset) in FAULTS {
            let response = response_after_fault(first, reset, "again").await;
            assert_eq!(
                (response.status(), response.text().as_str()),
                (200, "good"),
                "{first:?}"
            );
        }
    });
}

#[test]
fn a_request_not_executed_is_retried_at_another_target() {
    on_one_thread(async {
        let rejections = [
            "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
        ];
        for first in rejections {
            let response = response_after_fault(first, false, "once").await;
            assert_eq!(
                (response.status(), response.text().as_str()),
                (200, "good"),
                "{first:?}"
            );
        }
    });
}

#[test]
fn a_request_that_no_target_executed_is_rejected_with_retry_after() {
    on_one_thread(async {
        let gone = ScriptedTarget::start().await;
        let fixture = ProxyFixture::with_targets(&[&gone]).await;
        drop(gone);
        let response = fixture
            .send_request(&get("once", "r1"))
            .await
            .expect("a response");
        assert_eq!(
            (response.status(), response.header("retry-after")),
            (503, Some("0.200"))
        );
        assert_eq!(response.header("request-id"), Some("r1"));
    });
}

#[test]
fn surplus_bytes_after_a_complete_response_are_not_forwarded() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let (first, second) = (get("once", "r1"), get("once", "r2"));
        let serve = async {
            let (mut peer, _) = target.accept_request().await;
            let surplus = target_response("200 OK", "r0", "", "surplus");
            let complete = target_response("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one");
            peer.send(&(complete + &surplus)).await;
            let (mut next, request) = target.accept_request().await;
            assert_eq!(request.header("request-id"), Some("r2"));
            next.send(&target_response("200 OK", "r2", "", "two")).await;
            (peer, next)
        };
        let ask = async {
            fixture.expect_body(&first, "one").await;
            fixture.expect_body(&second, "two").await;
        };
        join!(ask, serve);
    });
}

#[test]
fn a_late_response_to_an_earlier_request_is_not_forwarded() {
    on_one_thread(async {
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
            let request = peer.receive().await.expect("over the same connection");
            assert_eq!(request.header("request-id"), Some("r2"));
            peer.send(&target_response("200 OK", "r1", "", "late"))
                .await;
            peer
        };
        let ask = async {
            fixture.expect_body(&first, "one").await;
            assert_eq!(
                fixture
                    .send_request(&second)
                    .await
                    .expect("a response")
                    .status(),
                502
            );
        };
        join!(ask, serve);
    });
}

#[test]
fn an_idle_connection_closed_by_the_target_fails_no_request() {
    on_one_thread(async {
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
            let (mut next, _) = target.accept_request().await;
            next.send(&target_response("200 OK", "r2", "", "two")).await;
            next
        };
        let ask = async {
            fixture.expect_body(&first, "one").await;
            while fixture
                .proxy
                .target_client
                .pool
                .usable_idle_count(Instant::now())
                > 0
            {
                tokio::task::yield_now().await;
            }
            fixture.expect_body(&second, "two").await;
        };
        join!(ask, serve);
    });
}
