//! Tests that the memory for chains that are read at the same time is bounded.

mod simulation;

use std::alloc::{GlobalAlloc, Layout, System};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::TurnRecord;
use plankhill_store_client::{BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient};
use simulation::machine::CHAIN_MEMORY_BYTES;
use simulation::proxy::SimulatedTransport;
use simulation::{run, SeededBug, World};
use tokio::task::JoinSet;

const SEEDS: u64 = 4;
const STORES: u64 = 3;
/// Time before the first turn, within which all stores receive their view.
const START: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Memory beside the chains: calls, rows of accounts and the like.
const OTHER_BYTES: usize = 2_000_000;

/// Counts the bytes in use, and the most since [`bytes_in_use`].
struct CountingAllocator;

static IN_USE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: delegates to the system's allocator, and counts.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let before = IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        PEAK.fetch_max(before + layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the bytes in use, from which the peak rises.
fn bytes_in_use() -> usize {
    let in_use = IN_USE.load(Ordering::Relaxed);
    PEAK.store(in_use, Ordering::Relaxed);
    in_use
}

/// A conversation whose turns have long inputs, and the turns that continue it at the same time.
struct Conversation {
    turns: usize,
    input_bytes: usize,
    continuing: usize,
}

impl Conversation {
    fn history_bytes(&self) -> usize {
        self.turns * self.input_bytes
    }

    async fn prepare(&self, stores: &StoreClient<SimulatedTransport>) {
        let mut previous = None;
        for number in 0..self.turns {
            let turn = RequestId::from(format!("turn-{number}").as_str());
            if let Some(name) = number.checked_sub(1) {
                let name = format!("turn-{name}");
                let BeginOutcome::Begun {
                    previous: found, ..
                } = begin(stores, "prepares", Some(&name)).await
                else {
                    panic!("{turn} does not begin");
                };
                previous = found;
            }
            let record = TurnRecord {
                turn: turn.clone(),
                program: ProgramId::from("program"),
                previous: previous.take(),
                input: Arc::from(vec![b'x'; self.input_bytes]),
                output: Arc::from([]),
                retention_ms: 60_000,
            };
            let end = EndTurn {
                program: ProgramId::from("program"),
                turn,
                tokens: None,
                record: Some(record),
            };
            assert_eq!(stores.end_turn(end, TIMEOUT).await, EndOutcome::Ended);
        }
    }

    /// Begins all continuing turns at once. Each proxy drops the history as soon as it has it.
    async fn continue_at_once(&self, stores: &StoreClient<SimulatedTransport>) {
        let mut begins = JoinSet::new();
        for number in 0..self.continuing {
            let stores = stores.clone();
            let newest = format!("turn-{}", self.turns - 1);
            let expected = self.history_bytes();
            begins.spawn_local(async move {
                let outcome = begin(&stores, &format!("next-{number}"), Some(&newest)).await;
                let BeginOutcome::Begun { history, .. } = outcome else {
                    panic!("next-{number} does not begin: {outcome:?}");
                };
                assert_eq!(history.len(), expected);
            });
        }
        begins.join_all().await;
    }
}

async fn begin(
    stores: &StoreClient<SimulatedTransport>,
    turn: &str,
    previous: Option<&str>,
) -> BeginOutcome {
    let begin = BeginTurn {
        program: ProgramId::from("program"),
        turn: RequestId::from(turn),
        reservation: None,
        previous: previous.map(RequestId::from),
        lifetime: None,
    };
    stores.begin_turn(begin, TIMEOUT).await
}

async fn start_world(seed: u64, tolerated_faults: u32) -> Rc<World> {
    println!("seed {seed}");
    let world = World::new(seed, STORES, tolerated_faults, SeededBug::None);
    tokio::task::spawn_local(world.clone().run_control_plane());
    tokio::time::sleep(START).await;
    world
}

/// Plays the conversation, and returns the most bytes in use while the continuing turns begin.
fn peak_bytes(seed: u64, tolerated_faults: u32, conversation: &Conversation) -> usize {
    run(async {
        let world = start_world(seed, tolerated_faults).await;
        let stores = world.store_client(0);
        conversation.prepare(&stores).await;
        let before = bytes_in_use();
        conversation.continue_at_once(&stores).await;
        world.ended.set(true);
        PEAK.load(Ordering::Relaxed) - before
    })
}

/// Checks that each store uses at most `store_bytes` for chains.
fn assert_bounded(tolerated_faults: u32, conversation: &Conversation, store_bytes: usize) {
    let bound = STORES as usize * store_bytes + OTHER_BYTES;
    for seed in 0..SEEDS {
        let peak = peak_bytes(seed, tolerated_faults, conversation);
        assert!(peak <= bound, "{peak} bytes, at most {bound}");
    }
}

/// Guards against stores that go over their memory when many turns continue a long conversation at once: each
/// begin read the whole chain, without a bound on how many did. One test, as the allocator counts all threads.
#[test]
fn the_memory_of_chains_that_are_read_at_once_is_bounded() {
    let at_replicas = Conversation {
        turns: 7,
        input_bytes: 100_000,
        continuing: 64,
    };
    assert_bounded(1, &at_replicas, CHAIN_MEMORY_BYTES);
    // With a single replica, two of three stores read the chain from the third.
    let at_other_stores = Conversation {
        turns: 4,
        input_bytes: 100_000,
        continuing: 128,
    };
    assert_bounded(0, &at_other_stores, 2 * CHAIN_MEMORY_BYTES);
    // A chain from another store that is longer than one whose size is not known in advance.
    let long = Conversation {
        turns: 9,
        input_bytes: 100_000,
        continuing: 8,
    };
    for seed in 0..SEEDS {
        peak_bytes(seed, 0, &long);
    }
}
