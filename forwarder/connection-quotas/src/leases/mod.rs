//! Shares of quotas as leases: a table that a replicated log makes, an issuer that leads, and holders. None of them
//! reads a clock: each is told its own side's, in milliseconds that only grow.
//!
//! Why the sum of what may be open stays within a quota, over any losses:
//! - The table counts for each instance the most of all leases that may still be held, and what it has without one. A
//!   lease that would pass the quota changes nothing.
//! - A holder counts a lease from before it asked for it, the issuer from after it was committed.
//! - A lease is removed when its holder has said that it has closed down to a later one, or when its issuer has waited
//!   it out: its time to live, the time in which a process that stands still is ended, and the drift of both clocks.
//! - A new issuer waits out all leases that it finds from its own beginning.
//!
//! | module | job |
//! | --- | --- |
//! | `messages` | what holders and issuers send, and the commands of the log |
//! | `lease_table` | what the log has come to, and whether one more lease fits |
//! | `standing` | what an instance has without a lease |
//! | `issuer` | leases for those who ask, on the instance that leads |
//! | `holder` | what an instance may have open |
//! | `demand` | what an instance wants |

mod demand;
mod holder;
mod issuer;
mod lease_table;
mod messages;
mod standing;

pub use demand::Demand;
pub use holder::{Allowance, LeaseHolder};
pub use issuer::LeaseIssuer;
pub use lease_table::{CorruptSnapshot, Lease, LeaseTable, Outcome, MAX_OPEN_LEASES};
pub use messages::{
    decode, encode, Command, Grant, Instance, LeaseNumber, MemberIncarnation, PoolDemand,
    PoolGrant, Report, MAX_POOLS,
};
pub use standing::standing;
