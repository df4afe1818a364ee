//! Random numbers for incarnations, request numbers and the member's own generator.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// Returns a random number derived from the hash keys that the standard library seeds from the
/// operating system.
pub(crate) fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
