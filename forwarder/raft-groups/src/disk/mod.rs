//! The folder of an instance, and the thread that writes to it.
//!
//! | module | contents |
//! | --- | --- |
//! | `atomic_file` | atomically replaced files |
//! | `identity` | the identity of the folder and of its current start |
//! | `known_starts` | the latest known starts of other instances' folders |
//! | `group_files` | the names of the groups' files |
//! | `group_log` | the log of one group |
//! | `thread` | the disk thread |

mod atomic_file;
pub mod group_files;
pub mod group_log;
pub mod identity;
pub mod known_starts;
pub mod thread;
