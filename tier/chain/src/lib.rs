//! Chain replication and its membership view, without I/O: time, messages and the completion of writes come in
//! as arguments, what is to be done comes out as effects. `docs/system/chain.md` has the arguments.

pub mod view;

pub use view::{Identity, Member, View, ViewNumber};
