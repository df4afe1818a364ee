//! Measures the latency of turns while the disk of one store is slow or stalled: a quorum does not wait for
//! that disk. `docs/system/hardening.md` has the table that the test prints.

mod simulation;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnRecord};
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};
use simulation::proxy::SimulatedTransport;
use simulation::{milliseconds, run, SeededBug, World};
use tokio::time::Instant;

/// Turns of each client; there is one client for each zone.
const TURNS_PER_CLIENT: u64 = 80;
const CLIENTS: u64 = 3;
const SEEDS: u64 = 4;
/// Time before the first turn, within which all stores receive their view.
const START: Duration = Duration::from_millis(500);
/// Budget of a program in tokens: large enough not to be exhausted.
const BUDGET: u64 = 1_000_000;
const RETENTION_MS: u64 = 60_000;
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum increase of the 99th percentile by a slow disk: less than one sync of 50 ms, the fastest of the
/// slow disks.
const MAX_ADDED: Duration = Duration::from_millis(20);

/// The condition of one store's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disk {
    Healthy,
    /// Syncs take this number of milliseconds.
    Slow(u64),
    /// Syncs do not complete before the test ends.
    Stalled,
}

impl Disk {
    fn sync_time(self) -> Option<Duration> {
        match self {
            Disk::Healthy => None,
            Disk::Slow(sync_ms) => Some(milliseconds(sync_ms)),
            Disk::Stalled => Some(Duration::from_secs(3_600)),
        }
    }
}

/// Latencies of the begins and the ends of turns.
#[derive(Clone, Debug, Default)]
struct TurnTimes {
    begins: Vec<Duration>,
    ends: Vec<Duration>,
}

impl TurnTimes {
    fn extend(&mut self, other: TurnTimes) {
        self.begins.extend(other.begins);
        self.ends.extend(other.ends);
    }
}

fn percentile_99(times: &mut [Duration]) -> Duration {
    times.sort_unstable();
    times[times.len() * 99 / 100]
}

async fn execute_turns(
    world: Rc<World>,
    client: StoreClient<SimulatedTransport>,
    name: u64,
) -> TurnTimes {
    let program = ProgramId::from(format!("program-{name}").as_str());
    let mut times = TurnTimes::default();
    let mut previous = None;
    for number in 0..TURNS_PER_CLIENT {
        let turn = RequestId::from(format!("turn-{name}-{number}").as_str());
        let begin = BeginTurn {
            program: program.clone(),
            turn: turn.clone(),
            reservation: Some(Reservation {
                budget: BUDGET,
                max_tokens: 20,
            }),
            previous: previous.take(),
            lifetime: None,
        };
        let began_at = Instant::now();
        let begun = client.begin_turn(begin, TIMEOUT).await;
        times.begins.push(began_at.elapsed());
        let BeginOutcome::Begun {
            previous: chain, ..
        } = begun
        else {
            panic!("{turn} did not begin: {begun:?}");
        };
        tokio::time::sleep(milliseconds(world.random_range(5..60))).await;
        let end = EndTurn {
            program: program.clone(),
            turn: turn.clone(),
            tokens: Some(10),
            record: Some(TurnRecord {
                turn: turn.clone(),
                program: program.clone(),
                previous: chain,
                input: Arc::from(*b"in"),
                output: Arc::from(*b"out"),
                retention_ms: RETENTION_MS,
            }),
        };
        let ended_at = Instant::now();
        assert_eq!(client.end_turn(end, TIMEOUT).await, EndOutcome::Ended);
        times.ends.push(ended_at.elapsed());
        previous = Some(turn);
    }
    times
}

fn measure(seed: u64, disk: Disk) -> TurnTimes {
    run(async move {
        let world = World::new(seed, 3, 1, SeededBug::None);
        tokio::task::spawn_local(world.clone().run_control_plane());
        tokio::time::sleep(START).await;
        let node = NodeId::from(format!("store-{}", seed % 3).as_str());
        if let (Some(sync_time), Some(storage)) = (disk.sync_time(), world.disk(&node)) {
            storage.set_sync_time(sync_time);
        }
        let clients = (0..CLIENTS).map(|name| {
            let turns = execute_turns(world.clone(), world.store_client(name), name);
            tokio::task::spawn_local(turns)
        });
        let clients: Vec<_> = clients.collect();
        let mut times = TurnTimes::default();
        for client in clients {
            times.extend(client.await.expect("a client's turns"));
        }
        world.ended.set(true);
        times
    })
}

fn measure_seeds(disk: Disk) -> (Duration, Duration) {
    let mut times = TurnTimes::default();
    for seed in 0..SEEDS {
        times.extend(measure(seed, disk));
    }
    let begins = percentile_99(&mut times.begins);
    let ends = percentile_99(&mut times.ends);
    println!("{disk:?}: begin {begins:?}, end {ends:?} at the 99th percentile");
    (begins, ends)
}

#[test]
fn a_quorum_waits_for_no_slow_and_no_stalled_disk() {
    let (begins, ends) = measure_seeds(Disk::Healthy);
    for disk in [
        Disk::Slow(50),
        Disk::Slow(200),
        Disk::Slow(350),
        Disk::Stalled,
    ] {
        let (slow_begins, slow_ends) = measure_seeds(disk);
        assert!(
            slow_begins <= begins + MAX_ADDED,
            "{disk:?}: {slow_begins:?}"
        );
        assert!(slow_ends <= ends + MAX_ADDED, "{disk:?}: {slow_ends:?}");
    }
}
