//! A store that has missed a change of the set can't grant what the new set has granted already.

mod world;

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::wire::{StoreAnswer, StoreRequest};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use world::{milliseconds, run, Plant, World};

fn store(number: u64) -> NodeId {
    NodeId::from(format!("store-{number}").as_str())
}

fn cut_off(world: &Rc<World>, number: u64, is_cut: bool) {
    let mut network = world.network.borrow_mut();
    if is_cut {
        network.unheard.insert(store(number));
        network.deafened.insert(store(number));
    } else {
        network.unheard.remove(&store(number));
        network.deafened.remove(&store(number));
    }
}

async fn reserve(world: &Rc<World>, at: u64, turn: &str) -> StoreReply {
    let address = world.machines.borrow()[&store(at)].member.address;
    let call = StoreCall::BeginTurn {
        epoch: StoreEpoch(1),
        program: ProgramId::from("program"),
        turn: RequestId::from(turn),
        reservation: Some(Reservation {
            budget: 100,
            max_tokens: 60,
        }),
        previous: None,
    };
    match world
        .call(
            None,
            address,
            StoreRequest::Proxy(call),
            Duration::from_secs(2),
        )
        .await
    {
        Ok(StoreAnswer::Proxy(reply)) => reply,
        other => panic!("{other:?}"),
    }
}

/// Stores 1 and 2 are replaced by 3 and 4 while 1 is cut off; then the proxies ask 3 and, with an old view, 1.
async fn ask_both_sets(plant: Plant) -> (StoreReply, StoreReply) {
    let world = World::new(7, 3, 1, plant);
    world.keeps_retired.set(true);
    tokio::task::spawn_local(world.clone().run_control());
    tokio::time::sleep(milliseconds(200)).await;
    world.network.borrow_mut().deaf.insert(store(1));
    cut_off(&world, 1, true);
    [3, 4]
        .into_iter()
        .for_each(|number| world.add_machine(number));
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
    cut_off(&world, 1, false);
    cut_off(&world, 0, true);
    let late = reserve(&world, 1, "second").await;
    world.ended.set(true);
    (granted, late)
}

#[test]
fn a_store_left_behind_learns_of_the_new_set() {
    let (granted, late) = run(ask_both_sets(Plant::Nothing));
    assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
    assert_eq!(late, StoreReply::BudgetExhausted);
}

#[test]
fn without_the_fence_both_sets_grant() {
    let (granted, late) = run(ask_both_sets(Plant::NoFence));
    assert!(matches!(granted, StoreReply::Begun { .. }), "{granted:?}");
    assert!(matches!(late, StoreReply::Begun { .. }), "{late:?}");
}
