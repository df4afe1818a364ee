//! Tests of the limits on single requests and on the memory for all bodies.

mod support;

use support::fixture::{target_response, ProxyFixture};
use support::on_one_thread;
use tokio::join;

fn post(id: &str, body: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn requests_that_cannot_be_served_are_rejected_with_the_status_of_the_cause() {
    on_one_thread(async {
        let (_target, fixture) = ProxyFixture::with_one_target().await;
        let cases = [
            (
                "GET /none/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: r1\r\n\r\n".to_owned(),
                404,
            ),
            (
                "GET /once/x HTTP/1.1\r\nHost: other.example\r\nRequest-Id: r1\r\n\r\n".to_owned(),
                404,
            ),
            (
                "GET /once/x HTTP/1.1\r\nHost: host.example\r\n\r\n".to_owned(),
                400,
            ),
            (post("r1", &"x".repeat(100_001)), 413),
            (
                format!(
                    "GET /once/x HTTP/1.1\r\nHost: host.example\r\nA: {}\r\n\r\n",
                    "x".repeat(17_000)
                ),
                431,
            ),
        ];
        for (request, status) in cases {
            assert_eq!(
                fixture
                    .send_request(&request)
                    .await
                    .expect("a response")
                    .status(),
                status
            );
        }
    });
}

#[test]
fn bodies_beyond_the_memory_budget_are_rejected_and_memory_is_released() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let before = fixture.proxy.memory.free_bytes();
        let large = "x".repeat(90_000);
        let (one, two, three) = (post("r1", &large), post("r2", &large), post("r3", &large));
        let serve = async {
            let (mut first, _) = target.accept_request().await;
            let (mut second, _) = target.accept_request().await;
            // Both requests are in flight: there is no memory for a third.
            let rejected = fixture.send_request(&three).await.expect("a response");
            assert_eq!(rejected.status(), 503);
            assert!(rejected.header("retry-after").is_some());
            for peer in [&mut first, &mut second] {
                peer.send(&target_response("200 OK", "r1", "", "")).await;
            }
        };
        join!(
            fixture.send_request(&one),
            fixture.send_request(&two),
            serve
        );
        assert_eq!(fixture.proxy.memory.free_bytes(), before);
    });
}
