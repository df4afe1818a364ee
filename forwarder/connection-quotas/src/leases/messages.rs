//! Messages between holders and issuers, and the commands of the control group's log. All are encoded by postcard, whose
//! format depends on the order of variants and fields.

use serde::{Deserialize, Serialize};

use crate::language::{Facts, PoolId};

/// A forwarder of the fleet, by its name in the fleet file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Instance(pub String);

/// Identifies one start of an instance's process. A lease that was granted to one incarnation does not apply to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberIncarnation(pub u64);

/// The number of a lease. Numbers of an instance's leases increase.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseNumber(pub u64);

/// Maximum number of pools in a report or a lease.
pub const MAX_POOLS: usize = 4_096;

/// A holder's report of its demands, which also requests a lease.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// The reporting instance.
    pub instance: Instance,
    /// The incarnation of the instance.
    pub incarnation: MemberIncarnation,
    /// The report's number, counted per incarnation. A grant names the report that it answers.
    pub number: u64,
    /// The lease that the holder has closed connections down to. It never again relies on an earlier one.
    pub closed_to: LeaseNumber,
    /// The edition of the newest policy that the holder has received and closed connections down to.
    pub edition: u64,
    /// The demands, by pool.
    pub demands: Vec<PoolDemand>,
}

/// The demand on one pool, in connections.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolDemand {
    /// The facts that determine the pool.
    pub facts: Facts,
    /// Connections by member, in the order of the policy's members.
    pub members: Vec<u32>,
    /// Connections for health checks and trials.
    pub trials: u32,
}

/// A command of the control group's log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// A new policy.
    Policy {
        /// The complete policy text.
        text: String,
        /// The instances that the policy applies to, with their zones.
        instances: Vec<(Instance, String)>,
    },
    /// All instances have received the newest policy: from now on it alone determines the standing shares.
    Settled {
        /// The edition of the newest policy.
        edition: u64,
    },
    /// A lease.
    Grant(Grant),
    /// All leases of an instance up to a number have expired.
    Ended {
        /// The instance.
        instance: Instance,
        /// The number of the last expired lease.
        number: LeaseNumber,
    },
}

/// A lease on shares of pools. In a pool that the lease does not name, the instance has only its standing share.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// The holder.
    pub instance: Instance,
    /// The incarnation of the holder.
    pub incarnation: MemberIncarnation,
    /// The number of the report that the grant answers. The time to live starts when that report was made.
    pub report: u64,
    /// The lease that the holder had closed connections down to, according to that report.
    pub closed_to: LeaseNumber,
    /// The edition of the policy that the shares are computed by.
    pub edition: u64,
    /// The lease's number.
    pub number: LeaseNumber,
    /// The time to live, in milliseconds of the holder's clock.
    pub ttl: f64,
    /// The time for which the issuer counts the lease beyond `ttl`, in milliseconds of a clock without drift: by then a
    /// stalled process has been killed, and its connections are closed.
    pub grace: f64,
    /// The maximum drift of either clock, fast or slow, as a fraction.
    pub drift: f64,
    /// The shares, by pool.
    pub pools: Vec<PoolGrant>,
}

/// A share of one pool, in connections.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolGrant {
    /// The pool.
    pub pool: PoolId,
    /// The pool's facts, as the issuer has combined them.
    pub facts: Facts,
    /// Connections by member, in the order of the policy's members.
    pub members: Vec<u32>,
    /// Connections for health checks and trials.
    pub trials: u32,
}

impl PoolGrant {
    /// All connections of the share.
    pub fn total(&self) -> u32 {
        self.members
            .iter()
            .fold(self.trials, |sum, share| sum.saturating_add(*share))
    }
}

/// Maximum valid `ttl` and `grace` of a grant, in milliseconds.
const MAX_TIME_MS: f64 = 1e9;

impl Grant {
    /// The time after its commit in which the lease may still be held, in milliseconds of the issuer's clock.
    pub fn counted_for(&self) -> f64 {
        (self.ttl + self.grace) * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Whether all numbers of the grant are within their valid ranges.
    pub fn is_valid(&self) -> bool {
        let is_valid_time = |ms: f64| (0.0..=MAX_TIME_MS).contains(&ms);
        is_valid_time(self.ttl)
            && is_valid_time(self.grace)
            && (0.0..=0.5).contains(&self.drift)
            && self.pools.len() <= MAX_POOLS
    }
}

/// Encodes a value as sent on the wire and stored in the log.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("serializing to memory does not fail")
}

/// Decodes a value; `None` if the bytes are not the encoding of exactly one `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}
