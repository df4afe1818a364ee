//! The chain in a simulated world.

mod days;
mod long_cuts;
mod outage;
mod planted;
mod scenes;
mod second_losses;
mod world;
