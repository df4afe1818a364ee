//! A discrete-event simulation of a fleet of forwarders in virtual time: destinations with their
//! limits, queues and outages, the network, clients, and the forwarders themselves, each with the
//! real decision module or a baseline.
//!
//! The result is determined by the seed. Nothing here does any I/O. `docs/emulator.md` describes the
//! model and what it leaves out. The command line (`plankhill emulate`) and the experiments call [`play`].

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

/// Simulates a day to its end.
pub fn play(scenario: &Scenario) -> Outcome {
    let mut world = World::new(scenario);
    while world.step() {}
    world.outcome()
}
