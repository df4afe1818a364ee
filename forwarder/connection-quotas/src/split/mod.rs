//! The split of one pool: first over members, then each member's part over forwarders. Pure arithmetic: the
//! same wants give the same parts, in whatever order they come.

mod fill;
mod lent;

use std::collections::BTreeMap;

use crate::language::lending::reaches;
use crate::language::tree::Over;
use crate::language::PoolTerms;

pub use fill::{fill, Vessel};

/// What one forwarder wants of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wants {
    /// Connections by member, in the order of the policy's members; missing ones want none.
    pub members: Vec<u32>,
    /// Connections for pings and trials.
    pub trials: u32,
    /// What it has for sure, without a lease too.
    pub standing: u32,
    /// It is in the zone of the pool's target.
    pub near: bool,
}

/// What one forwarder gets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Part {
    pub members: Vec<u32>,
    pub trials: u32,
}

impl Part {
    pub fn all(&self) -> u32 {
        self.members.iter().sum::<u32>() + self.trials
    }
}

/// What rounding owes forwarders: by member (trials behind the last) and forwarder, in connections.
pub type Owed = BTreeMap<(usize, u16), f64>;

/// Splits a pool over the forwarders that want something, named by their place among all instances. All
/// `standing` parts, of those that are not named too, are taken off first: `standing` is their sum.
pub fn split(
    terms: &PoolTerms,
    standing: u32,
    wants: &BTreeMap<u16, Wants>,
    owed: &mut Owed,
) -> BTreeMap<u16, Part> {
    let count = terms.members.len();
    let mut parts: BTreeMap<u16, Part> = wants
        .iter()
        .map(|(id, wants)| (*id, alone(count, wants)))
        .collect();
    let have: Vec<u32> = (0..count)
        .map(|m| parts.values().map(|part| part.members[m]).sum())
        .collect();
    // What stands aside for a forwarder that does not use it is nobody's.
    let unused = standing.saturating_sub(have.iter().sum());
    let free = terms
        .connections
        .saturating_sub(terms.reserve)
        .saturating_sub(unused);
    let totals = over_members(terms, free, &have, &total(count, wants));
    let mut all_owed = Owed::new();
    for (member, total) in totals.into_iter().enumerate() {
        let vessels = parts.iter().map(|(id, part)| {
            let want = &wants[id];
            let wanted = want.members.get(member).copied().unwrap_or(0);
            (
                *id,
                want.near,
                vessel(terms.over, part.members[member], wanted),
            )
        });
        let got = over_forwarders(
            terms.over,
            total,
            vessels.collect(),
            member,
            owed,
            &mut all_owed,
        );
        for (id, got) in got {
            parts.entry(id).or_default().members[member] = got;
        }
    }
    let trials = wants.iter().filter(|(_, wants)| wants.trials > 0);
    let vessels =
        trials.map(|(id, wants)| (*id, wants.near, vessel(Over::Evenly, 0, wants.trials)));
    for (id, got) in over_forwarders(
        Over::Evenly,
        terms.reserve,
        vessels.collect(),
        count,
        owed,
        &mut all_owed,
    ) {
        parts.entry(id).or_default().trials = got;
    }
    *owed = all_owed;
    parts
}

/// The part a forwarder makes of what it has for sure, by itself: evenly, as far as wanted.
fn alone(count: usize, wants: &Wants) -> Part {
    let vessel = |member: usize| {
        let most = wants.members.get(member).copied().unwrap_or(0);
        Vessel {
            weight: 1.0,
            least: 0,
            most,
            owed: 0.0,
        }
    };
    let vessels: Vec<Vessel> = (0..count).map(vessel).collect();
    Part {
        members: fill(wants.standing, &vessels).0,
        trials: 0,
    }
}

fn total(count: usize, wants: &BTreeMap<u16, Wants>) -> Vec<u32> {
    let of = |member: usize| {
        wants
            .values()
            .filter_map(|wants| wants.members.get(member))
            .sum()
    };
    (0..count).map(of).collect()
}

/// Members' parts: of its own share each has what it wants, then what is left over is lent.
fn over_members(terms: &PoolTerms, free: u32, have: &[u32], wants: &[u32]) -> Vec<u32> {
    let vessels = terms.members.iter().zip(have).map(|(member, have)| {
        let least = member.floor.min(member.ceiling).max(*have);
        Vessel {
            weight: f64::from(member.weight),
            least,
            most: member.ceiling.max(*have),
            owed: 0.0,
        }
    });
    let (shares, _) = fill(free, &vessels.collect::<Vec<_>>());
    let ceilings = terms
        .members
        .iter()
        .zip(have)
        .map(|(member, have)| member.ceiling.max(*have));
    let wants: Vec<u32> = wants
        .iter()
        .zip(ceilings)
        .map(|(want, ceiling)| (*want).min(ceiling))
        .collect();
    let mut parts: Vec<u32> = shares
        .iter()
        .zip(&wants)
        .map(|(share, want)| (*share).min(*want))
        .collect();
    let left = shares
        .iter()
        .zip(&parts)
        .map(|(share, part)| share - part)
        .collect();
    let weights: Vec<u32> = terms.members.iter().map(|member| member.weight).collect();
    lent::Lent::new(left, &reaches(&terms.members)).give(&mut parts, &wants, &weights);
    parts
}

fn vessel(over: Over, has: u32, wants: u32) -> Vessel {
    let weight = if over == Over::ByDemand {
        f64::from(wants)
    } else {
        1.0
    };
    Vessel {
        weight,
        least: has,
        most: wants.max(has),
        owed: 0.0,
    }
}

/// Forwarders with what each may get at the least and most, and whether it is near.
type Vessels = Vec<(u16, bool, Vessel)>;

fn over_forwarders(
    over: Over,
    total: u32,
    vessels: Vessels,
    member: usize,
    owed: &Owed,
    owed_now: &mut Owed,
) -> Vec<(u16, u32)> {
    let mut got = Vec::new();
    let (near, far): (Vessels, Vessels) = vessels
        .into_iter()
        .partition(|(_, near, _)| *near || over != Over::ByZone);
    // What those afar have for sure is not for those near.
    let kept: u32 = far.iter().map(|(_, _, vessel)| vessel.least).sum();
    let mut left = total;
    for (group, kept) in [(near, kept), (far, 0)] {
        let owing = |id: u16| owed.get(&(member, id)).copied().unwrap_or(0.0);
        let vessels: Vec<Vessel> = group
            .iter()
            .map(|(id, _, vessel)| Vessel {
                owed: owing(*id),
                ..*vessel
            })
            .collect();
        let (parts, owes) = fill(left.saturating_sub(kept), &vessels);
        for (((id, _, _), part), owes) in group.iter().zip(parts).zip(owes) {
            left = left.saturating_sub(part);
            got.push((*id, part));
            if owes != 0.0 {
                owed_now.insert((member, *id), owes);
            }
        }
    }
    got
}
