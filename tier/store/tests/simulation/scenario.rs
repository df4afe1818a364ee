//! A whole story: clients, troubles, and what must hold after them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_conversations::placement::{replicas, Quorum};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::StoreMember;
use plankhill_store_client::{BeginOutcome, BeginTurn, StoreClient};

use super::faults::Trouble;
use super::machine::Machine;
use super::programs::RETENTION;
use super::proxy::WorldStores;
use super::{milliseconds, run, Plant, World};

/// What a story consists of.
#[derive(Clone, Copy, Debug)]
pub struct Story {
    pub stores: u64,
    pub faults: u32,
    pub clients: u64,
    pub turns: u64,
    pub troubles: u64,
    /// Lost messages in a hundred at most.
    pub loss: u64,
    pub kinds: &'static [Trouble],
    pub plant: Plant,
}

impl Story {
    pub const SMALL: Story = Story {
        stores: 3,
        faults: 1,
        clients: 4,
        turns: 25,
        troubles: 2,
        loss: 2,
        kinds: &[],
        plant: Plant::Nothing,
    };
}

/// What happened, to see that a story was not empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub answered: u64,
    pub begun: u64,
    pub spent: u64,
    pub unsure: u64,
}

/// Tells the story of one seed; panics where something does not hold.
pub fn tell(seed: u64, story: Story) -> Told {
    run(async move {
        let world = World::new(seed, story.stores, story.faults, story.plant);
        world.network.borrow_mut().loss = world.within(0..story.loss + 1);
        tokio::task::spawn_local(world.clone().run_control());
        tokio::time::sleep(milliseconds(200)).await;
        let clients = (0..story.clients)
            .map(|name| tokio::task::spawn_local(world.clone().run_client(name, story.turns)));
        let clients: Vec<_> = clients.collect();
        world
            .clone()
            .run_troubles(story.troubles, story.kinds)
            .await;
        for client in clients {
            join(client.await);
        }
        world.network.borrow_mut().loss = 0;
        settle(&world).await;
        check_found(&world).await;
        check_repaired(&world);
        world.ended.set(true);
        let programs = world.programs.borrow();
        Told {
            answered: programs.answered.len() as u64,
            begun: programs.begun,
            spent: programs.spent,
            unsure: programs.unsure,
        }
    })
}

/// A panic of a client is the story's own.
fn join(outcome: Result<(), tokio::task::JoinError>) {
    if let Err(error) = outcome {
        std::panic::resume_unwind(error.into_panic());
    }
}

/// All machines are there: views come to rest in time.
async fn settle(world: &Rc<World>) {
    tokio::time::sleep(Duration::from_millis(super::faults::CATCH_UP_MS)).await;
    let view = world.view.borrow().clone();
    assert!(
        view.next.is_none(),
        "CATCH UP: the set has not changed in time: {view:?}"
    );
}

/// Each turn that was answered whole is found, and one that never was is known not to be.
async fn check_found(world: &Rc<World>) {
    let client = world.store_client(0);
    let answered = world.programs.borrow().answered.clone();
    for turn in answered
        .iter()
        .filter(|turn| turn.at.elapsed() < RETENTION - Duration::from_secs(3))
    {
        let reply = read(&client, &turn.program, &turn.turn).await;
        let BeginOutcome::Begun { history, .. } = reply else {
            panic!(
                "LOST: {} of {} at the end: {reply:?}",
                turn.turn, turn.program
            );
        };
        assert!(
            history == Arc::from(turn.history.as_slice()),
            "UNASKED: another history for {}",
            turn.turn
        );
    }
    let reply = read(
        &client,
        &ProgramId::from("program-0"),
        &RequestId::from("nobody's"),
    )
    .await;
    assert!(
        reply == BeginOutcome::NoSuchTurn,
        "UNSURE: of a turn that never was: {reply:?}"
    );
}

/// Nothing is left to be delivered, and each turn lies on all of its replicas' disks, but for those whose
/// hint was lost with its store: they lie on enough.
fn check_repaired(world: &Rc<World>) {
    let view = world.view.borrow().clone();
    let machines = world.machines.borrow();
    let waiting: usize = machines
        .values()
        .filter_map(Machine::node)
        .map(|node| node.hints_waiting())
        .sum();
    assert!(waiting == 0, "REPAIR: {waiting} hints are left");
    let answered = world.programs.borrow().answered.clone();
    let mut short = 0;
    for turn in answered.iter().filter(|turn| turn.at.elapsed() < RETENTION) {
        let holders = replicas(&view.serving, &turn.program, world.faults);
        let holds = |member: &&&StoreMember| machines[&member.node].has_turn(&turn.turn);
        let copies = holders.iter().filter(holds).count();
        let enough = Quorum::of(holders.len(), world.faults).write;
        assert!(copies >= enough, "COPIES: {copies} of {}", turn.turn);
        short += usize::from(copies < holders.len());
    }
    assert!(
        short * 20 <= answered.len(),
        "REPAIR: {short} of {} turns lack a copy",
        answered.len()
    );
}

async fn read(
    client: &StoreClient<WorldStores>,
    program: &ProgramId,
    turn: &RequestId,
) -> BeginOutcome {
    let begin = BeginTurn {
        program: program.clone(),
        turn: RequestId::from("reader"),
        reservation: None,
        previous: Some(turn.clone()),
    };
    client.begin_turn(begin, milliseconds(3_000)).await
}
