//! Retained turns of conversations and token budgets of programs, replicated over several stores;
//! without I/O.
//!
//! A conversation is a chain of turns: each turn refers to the turn that it continues. Stores
//! (`plankhill-store`) keep the turns and the budget accounts of programs on disk, replicated over
//! `2 * faults + 1` of them. This package contains the data structures of a store ([`account`],
//! [`turn_index`]), the rules that all stores apply ([`placement`], [`quorum`]), their messages
//! ([`wire`], [`peer`]) and the format of their rows on disk ([`keys`], [`rows`]). Proxies use [`wire`]
//! through `plankhill-store-client`.
//!
//! The format of messages, keys and rows is fixed: `tests/wire_format.rs` and `tests/stored_format.rs`
//! pin their bytes. Enum variants and struct fields are encoded by position and must not be reordered.

pub mod account;
pub mod keys;
pub mod peer;
pub mod placement;
pub mod quorum;
pub mod rows;
pub mod turn_index;
pub mod wire;
