//! Tests that the chain of a conversation is retained while a turn that continues it runs.

mod simulation;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::placement::replicas;
use plankhill_conversations::rows::Table;
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, TurnLifetime, TurnLocation, TurnRecord};
use plankhill_store::storage::Storage;
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};
use simulation::proxy::SimulatedTransport;
use simulation::{milliseconds, run, SeededBug, World};
use tokio::time::Instant;

const SEEDS: u64 = 20;
/// Seeds of tests that last for minutes of virtual time.
const LONG_SEEDS: u64 = 4;
/// Time before the first turn, within which all stores receive their view.
const START: Duration = Duration::from_millis(500);
const RETENTION: Duration = Duration::from_millis(2_000);
/// The simulated stores retain turns for this long beyond their retention.
const RETENTION_SLACK: Duration = Duration::from_millis(10_000);
/// Time for which a store is down.
const DOWNTIME: Duration = Duration::from_millis(700);
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for hints and comparisons to repair a store that was not running or was partitioned.
const CATCH_UP: Duration = Duration::from_millis(2_000);
/// Turns of a program that continues the conversation of another one; they last for two minutes.
const SUCCESSOR_TURNS: u64 = 80;
/// Budget of a program in tokens: large enough not to be exhausted.
const BUDGET: u64 = 1_000_000;

/// A client of the stores that begins and ends turns.
struct Client {
    stores: StoreClient<SimulatedTransport>,
    reservation: Option<Reservation>,
    /// The lifetime that is sent with the begin of a turn; a proxy of an earlier version sends none.
    lifetime: Option<TurnLifetime>,
    /// The retention with which turns end.
    retention: Duration,
}

/// A turn that has begun, with what its record needs.
struct BegunTurn {
    program: ProgramId,
    turn: RequestId,
    previous: Option<TurnLocation>,
    history: Arc<[u8]>,
}

impl Client {
    fn new(world: &Rc<World>) -> Self {
        let reservation = Reservation {
            budget: BUDGET,
            max_tokens: 20,
        };
        Client {
            stores: world.store_client(0),
            reservation: Some(reservation),
            lifetime: None,
            retention: RETENTION,
        }
    }

    async fn begin(&self, program: &str, turn: &str, previous: Option<&str>) -> BegunTurn {
        let begin = BeginTurn {
            program: ProgramId::from(program),
            turn: RequestId::from(turn),
            reservation: self.reservation.clone(),
            previous: previous.map(RequestId::from),
            lifetime: self.lifetime,
        };
        match self.stores.begin_turn(begin, TIMEOUT).await {
            BeginOutcome::Begun { history, previous } => BegunTurn {
                program: ProgramId::from(program),
                turn: RequestId::from(turn),
                previous,
                history,
            },
            other => panic!("{turn} of {program} does not begin: {other:?}"),
        }
    }

    /// Ends a turn whose input and output consist of its name.
    async fn end(&self, begun: &BegunTurn) {
        let record = TurnRecord {
            turn: begun.turn.clone(),
            program: begun.program.clone(),
            previous: begun.previous.clone(),
            input: Arc::from(format!("{};", begun.turn).as_bytes()),
            output: Arc::from([]),
            retention_ms: self.retention.as_millis() as u64,
        };
        let end = EndTurn {
            program: begun.program.clone(),
            turn: begun.turn.clone(),
            tokens: self.reservation.as_ref().map(|_| 20),
            record: Some(record),
        };
        assert_eq!(self.stores.end_turn(end, TIMEOUT).await, EndOutcome::Ended);
    }
}

async fn start_world(seed: u64, stores: u64) -> Rc<World> {
    println!("seed {seed}");
    let world = World::new(seed, stores, 1, SeededBug::None);
    tokio::task::spawn_local(world.clone().run_control_plane());
    tokio::time::sleep(START).await;
    world
}

/// Extends the retention of a turn at all stores, as the end of a turn of another program does.
async fn extend_retention(world: &Rc<World>, turn: &str, retention: Duration) {
    for node in world.nodes() {
        let response = world.call_as_peer(&node, extension(turn, retention)).await;
        assert_eq!(response, PeerResponse::Done);
    }
}

fn extension(turn: &str, retention: Duration) -> PeerRequest {
    PeerRequest::ExtendRetention {
        turn: RequestId::from(turn),
        retention_ms: retention.as_millis() as u64,
    }
}

/// Kills the stores at once and restarts them on their disks.
async fn lose_power(world: &Rc<World>) {
    let nodes = world.nodes();
    for node in &nodes {
        world.kill(node);
    }
    tokio::time::sleep(DOWNTIME).await;
    for node in &nodes {
        world.start(node);
    }
}

/// A conversation of three turns, the second of which is long. All stores restart while it runs.
struct LongTurn {
    /// The program of the first turn, and that of the two others.
    programs: [String; 2],
    duration: Duration,
}

impl LongTurn {
    /// A turn that ends after the turn before it would have expired.
    fn of_programs(first: &str, others: &str) -> Self {
        LongTurn {
            programs: [first.to_string(), others.to_string()],
            duration: RETENTION + RETENTION_SLACK * 3 / 2,
        }
    }

    /// Plays the conversation, and checks that its last turn has the complete history.
    async fn play(&self, world: &Rc<World>, client: &Client) {
        let [program, continuing] = &self.programs;
        let first = client.begin(program, "first", None).await;
        client.end(&first).await;
        tokio::time::sleep(RETENTION * 3 / 4).await;
        let second = client.begin(continuing, "second", Some("first")).await;
        let ends_at = Instant::now() + self.duration;
        let power_loss_ms = world.random_range(20..self.duration.as_millis() as u64 / 3);
        tokio::time::sleep(milliseconds(power_loss_ms)).await;
        lose_power(world).await;
        tokio::time::sleep_until(ends_at).await;
        client.end(&second).await;
        let third = client.begin(continuing, "third", Some("second")).await;
        assert_eq!(&*third.history, b"first;second;");
    }
}

/// Guards against the loss of a conversation whose stores all restart during a long turn: the chain that
/// the turn continues expired before the turn ended, because its extension was in memory alone.
#[test]
fn a_power_loss_during_a_long_turn_does_not_lose_the_chain() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed, 3).await;
            let turn = LongTurn::of_programs("program", "program");
            turn.play(&world, &Client::new(&world)).await;
            world.ended.set(true);
        });
    }
}

/// Guards against a shorter extension that replaces an earlier, longer one on disk, which a restart shows.
#[test]
fn a_shorter_extension_does_not_shorten_the_retention_after_a_power_loss() {
    run(async {
        let world = start_world(1, 3).await;
        let client = Client::new(&world);
        let first = client.begin("program", "first", None).await;
        client.end(&first).await;
        extend_retention(&world, "first", RETENTION_SLACK * 5).await;
        extend_retention(&world, "first", RETENTION).await;
        lose_power(&world).await;
        tokio::time::sleep(RETENTION_SLACK * 4).await;
        let second = client.begin("program", "second", Some("first")).await;
        assert_eq!(&*second.history, b"first;");
        world.ended.set(true);
    });
}

/// Guards against a turn whose repeated end extends its retention in memory alone: a proxy repeats the end
/// until the turn's deadline, and the turn is retained from the acknowledged one on.
#[test]
fn a_repeated_end_extends_the_retention_over_a_power_loss() {
    run(async {
        let world = start_world(2, 3).await;
        let client = Client::new(&world);
        let first = client.begin("program", "first", None).await;
        client.end(&first).await;
        tokio::time::sleep(RETENTION_SLACK * 9 / 10).await;
        client.end(&first).await;
        let repeated_at = Instant::now();
        lose_power(&world).await;
        tokio::time::sleep_until(repeated_at + RETENTION_SLACK).await;
        let second = client.begin("program", "second", Some("first")).await;
        assert_eq!(&*second.history, b"first;");
        world.ended.set(true);
    });
}

/// Guards against rows that stay on disk for ever: an extension also reaches replicas that do not have the
/// turn.
#[test]
fn the_extension_of_an_absent_turn_is_removed_from_the_disks() {
    run(async {
        let world = start_world(3, 3).await;
        extend_retention(&world, "absent", RETENTION).await;
        assert_eq!(extension_rows(&world), 3);
        tokio::time::sleep(RETENTION * 2).await;
        assert_eq!(extension_rows(&world), 0);
        world.ended.set(true);
    });
}

/// Number of extensions on all disks.
fn extension_rows(world: &World) -> usize {
    let mut rows = 0;
    for machine in world.machines.borrow().values() {
        let scanned = machine.disk.scan(Table::Extensions, &mut |_, _| rows += 1);
        scanned.expect("disks in memory can be read");
    }
    rows
}

/// Two programs that have no replica in common.
fn disjoint_programs(world: &World) -> (String, String) {
    let view = world.view.borrow();
    let nodes = |name: &str| -> Vec<NodeId> {
        let members = replicas(
            &view.serving,
            &ProgramId::from(name),
            world.tolerated_faults,
        );
        members.iter().map(|member| member.node.clone()).collect()
    };
    let ended = String::from("ended-program");
    let of_ended = nodes(&ended);
    let successor = (0..1_000)
        .map(|number| format!("successor-{number}"))
        .find(|name| nodes(name).iter().all(|node| !of_ended.contains(node)));
    (ended, successor.expect("a program with other replicas"))
}

/// Guards against the loss of a conversation on a route without budgets: a turn without a reservation did not
/// extend the chain that it continues, which expired while the turn ran.
#[test]
fn a_long_turn_without_a_budget_does_not_lose_the_chain() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed, 3).await;
            let client = Client {
                reservation: None,
                ..Client::new(&world)
            };
            let turn = LongTurn::of_programs("program", "program");
            turn.play(&world, &client).await;
            world.ended.set(true);
        });
    }
}

/// Guards against the loss of a conversation that a new program continues with a long turn: the chain was
/// extended at the replicas of the new program only, which do not have it.
#[test]
fn a_long_turn_does_not_lose_the_chain_of_another_program() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed, 6).await;
            let (ended, successor) = disjoint_programs(&world);
            let turn = LongTurn::of_programs(&ended, &successor);
            turn.play(&world, &Client::new(&world)).await;
            world.ended.set(true);
        });
    }
}

/// Guards against the loss of a conversation that a new program continues: its later turns did not extend the
/// turns of the ended program, which expired during the conversation.
#[test]
fn the_turns_of_an_ended_program_are_retained_while_its_successor_continues_them() {
    for seed in 0..LONG_SEEDS {
        run(async {
            let world = start_world(seed, 6).await;
            let client = Client::new(&world);
            let (ended, successor) = disjoint_programs(&world);
            let first = client.begin(&ended, "turn-0", None).await;
            client.end(&first).await;
            let mut expected = b"turn-0;".to_vec();
            for number in 1..=SUCCESSOR_TURNS {
                tokio::time::sleep(RETENTION * 3 / 4).await;
                let (turn, previous) = (format!("turn-{number}"), format!("turn-{}", number - 1));
                let begun = client.begin(&successor, &turn, Some(&previous)).await;
                assert_eq!(&*begun.history, expected, "seed {seed}, turn {number}");
                client.end(&begun).await;
                expected.extend_from_slice(format!("{turn};").as_bytes());
            }
            world.ended.set(true);
        });
    }
}

/// Kills a store, and starts it again on its disk or on an empty one. Returns after the store has caught up.
async fn lose(world: &Rc<World>, node: &NodeId, loss: Loss) {
    match loss {
        Loss::Process => world.kill(node),
        Loss::Disk => world.wipe(node),
    }
    tokio::time::sleep(DOWNTIME).await;
    world.start(node);
    tokio::time::sleep(CATCH_UP).await;
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    Process,
    Disk,
}

/// The stores in an order that depends on the seed.
fn shuffled_nodes(world: &Rc<World>) -> [NodeId; 3] {
    let mut nodes = world.nodes();
    nodes.rotate_left(world.random_range(0..3) as usize);
    if world.random_bool(50) {
        nodes.swap(0, 1);
    }
    nodes.try_into().expect("three stores")
}

/// Guards against the loss of a conversation by three losses of a store one after the other during a long turn:
/// the first store missed that the chain is retained for longer, the second copied the shorter time from
/// it, and then the third lost its disk.
#[test]
fn three_losses_of_a_store_during_a_long_turn_do_not_lose_the_chain() {
    for seed in 0..SEEDS {
        run(async {
            let world = start_world(seed, 3).await;
            let client = Client::new(&world);
            let [first_lost, second_lost, third_lost] = shuffled_nodes(&world);
            let first = client.begin("program", "first", None).await;
            client.end(&first).await;
            tokio::time::sleep(RETENTION / 2).await;
            world.kill(&first_lost);
            let second = client.begin("program", "second", Some("first")).await;
            let ends_at = Instant::now() + RETENTION + RETENTION_SLACK * 3 / 2;
            tokio::time::sleep(DOWNTIME).await;
            world.start(&first_lost);
            tokio::time::sleep(CATCH_UP).await;
            lose(&world, &second_lost, Loss::Disk).await;
            lose(&world, &third_lost, Loss::Disk).await;
            tokio::time::sleep_until(ends_at).await;
            client.end(&second).await;
            let third = client.begin("program", "third", Some("second")).await;
            assert_eq!(&*third.history, b"first;second;");
            world.ended.set(true);
        });
    }
}

/// Guards against an extension that a store never receives after a partition: only ends of turns had hints.
#[test]
fn an_extension_that_a_store_missed_is_delivered_to_it() {
    for (seed, has_budget) in (0..SEEDS).zip([true, false].into_iter().cycle()) {
        run(async {
            let world = start_world(seed, 3).await;
            let mut client = Client::new(&world);
            if !has_budget {
                client.reservation = None;
            }
            let [cut_off, ..] = shuffled_nodes(&world);
            let first = client.begin("program", "first", None).await;
            client.end(&first).await;
            world
                .network
                .borrow_mut()
                .inbound_blocked
                .insert(cut_off.clone());
            client.begin("program", "second", Some("first")).await;
            tokio::time::sleep(DOWNTIME).await;
            assert_eq!(extension_rows(&world), 2);
            world.network.borrow_mut().inbound_blocked.remove(&cut_off);
            tokio::time::sleep(CATCH_UP).await;
            assert_eq!(extension_rows(&world), 3);
            world.ended.set(true);
        });
    }
}

/// Guards against the loss of the longest retention: a store that compares with the others after its start, on its
/// disk or on an empty one, looked at the ids of turns and not at their times, and copied from the first
/// source.
#[test]
fn a_store_that_starts_takes_the_longest_retention_of_the_others() {
    for (seed, loss) in (0..SEEDS).zip([Loss::Disk, Loss::Process].into_iter().cycle()) {
        run(async {
            let world = start_world(seed, 3).await;
            let client = Client::new(&world);
            let [with_extension, starting, _] = shuffled_nodes(&world);
            let first = client.begin("program", "first", None).await;
            client.end(&first).await;
            let second = client.begin("program", "second", Some("first")).await;
            client.end(&second).await;
            tokio::time::sleep(DOWNTIME).await;
            let long = extension("second", RETENTION_SLACK * 20);
            let response = world.call_as_peer(&with_extension, long).await;
            assert_eq!(response, PeerResponse::Done);
            lose(&world, &starting, loss).await;
            lose(&world, &with_extension, Loss::Disk).await;
            tokio::time::sleep(RETENTION_SLACK * 10).await;
            let third = client.begin("program", "third", Some("second")).await;
            assert_eq!(&*third.history, b"first;second;", "{loss:?}");
            world.ended.set(true);
        });
    }
}

fn lifetime(timeout: Duration, retention: Duration) -> TurnLifetime {
    TurnLifetime {
        timeout_ms: timeout.as_millis() as u64,
        retention_ms: retention.as_millis() as u64,
    }
}

/// Guards against the loss of a conversation by a turn of more than a minute: the chain that the turn
/// continues was retained for a fixed time, whatever the timeout of the turn.
#[test]
fn a_turn_of_several_minutes_does_not_lose_the_chain() {
    for seed in 0..LONG_SEEDS {
        run(async {
            let world = start_world(seed, 3).await;
            let turn = LongTurn {
                duration: Duration::from_secs(300),
                ..LongTurn::of_programs("program", "program")
            };
            let client = Client {
                lifetime: Some(lifetime(turn.duration, RETENTION)),
                ..Client::new(&world)
            };
            turn.play(&world, &client).await;
            world.ended.set(true);
        });
    }
}

/// Guards against the loss of a conversation after an operator has raised the retention of a route: turns of
/// an ended program were retained by the retention of the turns before the change.
#[test]
fn the_turns_of_an_ended_program_are_retained_by_a_raised_retention() {
    const RAISED_RETENTION: Duration = Duration::from_secs(300);
    run(async {
        let world = start_world(4, 6).await;
        let client = Client::new(&world);
        let (ended, successor) = disjoint_programs(&world);
        let first = client.begin(&ended, "first", None).await;
        client.end(&first).await;
        let second = client.begin(&successor, "second", Some("first")).await;
        client.end(&second).await;
        let client = Client {
            lifetime: Some(lifetime(TIMEOUT, RAISED_RETENTION)),
            retention: RAISED_RETENTION,
            ..client
        };
        let third = client.begin(&successor, "third", Some("second")).await;
        client.end(&third).await;
        tokio::time::sleep(RAISED_RETENTION - RETENTION).await;
        let fourth = client.begin(&successor, "fourth", Some("third")).await;
        assert_eq!(&*fourth.history, b"first;second;third;");
        world.ended.set(true);
    });
}
