//! The chain in a simulated world.

mod days;
mod planted;
mod scenes;
mod world;
