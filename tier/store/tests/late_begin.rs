//! Tests that a store that executes a call late does not change the outcome of a turn that another store
//! has decided in the meantime.

mod simulation;

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use simulation::{milliseconds, run, store, SeededBug, World};

const SEEDS: u64 = 20;
const BUDGET: u64 = 100;
/// Tokens of one turn: two turns do not fit into the budget.
const MAX_TOKENS: u64 = 60;
/// Time within which the stores have finished all work in the background.
const BACKGROUND_WORK: Duration = Duration::from_secs(1);

async fn start_world(seed: u64) -> Rc<World> {
    println!("seed {seed}");
    let world = World::new(seed, 3, 1, SeededBug::None);
    tokio::task::spawn_local(world.clone().run_control_plane());
    tokio::time::sleep(milliseconds(500)).await;
    world
}

async fn begin(world: &Rc<World>, at: u64, turn: &str, previous: Option<&str>) -> StoreReply {
    let begin = StoreCall::BeginTurn {
        epoch: StoreEpoch(1),
        program: ProgramId::from("program"),
        turn: RequestId::from(turn),
        reservation: Some(Reservation {
            budget: BUDGET,
            max_tokens: MAX_TOKENS,
        }),
        previous: previous.map(RequestId::from),
        lifetime: None,
    };
    world.call_as_proxy(&store(at), begin).await
}

async fn end(world: &Rc<World>, at: u64, turn: &str, tokens: u64) {
    let end = StoreCall::EndTurn {
        epoch: StoreEpoch(1),
        program: ProgramId::from("program"),
        turn: RequestId::from(turn),
        tokens: Some(tokens),
        record: None,
    };
    let reply = world.call_as_proxy(&store(at), end).await;
    assert_eq!(reply, StoreReply::Ended);
}

/// Reserves a turn's tokens at all stores without a decision, as a store does that is about to reject the
/// turn.
async fn reserve_without_decision(world: &Rc<World>, turn: &str) {
    for at in 0..3 {
        let body = PeerRequest::Reserve {
            program: ProgramId::from("program"),
            turn: RequestId::from(turn),
            max_tokens: MAX_TOKENS,
            previous: None,
        };
        let response = world.call_as_peer(&store(at), body).await;
        assert!(matches!(response, PeerResponse::Account(_)), "{response:?}");
    }
}

/// Guards against tokens that are spent twice: a store that was suspended executes the begin of a
/// turn that another store has granted, rejects it, and releases the tokens of the running turn.
#[test]
fn a_late_rejection_does_not_release_the_tokens_of_a_running_turn() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed).await;
            let granted = begin(&world, 1, "running", None).await;
            assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
            reserve_without_decision(&world, "rejected").await;
            begin(&world, 0, "running", None).await;
            tokio::time::sleep(BACKGROUND_WORK).await;
            end(&world, 2, "rejected", 0).await;
            let other = begin(&world, 2, "other", None).await;
            assert_eq!(other, StoreReply::BudgetExhausted, "seed {seed}");
            world.ended.set(true);
        });
    }
}

/// Guards against tokens that are spent twice: as above, but the late store does not find the turn that the
/// running one continues.
#[test]
fn a_late_miss_of_the_previous_turn_does_not_release_the_tokens_of_a_running_turn() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed).await;
            let granted = begin(&world, 1, "running", None).await;
            assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
            let late = begin(&world, 0, "running", Some("expired")).await;
            assert_eq!(late, StoreReply::NoSuchTurn);
            tokio::time::sleep(BACKGROUND_WORK).await;
            let other = begin(&world, 2, "other", None).await;
            assert_eq!(other, StoreReply::BudgetExhausted, "seed {seed}");
            world.ended.set(true);
        });
    }
}

/// A turn that a store has rejected stays charged until its proxy ends it, and not longer.
#[test]
fn the_end_of_a_rejected_turn_releases_its_tokens() {
    run(async {
        let world = start_world(1).await;
        let granted = begin(&world, 0, "running", None).await;
        assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
        let rejected = begin(&world, 1, "rejected", None).await;
        assert_eq!(rejected, StoreReply::BudgetExhausted);
        end(&world, 2, "running", 10).await;
        end(&world, 0, "rejected", 0).await;
        let other = begin(&world, 1, "other", None).await;
        assert!(matches!(other, StoreReply::Begun { .. }), "{other:?}");
        world.ended.set(true);
    });
}
