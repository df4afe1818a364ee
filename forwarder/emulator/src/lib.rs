//! A model of all that a fleet of forwarders meets, in virtual time: destinations with their limits, queues
//! and outages, the network, clients, and the forwarders themselves, each the real decision module or a
//! baseline. One seed gives one result. Nothing here does any I/O. `docs/emulator.md` says how the model
//! is made and what it leaves out.

mod affected;
pub mod bound;
mod clients;
mod deciders;
pub mod outcome;
pub mod queue;
pub mod random;
mod rate_limiter;
mod tally;
mod world;

pub use world::World;

use outcome::Outcome;
use plankhill_forwarder_config::scenario::Scenario;

/// Plays a day to its end.
pub fn play(scenario: &Scenario) -> Outcome {
    let mut world = World::new(scenario);
    while world.step() {}
    world.outcome()
}
