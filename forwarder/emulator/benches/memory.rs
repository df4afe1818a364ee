//! Memory of a pending event in the model, its checker and the module together. All destinations are
//! down, so that events accumulate; the allocator counts the bytes.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use plankhill_emulator::World;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;

struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: delegates to the system's allocator, and counts.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn main() {
    println!("destinations  forwarders       events     bytes per event  bytes per forwarder destination");
    for (destinations, forwarders) in [(100, 3), (1000, 3), (10_000, 3), (1000, 30)] {
        let idle = bytes(destinations, forwarders, 1);
        let full = bytes(destinations, forwarders, 8);
        let events = full.1 - idle.1;
        let each = (full.0 - idle.0) as f64 / events as f64;
        let per_destination = idle.0 as f64 / (destinations * forwarders) as f64;
        println!(
            "{destinations:12} {forwarders:11} {events:12} {each:19.0} {per_destination:32.0}"
        );
    }
}

/// The bytes in use once `each` events per forwarder and destination have accumulated, and the number
/// of pending events.
fn bytes(destinations: usize, forwarders: usize, each: usize) -> (usize, usize) {
    let text = format!(
        r#"
about = "memory"
length = 20000.0
memory_mb = 20000.0
[forwarders]
count = {forwarders}
room = 10000000
[rules]
pings = false
[clients]
rate = 0.0
[[traffic]]
name = "status"
effect = "retriable"
soft_limit = 1000.0
patience = 1000000.0
payoff = 1.0
share = 1.0
[[destinations]]
name = "partners"
count = {destinations}
targets = 3
[[troubles]]
kind = "down"
start = 0.0
length = 1000000.0
[[troubles]]
kind = "mass_wake"
start = 1.0
length = 10000.0
strength = {}.0
"#,
        each * forwarders
    );
    let text = Text::parse("memory".into(), text).expect("TOML");
    let day = Scenario::read(&text).expect("right");
    let before = IN_USE.load(Ordering::Relaxed);
    let mut world = World::new(&day);
    while world.now() < 19_000.0 && world.step() {}
    (
        IN_USE.load(Ordering::Relaxed) - before,
        world.pending_events(),
    )
}
