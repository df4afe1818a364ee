//! How a running forwarder hands over to a new version of it. `roles` decides, without I/O, what each of the
//! two does next; `words` is what they say to each other; `passage` carries that over a Unix socket, with
//! descriptors; `lock` is held by the process that decides. docs/operations.md tells the whole way.

mod lock;
mod passage;
mod roles;
mod words;

pub use lock::Lock;
pub use passage::{bind, connect, Ears, Passage};
pub use roles::{Does, Elder, Happens, Heir};
pub use words::{Event, Handed, Names, State, Verdict, Word, VERSION};
