//! Chain replication and its membership view, without I/O: time, messages and the completion of writes come in
//! as arguments, what is to be done comes out as effects. `docs/system/chain.md` has the arguments.

mod durable;
mod effect;
mod log;
mod machine;
mod member;
mod message;
mod peers;
pub mod timing;
mod view;

pub use durable::{Acceptor, Ballot, Durable, Entry, RequestNumber, Snapshot, Storage, Write};
pub use effect::{Effect, Millis, Ticket};
pub use machine::{BadSnapshot, StateMachine};
pub use member::{ChainMember, Configuration};
pub use message::{Echo, Heartbeat, Message};
pub use view::{Identity, Member, View, ViewNumber};
