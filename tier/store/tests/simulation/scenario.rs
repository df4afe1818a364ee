//! Scenarios: run clients and faults, then check the invariants.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_conversations::placement::replicas;
use plankhill_conversations::quorum::Quorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::StoreMember;
use plankhill_store_client::{BeginOutcome, BeginTurn, StoreClient};

use super::faults::Fault;
use super::machine::Machine;
use super::oracle::RETENTION;
use super::proxy::{ClientTurns, Programs, SimulatedTransport};
use super::{milliseconds, run, SeededBug, World};

/// The parameters of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub stores: u64,
    pub tolerated_faults: u32,
    pub clients: u64,
    pub turns: ClientTurns,
    pub fault_count: u64,
    /// Maximum percentage of lost messages.
    pub loss: u64,
    pub fault_kinds: &'static [Fault],
    pub bug: SeededBug,
}

impl Scenario {
    pub const SMALL: Scenario = Scenario {
        stores: 3,
        tolerated_faults: 1,
        clients: 4,
        turns: ClientTurns {
            count: 25,
            programs: Programs::AtRandom,
            max_event_interval_ms: 60,
        },
        fault_count: 2,
        loss: 2,
        fault_kinds: &[],
        bug: SeededBug::None,
    };
}

/// Counts of outcomes, with which tests check that a scenario was not trivial.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub answered: u64,
    pub begun: u64,
    pub rejected: u64,
    pub unavailable: u64,
}

/// Runs a scenario with one seed; panics if an invariant is violated.
pub fn run_scenario(seed: u64, scenario: Scenario) -> Summary {
    run(async move {
        let world = World::new(
            seed,
            scenario.stores,
            scenario.tolerated_faults,
            scenario.bug,
        );
        world.network.borrow_mut().loss = world.random_range(0..scenario.loss + 1);
        tokio::task::spawn_local(world.clone().run_control_plane());
        tokio::time::sleep(milliseconds(200)).await;
        let clients = (0..scenario.clients)
            .map(|name| tokio::task::spawn_local(world.clone().run_client(name, scenario.turns)));
        let clients: Vec<_> = clients.collect();
        world
            .clone()
            .run_faults(scenario.fault_count, scenario.fault_kinds)
            .await;
        for client in clients {
            propagate_panic(client.await);
        }
        world.network.borrow_mut().loss = 0;
        wait_for_stable_view(&world).await;
        check_answered_turns(&world).await;
        check_repaired(&world);
        world.ended.set(true);
        let oracle = world.oracle.borrow();
        Summary {
            answered: oracle.answered.len() as u64,
            begun: oracle.begun,
            rejected: oracle.rejected,
            unavailable: oracle.unavailable,
        }
    })
}

/// Propagates a client's panic to the scenario.
fn propagate_panic(outcome: Result<(), tokio::task::JoinError>) {
    if let Err(error) = outcome {
        std::panic::resume_unwind(error.into_panic());
    }
}

/// Waits for the catch-up time, after which the view must be stable because all machines run.
async fn wait_for_stable_view(world: &Rc<World>) {
    tokio::time::sleep(Duration::from_millis(super::faults::CATCH_UP_MS)).await;
    let view = world.view.borrow().clone();
    assert!(
        view.next.is_none(),
        "CATCH UP: the change of the set did not complete in time: {view:?}"
    );
}

/// Checks that each turn that was answered completely is found, and that a turn that never existed is
/// reported as absent.
async fn check_answered_turns(world: &Rc<World>) {
    let client = world.store_client(0);
    let answered = world.oracle.borrow().answered.clone();
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
            "HISTORY: wrong history of {}",
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
        "ABSENCE: a turn that never existed is not reported as absent: {reply:?}"
    );
}

/// Checks that no hint is pending, and that each turn is on the disks of a write quorum of its replicas.
/// At most one turn in 20 may lack a copy at another replica, because a hint may be lost with its store.
fn check_repaired(world: &Rc<World>) {
    let view = world.view.borrow().clone();
    let machines = world.machines.borrow();
    let pending: usize = machines
        .values()
        .filter_map(Machine::node)
        .map(|node| node.pending_hints())
        .sum();
    assert!(pending == 0, "REPAIR: {pending} hints are left");
    let answered = world.oracle.borrow().answered.clone();
    let mut short = 0;
    for turn in answered.iter().filter(|turn| turn.at.elapsed() < RETENTION) {
        let members = replicas(&view.serving, &turn.program, world.tolerated_faults);
        let has_turn = |member: &&&StoreMember| machines[&member.node].has_turn(&turn.turn);
        let copies = members.iter().filter(has_turn).count();
        let enough = Quorum::new(members.len(), world.tolerated_faults).write;
        assert!(
            copies >= enough,
            "COPIES: {} has only {copies} copies",
            turn.turn
        );
        short += usize::from(copies < members.len());
    }
    assert!(
        short * 20 <= answered.len(),
        "REPAIR: {short} of {} turns lack a copy",
        answered.len()
    );
}

async fn read(
    client: &StoreClient<SimulatedTransport>,
    program: &ProgramId,
    turn: &RequestId,
) -> BeginOutcome {
    let begin = BeginTurn {
        program: program.clone(),
        turn: RequestId::from("reader"),
        reservation: None,
        previous: Some(turn.clone()),
        lifetime: None,
    };
    client.begin_turn(begin, milliseconds(3_000)).await
}
