//! Tests of a store with a full disk: its replies, and the writes that it repeats once the disk has space.

mod simulation;

use std::rc::Rc;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::peer::{PeerRequest, PeerResponse, TurnUpdate};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreCall, StoreReply};
use simulation::{milliseconds, run, store, SeededBug, World};

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

/// Guards against acknowledging the end of a turn without writing it. The end is merged in memory while
/// the disk refuses its row; a repeat of the end then changes nothing in memory, but must still write the
/// row.
#[test]
fn a_repeated_end_is_synced_before_it_is_acknowledged() {
    run(async {
        let world = World::new(7, 3, 1, SeededBug::None);
        tokio::task::spawn_local(world.clone().run_control_plane());
        tokio::time::sleep(milliseconds(200)).await;
        assert!(matches!(
            world.call_as_peer(&store(0), reserve()).await,
            PeerResponse::Account(_)
        ));
        set_disk_full(&world, 0, true);
        assert_eq!(
            world.call_as_peer(&store(0), committed(7)).await,
            PeerResponse::Unavailable
        );
        set_disk_full(&world, 0, false);
        assert_eq!(
            world.call_as_peer(&store(0), committed(7)).await,
            PeerResponse::Done
        );
        world.kill(&store(0));
        world.start(&store(0));
        let PeerResponse::Account(account) = world.call_as_peer(&store(0), reserve()).await else {
            panic!("no account")
        };
        assert_eq!(
            account.state(&RequestId::from("turn")),
            Some(TurnState::Committed { tokens: 7 })
        );
        world.ended.set(true);
    });
}

/// With one full disk the two other stores are a quorum for every turn, also if the store with the full disk
/// coordinates. With two full disks there is no quorum.
#[test]
fn one_full_disk_rejects_no_turn_and_two_are_reported_as_unavailable() {
    run(async {
        let world = World::new(8, 3, 1, SeededBug::None);
        tokio::task::spawn_local(world.clone().run_control_plane());
        tokio::time::sleep(milliseconds(200)).await;
        set_disk_full(&world, 0, true);
        for at in 0..3 {
            let reply = world.call_as_proxy(&store(at), begin(at)).await;
            assert!(matches!(reply, StoreReply::Begun { .. }), "{at}: {reply:?}");
        }
        set_disk_full(&world, 1, true);
        for at in 0..3 {
            let reply = world.call_as_proxy(&store(at), begin(10 + at)).await;
            assert_eq!(reply, StoreReply::Unavailable, "{at}");
        }
        let failed = world
            .machines
            .borrow()
            .values()
            .any(|machine| machine.node().is_some_and(|node| node.has_storage_failed()));
        assert!(!failed, "a full disk must not end a store");
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
        lifetime: None,
    }
}
