//! Repair of replicas that have missed updates.
//!
//! A store that sees another one miss an update keeps a hint ([`hints`]) and delivers the update once the
//! other one is back ([`delivery`]): hinted handoff. Hints are best effort; a store that starts also
//! compares with the others ([`catch_up`]), which repairs what no hint names.

mod catch_up;
mod delivery;
mod hints;
