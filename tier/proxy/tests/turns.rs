//! Turns of programs: budgets, what is kept, and what the target is given.

mod support;

use std::sync::Arc;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnLocation};
use plankhill_store_client::BeginOutcome;
use support::on_one_thread;
use support::peer::Listening;
use support::world::{chunk, event, stream_head, turn, World, LAST_CHUNK};
use tokio::join;

/// A whole stream of two events.
fn two_events() -> String {
    stream_head("r1", "s") + &chunk(&(event(1, "a") + &event(2, "b"))) + LAST_CHUNK
}

#[test]
fn a_turn_reserves_tokens_before_it_is_sent_and_settles_them_after() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let request = turn("stream", "r1", "", "in");
        let serve = async {
            let (mut peer, request) = target.request().await;
            assert_eq!(world.stores.begun.borrow().len(), 1);
            assert_eq!(request.text(), "in");
            peer.send(&two_events()).await;
            peer
        };
        let (got, _peer) = join!(world.ask(&request), serve);
        assert_eq!(got.expect("an answer").status(), 200);
        let begun = world.stores.begun.borrow()[0].clone();
        assert_eq!(
            begun.reservation,
            Some(Reservation {
                budget: 100,
                max_tokens: 33
            })
        );
        let end = world.stores.first_end().await;
        assert_eq!(end.tokens, Some(6));
        assert!(end.record.is_none());
    });
}

#[test]
fn a_retained_turn_gets_its_history_and_ends_after_it_is_stored() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let place = TurnLocation {
            turn: RequestId::from("r0"),
            program: ProgramId::from("parent"),
        };
        let history = Arc::from(&b"first in;first out\n"[..]);
        let begun = BeginOutcome::Begun {
            history,
            previous: Some(place.clone()),
        };
        *world.stores.next_begin.borrow_mut() = Some(begun);
        let request = turn("kept", "r1", "Previous: r0\r\n", "new in");
        let serve = async {
            let (mut peer, request) = target.request().await;
            assert_eq!(request.text(), "first in;first out\nnew in");
            assert_eq!(request.header("previous"), Some("r0"));
            peer.send(&two_events()).await;
            peer
        };
        let (got, _peer) = join!(world.ask(&request), serve);
        assert!(got.is_some(), "whole");
        let end = world.stores.ended.borrow()[0].clone();
        let record = end.record.expect("kept before the end of the answer");
        assert_eq!(
            (&*record.input, &*record.output),
            (&b"new in"[..], &b"a\nb\n"[..])
        );
        assert_eq!(
            (record.previous, record.retention_ms),
            (Some(place), 60_000)
        );
        assert_eq!(end.tokens, Some(6));
    });
}

#[test]
fn a_retained_turn_that_cannot_be_stored_is_truncated() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        world.stores.refuse_ends.set(true);
        let request = turn("kept", "r1", "", "in");
        let serve = async {
            let (mut peer, _) = target.request().await;
            peer.send(&two_events()).await;
            peer
        };
        let (got, _peer) = join!(world.ask(&request), serve);
        assert_eq!(got, None, "the answer has no end");
    });
}

#[test]
fn a_turn_that_the_stores_reject_is_not_sent() {
    on_one_thread(async {
        let (_target, world) = World::with_one_target().await;
        let refusals = [
            (BeginOutcome::BudgetExhausted, 402),
            (BeginOutcome::NoSuchTurn, 404),
            (BeginOutcome::Unavailable, 503),
        ];
        for (outcome, status) in refusals {
            *world.stores.next_begin.borrow_mut() = Some(outcome);
            let request = turn("kept", "r1", "Previous: r0\r\n", "in");
            let got = world.ask(&request).await.expect("an answer");
            assert_eq!(got.status(), status);
            assert_eq!(got.header("retry-after").is_some(), status == 503);
        }
    });
}

#[test]
fn a_turn_not_executed_is_settled_with_no_tokens() {
    on_one_thread(async {
        let gone = Listening::start().await;
        let world = World::with_targets(&[&gone]).await;
        drop(gone);
        let got = world
            .ask(&turn("stream", "r1", "", "in"))
            .await
            .expect("an answer");
        assert_eq!(got.status(), 503);
        assert_eq!(world.stores.first_end().await.tokens, Some(0));
    });
}

#[test]
fn a_truncated_turn_is_settled_by_its_delivered_events_and_not_stored() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let mut client = world.client().await;
        client.send(&turn("kept", "r1", "", "in")).await;
        let (mut peer, _) = target.request().await;
        peer.send(&(stream_head("r1", "s") + &chunk(&event(1, "a")) + &chunk("id: 2\ndat")))
            .await;
        drop(peer);
        let end = world.stores.first_end().await;
        assert_eq!(end.tokens, Some(3));
        assert!(end.record.is_none());
    });
}

#[test]
fn a_turn_whose_client_disconnected_is_settled_by_its_delivered_events() {
    on_one_thread(async {
        let (target, world) = World::with_one_target().await;
        let (client, mut peer) = world
            .begin_stream(&target, &turn("kept", "r1", "", "in"))
            .await;
        drop(client);
        let end = world.stores.first_end().await;
        assert_eq!(end.tokens, Some(3));
        assert!(end.record.is_none());
        assert_eq!(peer.closed().await, b"");
    });
}
