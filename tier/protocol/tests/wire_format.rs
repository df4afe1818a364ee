//! Pins the bytes of every message of this package: a build that writes other bytes, or that reads
//! the pinned ones as another value, cannot work beside the builds that are in service.
//!
//! Each file below `tests/wire_format/` holds one line `Name hex` for each value. The bytes were
//! written by the build that the tier had before its code was renamed for readers, and are not
//! rewritten by any test.
//!
//! A value of each variant is listed once; [`Pinned::variant`] matches without a wildcard, so that
//! a new variant does not compile before somebody has looked here.

mod common;
#[path = "wire_format/frames.rs"]
mod frames;
#[path = "wire_format/messages.rs"]
mod messages;
#[path = "wire_format/pinned.rs"]
mod pinned;
#[path = "wire_format/values.rs"]
mod values;
