//! What holders and givers say, as it goes over the wire and into the log: postcard over these.

use serde::{Deserialize, Serialize};

use crate::language::{Facts, PoolId};

/// A forwarder of the fleet, by the name that the fleet file gives it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Instance(pub String);

/// Drawn anew by each start of a process: what one start was given, another does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberIncarnation(pub u64);

/// The number of a lease: each one of an instance has a higher one than those before it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Number(pub u64);

/// As many pools can be named in a report or a lease.
pub const MOST_POOLS: usize = 4_096;

/// A holder tells what it wants, and with that asks for a lease.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Report {
    pub instance: Instance,
    pub life: MemberIncarnation,
    /// Counts the reports of this life. A lease names the one that it answers.
    pub asked: u64,
    /// It has closed down to this lease, and will never again rely on an earlier one.
    pub closed: Number,
    /// The edition of the newest policy that it has heard.
    pub edition: u64,
    pub wants: Vec<WantsOf>,
}

/// What is wanted of one pool, in connections.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct WantsOf {
    pub facts: Facts,
    /// By member, in the order of the policy's members.
    pub members: Vec<u32>,
    pub trials: u32,
}

/// What the log of the giving group is made of.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Command {
    /// A policy in its whole text, and the instances that it is for: name and zone.
    Policy {
        text: String,
        instances: Vec<(Instance, String)>,
    },
    /// All instances have heard the newest policy: what stands without a lease is from now on by it alone.
    Settled {
        edition: u64,
    },
    Grant(Grant),
    /// Its giver has waited out all leases of an instance up to this one.
    Ended {
        instance: Instance,
        number: Number,
    },
}

/// A lease on parts of pools; in pools that it does not name, what stands without one is all there is.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    pub instance: Instance,
    pub life: MemberIncarnation,
    /// The report that it answers: the lease is counted from when that one was made.
    pub asked: u64,
    /// What the holder had closed down to, in that report.
    pub closed: Number,
    pub edition: u64,
    pub number: Number,
    /// Milliseconds of the holder's clock.
    pub lasts: f64,
    /// For how much longer the giver counts it, in milliseconds of a true clock: by then a process that stands
    /// still has been ended, and its connections with it.
    pub grace: f64,
    /// By how much either clock may go fast or slow, as a share.
    pub drift: f64,
    pub parts: Vec<PartOf>,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PartOf {
    pub pool: PoolId,
    pub facts: Facts,
    pub members: Vec<u32>,
    pub trials: u32,
}

impl PartOf {
    pub fn all(&self) -> u32 {
        self.members
            .iter()
            .fold(self.trials, |sum, part| sum.saturating_add(*part))
    }
}

impl Grant {
    /// For how long, on the giver's clock, the lease may still be held by someone.
    pub fn counted_for(&self) -> f64 {
        (self.lasts + self.grace) * (1.0 + self.drift) / (1.0 - self.drift)
    }

    /// Whether it can be reckoned with at all.
    pub fn is_sound(&self) -> bool {
        let times = [self.lasts, self.grace];
        times.iter().all(|ms| (0.0..=1e9).contains(ms))
            && (0.0..=0.5).contains(&self.drift)
            && self.parts.len() <= MOST_POOLS
    }
}

/// Bytes for the wire or the log.
pub fn encode<T: Serialize>(what: &T) -> Vec<u8> {
    // It fails where a type can't say its length beforehand: none of these.
    postcard::to_stdvec(what).unwrap_or_default()
}

/// None if the bytes are not exactly one of these.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::take_from_bytes(bytes)
        .ok()
        .filter(|(_, rest)| rest.is_empty())
        .map(|(what, _)| what)
}
