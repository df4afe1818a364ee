//! Tests that a store that has missed a view change cannot grant tokens that the new set has already granted.

mod simulation;

use std::rc::Rc;

use plankhill_protocol::ids::{NodeId, ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use simulation::{milliseconds, run, store, SeededBug, World};

fn set_isolated(world: &Rc<World>, number: u64, is_isolated: bool) {
    let mut network = world.network.borrow_mut();
    if is_isolated {
        network.outbound_blocked.insert(store(number));
        network.inbound_blocked.insert(store(number));
    } else {
        network.outbound_blocked.remove(&store(number));
        network.inbound_blocked.remove(&store(number));
    }
}

async fn reserve(world: &Rc<World>, at: u64, turn: &str) -> StoreReply {
    let call = StoreCall::BeginTurn {
        epoch: StoreEpoch(1),
        program: ProgramId::from("program"),
        turn: RequestId::from(turn),
        reservation: Some(Reservation {
            budget: 100,
            max_tokens: 60,
        }),
        previous: None,
        lifetime: None,
    };
    world.call_as_proxy(&store(at), call).await
}

/// Replaces stores 1 and 2 by 3 and 4 while 1 is isolated; then reserves tokens at 3 and, with an old view,
/// at 1. Returns both replies.
async fn reserve_at_both_sets(bug: SeededBug) -> (StoreReply, StoreReply) {
    let world = World::new(7, 3, 1, bug);
    world.retains_retired.set(true);
    tokio::task::spawn_local(world.clone().run_control_plane());
    tokio::time::sleep(milliseconds(200)).await;
    world.network.borrow_mut().control_blocked.insert(store(1));
    set_isolated(&world, 1, true);
    for number in [3, 4] {
        world.add_machine(number);
    }
    world.retired.borrow_mut().extend([store(1), store(2)]);
    tokio::time::sleep(milliseconds(4_000)).await;
    let serving: Vec<NodeId> = world
        .view
        .borrow()
        .serving
        .iter()
        .map(|member| member.node.clone())
        .collect();
    assert_eq!(serving, [store(0), store(3), store(4)]);
    let granted = reserve(&world, 3, "first").await;
    set_isolated(&world, 1, false);
    set_isolated(&world, 0, true);
    let late = reserve(&world, 1, "second").await;
    world.ended.set(true);
    (granted, late)
}

#[test]
fn a_store_that_missed_a_view_change_grants_no_tokens_again() {
    let (granted, late) = run(reserve_at_both_sets(SeededBug::None));
    assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
    assert_eq!(late, StoreReply::BudgetExhausted);
}

#[test]
fn without_epoch_fencing_both_sets_grant() {
    let (granted, late) = run(reserve_at_both_sets(SeededBug::NoEpochFencing));
    assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
    assert!(matches!(late, StoreReply::Begun { .. }), "{late:?}");
}
