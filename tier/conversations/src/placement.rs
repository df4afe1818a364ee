//! Placement of the replicas of a program.
//!
//! Every store and proxy computes the same replicas from the same view, by rendezvous hashing: adding
//! one store moves at most one replica of each program.

use plankhill_membership::rendezvous;
use plankhill_protocol::ids::ProgramId;
use plankhill_protocol::tables::{StoreMember, StoreView};

/// The replicas of a program: `2 * tolerated_faults + 1` stores of the set, or all stores of a smaller
/// set, in order of preference.
pub fn replicas<'a>(
    set: &'a [StoreMember],
    program: &ProgramId,
    tolerated_faults: u32,
) -> Vec<&'a StoreMember> {
    let count = min_replicas(tolerated_faults)
        .saturating_mul(2)
        .saturating_sub(1);
    let nodes = set.iter().map(|member| &member.node);
    let chosen = rendezvous::top(program.as_str(), nodes, count);
    chosen
        .into_iter()
        .filter_map(|node| set.iter().find(|member| member.node == *node))
        .collect()
}

/// Whether this incarnation of a store is a replica of the program in the set.
pub fn is_replica(
    set: &[StoreMember],
    program: &ProgramId,
    tolerated_faults: u32,
    store: &StoreMember,
) -> bool {
    replicas(set, program, tolerated_faults)
        .iter()
        .any(|member| is_same_incarnation(member, store))
}

/// Whether both members are the same incarnation of the same store.
pub fn is_same_incarnation(one: &StoreMember, other: &StoreMember) -> bool {
    one.node == other.node && one.incarnation == other.incarnation
}

/// Whether this incarnation of a store serves in the view. Only a serving store's report that it does
/// not have a turn counts.
pub fn is_serving(view: &StoreView, store: &StoreMember) -> bool {
    view.serving
        .iter()
        .any(|member| is_same_incarnation(member, store))
}

/// The members without those whose address occurs earlier in the sequence.
pub fn unique_addresses<'a>(members: impl Iterator<Item = &'a StoreMember>) -> Vec<StoreMember> {
    let mut unique: Vec<StoreMember> = Vec::new();
    for member in members {
        if !unique.iter().any(|other| other.address == member.address) {
            unique.push(member.clone());
        }
    }
    unique
}

/// The minimum number of replicas of which at least one survives the loss of `tolerated_faults` of
/// them.
pub(crate) fn min_replicas(tolerated_faults: u32) -> usize {
    usize::try_from(tolerated_faults)
        .unwrap_or(usize::MAX)
        .saturating_add(1)
}
