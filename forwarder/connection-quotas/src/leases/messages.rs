//! What holders and issuers send, and the commands of the control group's log: in postcard's form, in which the order
//! of variants and fields is the form.

use serde::{Deserialize, Serialize};

use crate::language::{Facts, PoolId};

/// A forwarder of the fleet, by the name that the fleet file gives it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Instance(pub String);

/// Drawn by each start of a process: what one start was granted, another does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberIncarnation(pub u64);

/// The number of a lease: each one of an instance has a higher one than those before it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LeaseNumber(pub u64);

/// Pools that a report or a lease may name.
pub const MAX_POOLS: usize = 4_096;

/// A holder says what it wants, and with that asks for a lease.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Who asks.
    pub instance: Instance,
    /// Which start of it.
    pub incarnation: MemberIncarnation,
    /// Counts the reports of this incarnation. A lease names the one that it answers.
    pub number: u64,
    /// It has closed down to this lease, and never again relies on an earlier one.
    pub closed_to: LeaseNumber,
    /// The edition of the newest policy that it has received.
    pub edition: u64,
    /// What it wants, by pool.
    pub demands: Vec<PoolDemand>,
}

/// What is wanted of one pool, in connections.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolDemand {
    /// Which pool.
    pub facts: Facts,
    /// By member, in the order of the policy's members.
    pub members: Vec<u32>,
    /// For health checks and trials.
    pub trials: u32,
}

/// A command of the control group's log.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// A new policy.
    Policy {
        /// Its whole text.
        text: String,
        /// The instances that it is for: name and zone.
        instances: Vec<(Instance, String)>,
    },
    /// All instances have received the newest policy: what stands without a lease is by it alone from now on.
    Settled {
        /// Of the newest policy.
        edition: u64,
    },
    /// A lease.
    Grant(Grant),
    /// The issuer has waited out all leases of an instance up to this one.
    Ended {
        /// The instance.
        instance: Instance,
        /// The last one.
        number: LeaseNumber,
    },
}

/// A lease on shares of pools. In a pool that it does not name, the instance has only what stands without one.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Whom it is for.
    pub instance: Instance,
    /// Which start of it.
    pub incarnation: MemberIncarnation,
    /// The report that it answers: the lease counts from the making of that one.
    pub report: u64,
    /// What the holder had closed down to, in that report.
    pub closed_to: LeaseNumber,
    /// Of the policy that it is by.
    pub edition: u64,
    /// Its number.
    pub number: LeaseNumber,
    /// How long it may be relied on, in milliseconds of the holder's clock.
    pub ttl: f64,
    /// For how much longer the issuer counts it, in milliseconds of a true clock: by then a process that stands still
    /// has been ended, and its connections with it.
    pub grace: f64,
    /// By how much either clock may go fast or slow, as a share.
    pub drift: f64,
    /// The shares, by pool.
    pub pools: Vec<PoolGrant>,
}

/// A share of one pool, in connections.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PoolGrant {
    /// The pool.
    pub pool: PoolId,
    /// Its facts as the issuer knows them.
    pub facts: Facts,
    /// By member, in the order of the policy's members.
    pub members: Vec<u32>,
    /// For health checks and trials.
    pub trials: u32,
}

impl PoolGrant {
    /// All of the share.
    pub fn total(&self) -> u32 {
        self.members
            .iter()
            .fold(self.trials, |sum, share| sum.saturating_add(*share))
    }
}

/// The longest time of a lease that is taken for one, in milliseconds.
const MAX_TIME_MS: f64 = 1e9;

impl Grant {
    /// For how long, on the issuer's clock, someone may still hold the lease, in milliseconds.
    pub fn counted_for(&self) -> f64 {
        (self.ttl + self.grace) * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Whether its numbers can be reckoned with at all.
    pub fn is_sound(&self) -> bool {
        let is_time = |ms: f64| (0.0..=MAX_TIME_MS).contains(&ms);
        is_time(self.ttl)
            && is_time(self.grace)
            && (0.0..=0.5).contains(&self.drift)
            && self.pools.len() <= MAX_POOLS
    }
}

/// The form on the wire and in the log.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("writing a derived form to memory does not fail")
}

/// `None` where the bytes are not exactly one `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}
