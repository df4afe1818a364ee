//! Deterministic simulation of chains in virtual time, under load and faults.

mod injected_bugs;
mod long_absences;
mod outage;
mod random_faults;
mod second_losses;
mod single_faults;
mod slow_syncs;
mod world;
