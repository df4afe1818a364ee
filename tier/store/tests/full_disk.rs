//! Answers of a store with a full disk, and the writes that it makes up for afterwards.

mod simulation;

use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{PeerCall, PeerRequest, PeerResponse, TurnUpdate};
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use simulation::{milliseconds, run, SeededBug, World};

fn store(number: u64) -> NodeId {
    NodeId::from(format!("store-{number}").as_str())
}

async fn ask(world: &Rc<World>, at: u64, request: StoreRequest) -> StoreResponse {
    let address = world.machines.borrow()[&store(at)].member.address;
    world
        .call(None, address, request, Duration::from_secs(2))
        .await
        .expect("an answer")
}

/// Calls as a store of the current view.
async fn ask_peer(world: &Rc<World>, at: u64, body: PeerRequest) -> PeerResponse {
    let epoch = world.view.borrow().epoch;
    match ask(world, at, StoreRequest::Peer(PeerCall { epoch, body })).await {
        StoreResponse::Peer(reply) => reply.body,
        StoreResponse::Proxy(reply) => panic!("{reply:?}"),
    }
}

fn program() -> ProgramId {
    ProgramId::from("program")
}

fn committed(tokens: u64) -> PeerRequest {
    let state = Some(TurnState::Committed { tokens });
    PeerRequest::EndTurn(TurnUpdate {
        program: program(),
        turn: RequestId::from("turn"),
        state,
        retained: None,
    })
}

fn reserve() -> PeerRequest {
    PeerRequest::Reserve {
        program: program(),
        turn: RequestId::from("turn"),
        max_tokens: 60,
        previous: None,
    }
}

fn set_disk_full(world: &Rc<World>, at: u64, full: bool) {
    world.machines.borrow()[&store(at)].disk.set_refusing(full);
}

/// Guards the end of a turn that was merged in memory while the disk refused its row: a repeat of the end changes
/// nothing in memory, and was once acknowledged without ever being written.
#[test]
fn a_repeated_end_is_synced_before_it_is_acknowledged() {
    run(async {
        let world = World::new(7, 3, 1, SeededBug::None);
        tokio::task::spawn_local(world.clone().run_control());
        tokio::time::sleep(milliseconds(200)).await;
        assert!(matches!(
            ask_peer(&world, 0, reserve()).await,
            PeerResponse::Account(_)
        ));
        set_disk_full(&world, 0, true);
        assert_eq!(
            ask_peer(&world, 0, committed(7)).await,
            PeerResponse::Unavailable
        );
        set_disk_full(&world, 0, false);
        assert_eq!(ask_peer(&world, 0, committed(7)).await, PeerResponse::Done);
        world.kill(&store(0));
        world.start(&store(0));
        let PeerResponse::Account(account) = ask_peer(&world, 0, reserve()).await else {
            panic!("no account")
        };
        assert_eq!(
            account.state(&RequestId::from("turn")),
            Some(TurnState::Committed { tokens: 7 })
        );
        world.ended.set(true);
    });
}

/// Two of three stores are a quorum for every turn; a store with a full disk calls the others.
#[test]
fn one_full_disk_rejects_no_turn_and_two_are_reported_as_unavailable() {
    run(async {
        let world = World::new(8, 3, 1, SeededBug::None);
        tokio::task::spawn_local(world.clone().run_control());
        tokio::time::sleep(milliseconds(200)).await;
        set_disk_full(&world, 0, true);
        for at in 0..3 {
            let reply = ask(&world, at, StoreRequest::Proxy(begin(at))).await;
            assert!(
                matches!(reply, StoreResponse::Proxy(StoreReply::Begun { .. })),
                "{at}: {reply:?}"
            );
        }
        set_disk_full(&world, 1, true);
        for at in 0..3 {
            let reply = ask(&world, at, StoreRequest::Proxy(begin(10 + at))).await;
            assert!(
                matches!(reply, StoreResponse::Proxy(StoreReply::Unavailable)),
                "{at}: {reply:?}"
            );
        }
        let failed = world
            .machines
            .borrow()
            .values()
            .any(|machine| machine.node().is_some_and(|node| node.has_storage_failed()));
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
