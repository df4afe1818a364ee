//! Leases on shares of quotas: a table that is built from a replicated log, an issuer on the leader, and holders. None
//! of them reads a clock: the caller passes the time of a local monotonic clock, in milliseconds. These leases are
//! unrelated to the lease that the leader of a Raft group holds on the group.
//!
//! The path of a lease: the holder sends a [`Report`] of its demands to the leader, whose issuer proposes a [`Grant`].
//! Once the control group has committed the grant, every instance adds the lease to its table, and the holder takes
//! over the shares. Each later report requests the next lease.
//!
//! The sum of connections that may be open stays within a quota, whatever messages or processes are lost, because:
//! - For each instance the table counts the maximum over all leases that the instance may still hold and its standing
//!   share, which it has without a lease. A lease that would exceed the quota is refused.
//! - For the holder, the time to live of a lease starts when it made its report, before the request is sent; for the
//!   issuer it starts when the grant is committed.
//! - A lease is removed once its holder has reported that it has closed connections down to a later lease, or once the
//!   issuer has waited for its expiry: its time to live, the time after which a stalled process is killed, and the drift
//!   of both clocks.
//! - A new issuer waits for the expiry of all leases in the table, counted from its own start.
//!
//! | module | job |
//! | --- | --- |
//! | `messages` | messages between holders and issuers, and the commands of the log |
//! | `lease_table` | the state that the log's commands build up, and whether another lease fits |
//! | `standing` | the share that an instance has without a lease |
//! | `issuer` | grants leases, on the leader |
//! | `holder` | the number of connections that an instance may have open |
//! | `demand` | the number of connections that an instance wants |

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
