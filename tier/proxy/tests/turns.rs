//! Tests of the turns of programs: budgets, stored records, and the input sent to the target.

mod support;

use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnLocation};
use plankhill_store_client::BeginOutcome;
use support::fixture::{chunk, event, stream_head, turn, ProxyFixture, LAST_CHUNK};
use support::on_one_thread;
use support::peer::ScriptedTarget;
use tokio::join;
use tokio::time::timeout;

/// The deadline that the clients of the fixture state.
const DEADLINE: Duration = Duration::from_secs(9);
/// Time within which a turn that does not run must be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A complete stream of two events.
fn two_events() -> String {
    stream_head("r1", "s") + &chunk(&(event(1, "a") + &event(2, "b"))) + LAST_CHUNK
}

#[test]
fn a_turn_reserves_tokens_before_it_is_sent_and_settles_them_after() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let request = turn("stream", "r1", "", "in");
        let serve = async {
            let (mut peer, request) = target.accept_request().await;
            assert_eq!(fixture.stores.begun.borrow().len(), 1);
            assert_eq!(request.text(), "in");
            peer.send(&two_events()).await;
            peer
        };
        let (response, _peer) = join!(fixture.send_request(&request), serve);
        assert_eq!(response.expect("a response").status(), 200);
        let begun = fixture.stores.begun.borrow()[0].clone();
        assert_eq!(
            begun.reservation,
            Some(Reservation {
                budget: 100,
                max_tokens: 33
            })
        );
        let end = fixture.stores.first_end().await;
        assert_eq!(end.tokens, Some(6));
        assert!(end.record.is_none());
    });
}

#[test]
fn a_retained_turn_gets_its_history_and_ends_after_it_is_stored() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let location = TurnLocation {
            turn: RequestId::from("r0"),
            program: ProgramId::from("parent"),
        };
        let history = Arc::from(&b"first in;first out\n"[..]);
        let begun = BeginOutcome::Begun {
            history,
            previous: Some(location.clone()),
        };
        *fixture.stores.next_begin.borrow_mut() = Some(begun);
        let request = turn("kept", "r1", "Previous: r0\r\n", "new in");
        let serve = async {
            let (mut peer, request) = target.accept_request().await;
            assert_eq!(request.text(), "first in;first out\nnew in");
            assert_eq!(request.header("previous"), Some("r0"));
            peer.send(&two_events()).await;
            peer
        };
        let (response, _peer) = join!(fixture.send_request(&request), serve);
        assert!(response.is_some(), "the response is complete");
        let end = fixture.stores.ended.borrow()[0].clone();
        let record = end.record.expect("stored before the end of the response");
        assert_eq!(
            (&*record.input, &*record.output),
            (&b"new in"[..], &b"a\nb\n"[..])
        );
        assert_eq!(
            (record.previous, record.retention_ms),
            (Some(location), 60_000)
        );
        assert_eq!(end.tokens, Some(6));
    });
}

/// Guards against a chain that expires while a long turn continues it: the stores retain it by the lifetime
/// that the proxy sends.
#[test]
fn a_retained_turn_begins_with_its_lifetime() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        for (route, is_retained) in [("kept", true), ("stream", false)] {
            let request = turn(route, "r1", "", "in");
            let serve = async {
                let (mut peer, _) = target.accept_request().await;
                peer.send(&two_events()).await;
                peer
            };
            let (response, _peer) = join!(fixture.send_request(&request), serve);
            assert!(response.is_some(), "the response is complete");
            let begun = fixture.stores.begun.borrow_mut().pop().expect("a begin");
            assert_eq!(begun.lifetime.is_some(), is_retained, "{route}");
            if let Some(lifetime) = begun.lifetime {
                assert_eq!(lifetime.retention_ms, 60_000);
                let timeout = Duration::from_millis(lifetime.timeout_ms);
                assert!(timeout > DEADLINE / 2 && timeout <= DEADLINE, "{timeout:?}");
            }
        }
    });
}

#[test]
fn a_retained_turn_that_cannot_be_stored_is_truncated() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        fixture.stores.fail_ends.set(true);
        let request = turn("kept", "r1", "", "in");
        let serve = async {
            let (mut peer, _) = target.accept_request().await;
            peer.send(&two_events()).await;
            peer
        };
        let (response, _peer) = join!(fixture.send_request(&request), serve);
        assert_eq!(response, None, "the response has no end");
    });
}

#[test]
fn a_turn_that_the_stores_reject_is_not_sent() {
    on_one_thread(async {
        let (_target, fixture) = ProxyFixture::with_one_target().await;
        let rejections = [
            (BeginOutcome::BudgetExhausted, 402),
            (BeginOutcome::NoSuchTurn, 404),
            (BeginOutcome::Unavailable, 503),
        ];
        for (outcome, status) in rejections {
            *fixture.stores.next_begin.borrow_mut() = Some(outcome);
            let request = turn("kept", "r1", "Previous: r0\r\n", "in");
            let response = fixture.send_request(&request).await.expect("a response");
            assert_eq!(response.status(), status);
            assert_eq!(response.header("retry-after").is_some(), status == 503);
        }
    });
}

/// Guards against tokens that stay reserved for a turn that never runs: stores release no reservation by
/// themselves, because only the proxy knows whether a turn runs.
#[test]
fn a_turn_that_the_stores_reject_is_settled_with_no_tokens() {
    let rejections = [
        BeginOutcome::BudgetExhausted,
        BeginOutcome::NoSuchTurn,
        BeginOutcome::Unavailable,
    ];
    for outcome in rejections {
        on_one_thread(async {
            let (_target, fixture) = ProxyFixture::with_one_target().await;
            *fixture.stores.next_begin.borrow_mut() = Some(outcome);
            let request = turn("kept", "r1", "Previous: r0\r\n", "in");
            fixture.send_request(&request).await.expect("a response");
            let end = timeout(SETTLE_TIMEOUT, fixture.stores.first_end()).await;
            let end = end.expect("the turn is settled");
            assert_eq!(end.turn, RequestId::from("r1"));
            assert_eq!(end.tokens, Some(0));
            assert!(end.record.is_none());
        });
    }
}

#[test]
fn a_turn_not_executed_is_settled_with_no_tokens() {
    on_one_thread(async {
        let gone = ScriptedTarget::start().await;
        let fixture = ProxyFixture::with_targets(&[&gone]).await;
        drop(gone);
        let response = fixture
            .send_request(&turn("stream", "r1", "", "in"))
            .await
            .expect("a response");
        assert_eq!(response.status(), 503);
        assert_eq!(fixture.stores.first_end().await.tokens, Some(0));
    });
}

#[test]
fn a_truncated_turn_is_settled_by_its_delivered_events_and_not_stored() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let mut client = fixture.client().await;
        client.send(&turn("kept", "r1", "", "in")).await;
        let (mut peer, _) = target.accept_request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a")) + &chunk("id: 2\ndat")))
            .await;
        drop(peer);
        let end = fixture.stores.first_end().await;
        assert_eq!(end.tokens, Some(3));
        assert!(end.record.is_none());
    });
}

#[test]
fn a_turn_whose_client_disconnected_is_settled_by_its_delivered_events() {
    on_one_thread(async {
        let (target, fixture) = ProxyFixture::with_one_target().await;
        let (client, mut peer) = fixture
            .begin_stream(&target, &turn("kept", "r1", "", "in"))
            .await;
        drop(client);
        let end = fixture.stores.first_end().await;
        assert_eq!(end.tokens, Some(3));
        assert!(end.record.is_none());
        assert_eq!(peer.read_until_closed().await, b"");
    });
}
