//! Pins the bytes of every message of this package: a build that encodes other bytes, or decodes
//! the pinned bytes to another value, is incompatible with the deployed builds.
//!
//! Each `.txt` file below `tests/wire_format/` has one line `Name hex` for each value. The bytes
//! were written by a build that precedes the renaming of identifiers in the code; no test rewrites
//! them.
//!
//! A value of each variant is listed once; [`Pinned::variant`] matches without a wildcard, so that
//! a new variant causes a compile error here.

mod common;
#[path = "wire_format/frames.rs"]
mod frames;
#[path = "wire_format/messages.rs"]
mod messages;
#[path = "wire_format/pinned.rs"]
mod pinned;
#[path = "wire_format/values.rs"]
mod values;
