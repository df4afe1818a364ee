//! Splits the connections of one pool: first over members, then each member's share over forwarders. The split is a
//! pure function: the same demands give the same shares, in whatever order they were received. Called by the lease
//! issuer.

mod borrowing;
mod max_min;

use std::collections::BTreeMap;

use crate::language::lending::reachable_borrowers;
use crate::language::tree::Over;
use crate::language::PoolTerms;

use borrowing::Borrowing;
pub use max_min::{max_min_shares, Claim, MaxMinShares};

/// The connections that one forwarder wants in a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwarderDemand {
    /// Connections by member, in the order of the policy's members. Members missing at the end want none.
    pub members: Vec<u32>,
    /// Connections for health checks and trials.
    pub trials: u32,
    /// Standing share: connections that the forwarder has even without a lease.
    pub standing: u32,
    /// Whether the forwarder is in the zone of the pool's target.
    pub is_near: bool,
}

/// One forwarder's share, in connections.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Connections by member.
    pub members: Vec<u32>,
    /// Connections for health checks and trials.
    pub trials: u32,
}

impl Share {
    /// All connections of the share.
    pub fn total(&self) -> u32 {
        self.members.iter().sum::<u32>() + self.trials
    }
}

/// The member and forwarder that a rounding error belongs to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CarryKey {
    /// A member's position; the number of members denotes trials.
    pub member: usize,
    /// A forwarder's position.
    pub forwarder: u16,
}

/// Accumulated rounding errors, in connections.
pub type RoundingCarry = BTreeMap<CarryKey, f64>;

/// Splits a pool over the forwarders that have demands, keyed by their position among all instances. `standing` is the
/// sum of all standing shares, those of forwarders without demands included; these are subtracted first. `carry` holds
/// the accumulated rounding errors before the split, and is replaced by those after it.
pub fn split(
    terms: &PoolTerms,
    standing: u32,
    demands: &BTreeMap<u16, ForwarderDemand>,
    carry: &mut RoundingCarry,
) -> BTreeMap<u16, Share> {
    let count = terms.members.len();
    let mut shares: BTreeMap<u16, Share> = demands
        .iter()
        .map(|(id, demand)| (*id, standing_share(count, demand)))
        .collect();
    let standing_by_member: Vec<u32> = (0..count)
        .map(|member| shares.values().map(|share| share.members[member]).sum())
        .collect();
    // A standing connection that its forwarder does not use is not available to the others.
    let unused = standing.saturating_sub(standing_by_member.iter().sum());
    let free = terms
        .connections
        .saturating_sub(terms.reserve)
        .saturating_sub(unused);
    let wanted = wanted_by_member(count, demands);
    let totals = split_over_members(terms, free, &standing_by_member, &wanted);
    let mut rounding = Rounding {
        before: carry,
        after: RoundingCarry::new(),
    };
    for (member, total) in totals.into_iter().enumerate() {
        let claims = shares.iter().map(|(id, share)| {
            let demand = &demands[id];
            let wanted = demand.members.get(member).copied().unwrap_or(0);
            let claim = forwarder_claim(terms.over, share.members[member], wanted);
            ForwarderClaim {
                id: *id,
                is_near: demand.is_near,
                claim,
            }
        });
        let claims = claims.collect();
        for (id, connections) in
            split_over_forwarders(terms.over, total, claims, member, &mut rounding)
        {
            shares.entry(id).or_default().members[member] = connections;
        }
    }
    let trials = demands.iter().filter(|(_, demand)| demand.trials > 0);
    let claims = trials.map(|(id, demand)| ForwarderClaim {
        id: *id,
        is_near: demand.is_near,
        claim: forwarder_claim(Over::Evenly, 0, demand.trials),
    });
    let claims = claims.collect();
    for (id, connections) in
        split_over_forwarders(Over::Evenly, terms.reserve, claims, count, &mut rounding)
    {
        shares.entry(id).or_default().trials = connections;
    }
    *carry = rounding.after;
    shares
}

/// How a forwarder divides its standing share over its members: evenly, up to what each wants.
fn standing_share(count: usize, demand: &ForwarderDemand) -> Share {
    let claims = (0..count).map(|member| Claim {
        weight: 1.0,
        min: 0,
        max: demand.members.get(member).copied().unwrap_or(0),
        carry: 0.0,
    });
    let claims: Vec<Claim> = claims.collect();
    Share {
        members: max_min_shares(demand.standing, &claims).shares,
        trials: 0,
    }
}

fn wanted_by_member(count: usize, demands: &BTreeMap<u16, ForwarderDemand>) -> Vec<u32> {
    let wanted = (0..count).map(|member| {
        demands
            .values()
            .filter_map(|demand| demand.members.get(member))
            .sum()
    });
    wanted.collect()
}

/// The members' shares: each member gets what it wants out of its own share, then unused connections are lent.
/// `standing` is the number of connections that each member has without a lease.
fn split_over_members(terms: &PoolTerms, free: u32, standing: &[u32], wanted: &[u32]) -> Vec<u32> {
    let members = || terms.members.iter().zip(standing);
    let claims = members().map(|(member, standing)| Claim {
        weight: f64::from(member.weight),
        min: member.floor.min(member.ceiling).max(*standing),
        max: member.ceiling.max(*standing),
        carry: 0.0,
    });
    let claims: Vec<Claim> = claims.collect();
    let own_shares = max_min_shares(free, &claims).shares;
    let wanted: Vec<u32> = wanted
        .iter()
        .zip(&claims)
        .map(|(wanted, claim)| (*wanted).min(claim.max))
        .collect();
    let mut shares: Vec<u32> = own_shares
        .iter()
        .zip(&wanted)
        .map(|(own, wanted)| (*own).min(*wanted))
        .collect();
    let unused = own_shares
        .iter()
        .zip(&shares)
        .map(|(own, share)| own - share)
        .collect();
    let weights: Vec<u32> = terms.members.iter().map(|member| member.weight).collect();
    Borrowing::new(unused, &reachable_borrowers(&terms.members)).raise_shares(
        &mut shares,
        &wanted,
        &weights,
    );
    shares
}

fn forwarder_claim(over: Over, standing: u32, wanted: u32) -> Claim {
    let weight = match over {
        Over::ByDemand => f64::from(wanted),
        Over::Evenly | Over::ByZone => 1.0,
    };
    Claim {
        weight,
        min: standing,
        max: wanted.max(standing),
        carry: 0.0,
    }
}

/// A forwarder's claim on a member's share.
struct ForwarderClaim {
    id: u16,
    is_near: bool,
    claim: Claim,
}

/// The accumulated rounding errors before and after a split.
struct Rounding<'a> {
    before: &'a RoundingCarry,
    after: RoundingCarry,
}

fn split_over_forwarders(
    over: Over,
    total: u32,
    claims: Vec<ForwarderClaim>,
    member: usize,
    rounding: &mut Rounding,
) -> Vec<(u16, u32)> {
    let (near, far): (Vec<ForwarderClaim>, Vec<ForwarderClaim>) = claims
        .into_iter()
        .partition(|claim| claim.is_near || over != Over::ByZone);
    // The standing connections of far forwarders are not available to near ones.
    let reserved_for_far: u32 = far.iter().map(|far| far.claim.min).sum();
    let mut left = total;
    let mut shares = Vec::new();
    for (group, reserved) in [(near, reserved_for_far), (far, 0)] {
        let claims = group.iter().map(|forwarder| {
            let key = CarryKey {
                member,
                forwarder: forwarder.id,
            };
            let carry = rounding.before.get(&key).copied().unwrap_or(0.0);
            Claim {
                carry,
                ..forwarder.claim
            }
        });
        let claims: Vec<Claim> = claims.collect();
        let divided = max_min_shares(left.saturating_sub(reserved), &claims);
        let divided = divided.shares.into_iter().zip(divided.carry);
        for (forwarder, (share, carry)) in group.iter().zip(divided) {
            left = left.saturating_sub(share);
            shares.push((forwarder.id, share));
            if carry != 0.0 {
                rounding.after.insert(
                    CarryKey {
                        member,
                        forwarder: forwarder.id,
                    },
                    carry,
                );
            }
        }
    }
    shares
}
