//! Repair of replicas that have missed updates.
//!
//! When a store misses an update, another store records a hint ([`hints`]) and delivers the update once
//! the first one is reachable again ([`delivery`]): hinted handoff. Hints are best effort; after a start a
//! store also compares with the others ([`catch_up`]), which repairs updates without a hint.

mod catch_up;
mod delivery;
mod hints;
