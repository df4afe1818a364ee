//! Chain replication of a state machine and the reconfiguration of the chain, without I/O.
//!
//! [`ChainMember`] is a deterministic core: it receives messages, times and disk write completions
//! as arguments and returns [`Effect`]s. `plankhill-replica` owns the disk, the connections and the
//! clock around the core; the modules below `member` implement one concern of the protocol each.
//! `docs/system/chain.md` describes the protocol and argues for its safety;
//! the protocol follows van Renesse and Schneider, "Chain Replication for Supporting High
//! Throughput and Availability" (OSDI 2004), with views that are agreed on by single-decree Paxos
//! as in Lamport, Malkhi and Zhou, "Vertical Paxos and Primary-Backup Replication" (PODC 2009).

mod acceptor;
mod age;
mod applied_state;
mod effect;
mod entry;
mod failure_detector;
mod log;
mod member;
mod message;
mod outbox;
#[cfg(feature = "planted-bugs")]
mod planted_bug;
mod replicated_log;
mod rng;
mod state_machine;
mod storage;
mod sync_times;
pub mod timing;
mod view;
mod vote;

pub use acceptor::{Acceptor, Ballot};
pub use effect::{Effect, Millis, Ticket};
pub use entry::{Entry, RequestNumber};
pub use member::{ChainMember, MemberConfig};
pub use message::{Echo, Heartbeat, Message};
#[cfg(feature = "planted-bugs")]
pub use planted_bug::PlantedBug;
pub use state_machine::{BadSnapshot, StateMachine};
pub use storage::{DurableState, Snapshot, Storage, Write};
pub use view::{Identity, Member, View, ViewNumber};
