//! The folder of an instance, and the thread that writes it.
//!
//! | module | holds |
//! | --- | --- |
//! | `atomic_file` | files that are replaced as a whole |
//! | `identity` | whose folder it is, and which start of it this is |
//! | `known_starts` | the starts of other instances' folders that were heard of |
//! | `group_files` | which groups have a file here, and under which names |
//! | `group_log` | one group's file |
//! | `thread` | the disk's thread |

mod atomic_file;
pub mod group_files;
pub mod group_log;
pub mod identity;
pub mod known_starts;
pub mod thread;
