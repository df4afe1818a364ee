//! The chain in a simulated world.

mod days;
mod injected_bugs;
mod long_absences;
mod outage;
mod scenes;
mod second_losses;
mod world;
