//! Requests whose answers are passed on whole, before targets with every kind of fault.

mod support;

use support::on_one_thread;
use support::peer::Listening;
use support::world::{answer, get, World};
use tokio::join;
use tokio::time::Instant;

#[test]
fn request_and_answer_pass_unchanged() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let request = "POST /once/a%20b/?q=%2F HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r1\r\n\
             Deadline-Ms: 9000\r\nX-Own: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\nTransfer-Encoding: chunked\r\n\r\n\
             3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        let serve = async {
            let (mut peer, request) = target.request().await;
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
            peer.send(&answer(
                "201 Created",
                "r1",
                "X-Target: 7\r\nKeep-Alive: timeout=9\r\n",
                "body",
            ))
            .await;
            peer
        };
        let (got, _peer) = join!(world.ask(request), serve);
        let got = got.expect("an answer");
        assert_eq!((got.status(), got.text().as_str()), (201, "body"));
        assert_eq!(got.header("upstream-signature"), Some("stamp-r1"));
        assert_eq!(got.header("x-target"), Some("7"));
        assert_eq!(got.header("keep-alive"), None);
    });
}

#[test]
fn a_target_failure_passes_unchanged() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let serve = async {
            let (mut peer, _) = target.request().await;
            peer.send(&answer("500 Internal Server Error", "r1", "", "broken"))
                .await;
            peer
        };
        let request = get("once", "r1");
        let (got, _peer) = join!(world.ask(&request), serve);
        let got = got.expect("an answer");
        assert_eq!((got.status(), got.text().as_str()), (500, "broken"));
        assert_eq!(got.header("upstream-signature"), Some("stamp-r1"));
    });
}

/// What a target does with the first request that it reads.
async fn first_answer_is(first: &'static str, reset: bool, route: &str) -> support::peer::Message {
    let (bad, good) = (Listening::start().await, Listening::start().await);
    let world = World::with_targets(&[&bad, &good]).await;
    let trouble = async {
        let (mut peer, _) = bad.request().await;
        peer.send(first).await;
        if reset {
            peer.reset();
        }
    };
    let help = async {
        let (mut peer, _) = good.request().await;
        peer.send(&answer("200 OK", "r1", "", "good")).await;
        peer
    };
    let request = get(route, "r1");
    let answered = async {
        tokio::select! {
            got = world.ask(&request) => got.expect("an answer"),
            _ = async { join!(trouble, help); std::future::pending::<()>().await } => unreachable!(),
        }
    };
    answered.await
}

/// Everything that says nothing of whether the request has run.
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
            let got = first_answer_is(first, reset, "once").await;
            assert_eq!((got.status(), got.text().as_str()), (502, ""), "{first:?}");
            assert_eq!(got.header("upstream-signature"), None);
        }
    });
}

#[test]
fn an_idempotent_request_that_may_have_executed_is_retried() {
    on_one_thread(async {
        for (first, reset) in FAULTS {
            let got = first_answer_is(first, reset, "again").await;
            assert_eq!(
                (got.status(), got.text().as_str()),
                (200, "good"),
                "{first:?}"
            );
        }
    });
}

#[test]
fn a_request_not_executed_is_retried_at_another_target() {
    on_one_thread(async {
        let refusals = [
            "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
        ];
        for first in refusals {
            let got = first_answer_is(first, false, "once").await;
            assert_eq!(
                (got.status(), got.text().as_str()),
                (200, "good"),
                "{first:?}"
            );
        }
    });
}

#[test]
fn a_request_that_no_target_executed_is_rejected_with_retry_after() {
    on_one_thread(async {
        let gone = Listening::start().await;
        let world = World::with_targets(&[&gone]).await;
        drop(gone);
        let got = world.ask(&get("once", "r1")).await.expect("an answer");
        assert_eq!(
            (got.status(), got.header("retry-after")),
            (503, Some("0.200"))
        );
        assert_eq!(got.header("request-id"), Some("r1"));
    });
}

#[test]
fn bytes_after_a_complete_answer_belong_to_no_request() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (first, second) = (get("once", "r1"), get("once", "r2"));
        let serve = async {
            let (mut peer, _) = target.request().await;
            let surplus = answer("200 OK", "r0", "", "surplus");
            let whole = answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one");
            peer.send(&(whole + &surplus)).await;
            let (mut next, request) = target.request().await;
            assert_eq!(request.header("request-id"), Some("r2"));
            next.send(&answer("200 OK", "r2", "", "two")).await;
            (peer, next)
        };
        let ask = async {
            world.ask_text(&first, "one").await;
            world.ask_text(&second, "two").await;
        };
        join!(ask, serve);
    });
}

#[test]
fn a_late_answer_to_an_earlier_request_is_not_passed_on() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (first, second) = (get("once", "r1"), get("once", "r2"));
        let serve = async {
            let (mut peer, _) = target.request().await;
            peer.send(&answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one"))
                .await;
            let request = peer.receive().await.expect("over the same connection");
            assert_eq!(request.header("request-id"), Some("r2"));
            peer.send(&answer("200 OK", "r1", "", "late")).await;
            peer
        };
        let ask = async {
            world.ask_text(&first, "one").await;
            assert_eq!(world.ask(&second).await.expect("an answer").status(), 502);
        };
        join!(ask, serve);
    });
}

#[test]
fn an_idle_connection_closed_by_the_target_fails_no_request() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (first, second) = (get("once", "r1"), get("once", "r2"));
        let serve = async {
            let (mut peer, _) = target.request().await;
            peer.send(&answer("200 OK", "r1", "Keep-Alive: timeout=9\r\n", "one"))
                .await;
            drop(peer);
            let (mut next, _) = target.request().await;
            next.send(&answer("200 OK", "r2", "", "two")).await;
            next
        };
        let ask = async {
            world.ask_text(&first, "one").await;
            while world.proxy.target_client.pool.usable(Instant::now()) > 0 {
                tokio::task::yield_now().await;
            }
            world.ask_text(&second, "two").await;
        };
        join!(ask, serve);
    });
}
