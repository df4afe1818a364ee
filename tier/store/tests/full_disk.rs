//! What a store with a full disk answers, and what it owes its disk afterwards.

mod world;

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{EndedTurn, PeerCall, PeerRequest, PeerResponse};
use plankhill_conversations::wire::{StoreAnswer, StoreRequest};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use world::{milliseconds, run, Plant, World};

fn store(number: u64) -> NodeId {
    NodeId::from(format!("store-{number}").as_str())
}

async fn ask(world: &Rc<World>, at: u64, request: StoreRequest) -> StoreAnswer {
    let address = world.machines.borrow()[&store(at)].member.address;
    world
        .call(None, address, request, Duration::from_secs(2))
        .await
        .expect("an answer")
}

/// Asks as a store of the present view.
async fn ask_peer(world: &Rc<World>, at: u64, body: PeerRequest) -> PeerResponse {
    let epoch = world.view.borrow().epoch;
    match ask(world, at, StoreRequest::Peer(PeerCall { epoch, body })).await {
        StoreAnswer::Peer(reply) => reply.body,
        StoreAnswer::Proxy(reply) => panic!("{reply:?}"),
    }
}

fn program() -> ProgramId {
    ProgramId::from("program")
}

fn settled(tokens: u64) -> PeerRequest {
    let state = Some(TurnState::Settled { tokens });
    PeerRequest::End(EndedTurn {
        program: program(),
        turn: RequestId::from("turn"),
        state,
        kept: None,
    })
}

fn reserve() -> PeerRequest {
    PeerRequest::Reserve {
        program: program(),
        turn: RequestId::from("turn"),
        most: 60,
        previous: None,
    }
}

fn set_full(world: &Rc<World>, at: u64, full: bool) {
    world.machines.borrow()[&store(at)].disk.set_refusing(full);
}

/// Guards an end that was taken into memory while the disk refused it: its repeat is no news, and was acknowledged
/// without ever being written.
#[test]
fn a_repeated_end_is_on_disk_once_it_is_acknowledged() {
    run(async {
        let world = World::new(7, 3, 1, Plant::Nothing);
        tokio::task::spawn_local(world.clone().run_control());
        tokio::time::sleep(milliseconds(200)).await;
        assert!(matches!(
            ask_peer(&world, 0, reserve()).await,
            PeerResponse::Account(_)
        ));
        set_full(&world, 0, true);
        assert_eq!(ask_peer(&world, 0, settled(7)).await, PeerResponse::Unable);
        set_full(&world, 0, false);
        assert_eq!(ask_peer(&world, 0, settled(7)).await, PeerResponse::Done);
        world.kill(&store(0));
        world.start(&store(0));
        let PeerResponse::Account(account) = ask_peer(&world, 0, reserve()).await else {
            panic!("no account")
        };
        assert_eq!(
            account.state(&RequestId::from("turn")),
            Some(TurnState::Settled { tokens: 7 })
        );
        world.ended.set(true);
    });
}

/// Two of three stores are enough for every turn; a store with a full disk asks the others.
#[test]
fn one_full_disk_costs_no_turn_and_two_are_told_as_unsure() {
    run(async {
        let world = World::new(8, 3, 1, Plant::Nothing);
        tokio::task::spawn_local(world.clone().run_control());
        tokio::time::sleep(milliseconds(200)).await;
        set_full(&world, 0, true);
        for at in 0..3 {
            let reply = ask(&world, at, StoreRequest::Proxy(begin(at))).await;
            assert!(
                matches!(reply, StoreAnswer::Proxy(StoreReply::Begun { .. })),
                "{at}: {reply:?}"
            );
        }
        set_full(&world, 1, true);
        for at in 0..3 {
            let reply = ask(&world, at, StoreRequest::Proxy(begin(10 + at))).await;
            assert!(
                matches!(reply, StoreAnswer::Proxy(StoreReply::Unavailable)),
                "{at}: {reply:?}"
            );
        }
        let failed = world
            .machines
            .borrow()
            .values()
            .any(|machine| machine.node().is_some_and(|node| node.disk_failed()));
        assert!(!failed, "the stores stay up");
        world.ended.set(true);
    });
}

fn begin(number: u64) -> StoreCall {
    StoreCall::BeginTurn {
        epoch: Default::default(),
        program: ProgramId::from(format!("program-{number}").as_str()),
        turn: RequestId::from(format!("turn-{number}").as_str()),
        reservation: Some(Reservation {
            budget: 100,
            max_tokens: 60,
        }),
        previous: None,
    }
}
