//! The chain in a simulated world.

mod days;
mod outage;
mod planted;
mod scenes;
mod world;
