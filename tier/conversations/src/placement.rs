//! Which stores hold a program, and how many of them must have answered.

use plankhill_membership::rendezvous;
use plankhill_protocol::ids::{Incarnation, ProgramId};
use plankhill_protocol::tables::{StoreMember, StoreView};

/// How many answers of a set of copies are enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Synced copies that survive the loss of as many stores as the tier bears.
    pub write: usize,
    /// Stores of which at least one holds whatever was written to `write` of them. More than half, so that
    /// stores left behind in an older view never suffice on their own.
    pub read: usize,
}

impl Quorum {
    /// For `members` stores of which `faults` may be lost at once.
    pub fn of(members: usize, faults: u32) -> Self {
        let write = copies(faults).min(members);
        let read = (members + 1 - write).max(members / 2 + 1);
        Quorum { write, read }
    }
}

/// Copies that outlast the loss of `faults` of them.
fn copies(faults: u32) -> usize {
    usize::try_from(faults)
        .unwrap_or(usize::MAX)
        .saturating_add(1)
}

/// The stores that hold a program: `2 * faults + 1` of the set, or all of a smaller one.
pub fn replicas<'a>(
    set: &'a [StoreMember],
    program: &ProgramId,
    faults: u32,
) -> Vec<&'a StoreMember> {
    let count = copies(faults).saturating_mul(2).saturating_sub(1);
    let nodes = rendezvous::top(
        program.as_str(),
        set.iter().map(|member| &member.node),
        count,
    );
    nodes
        .into_iter()
        .filter_map(|node| set.iter().find(|member| member.node == *node))
        .collect()
}

/// Whether this life of a store holds the program in the set.
pub fn holds(set: &[StoreMember], program: &ProgramId, faults: u32, store: &StoreMember) -> bool {
    replicas(set, program, faults)
        .iter()
        .any(|member| is_same(member, store))
}

/// Whether both are the same life of the same store.
pub fn is_same(one: &StoreMember, other: &StoreMember) -> bool {
    one.node == other.node && one.incarnation == other.incarnation
}

/// Whether this life of a store serves: only then what it does not hold counts as an answer.
pub fn is_serving(view: &StoreView, store: &StoreMember) -> bool {
    view.serving.iter().any(|member| is_same(member, store))
}

/// Stores to be called, each address once.
pub fn addresses<'a>(members: impl Iterator<Item = &'a StoreMember>) -> Vec<StoreMember> {
    let mut called: Vec<StoreMember> = Vec::new();
    for member in members {
        if !called.iter().any(|other| other.address == member.address) {
            called.push(member.clone());
        }
    }
    called
}

/// The answers of a program's replicas to one write.
#[derive(Clone, Debug)]
pub struct Tally {
    sets: Vec<SetTally>,
}

#[derive(Clone, Debug)]
struct SetTally {
    needed: usize,
    replicas: Vec<(StoreMember, bool)>,
}

impl Tally {
    /// Nobody has answered yet.
    pub fn new(view: &StoreView, program: &ProgramId) -> Self {
        let sets = std::iter::once(&view.serving).chain(view.next.as_ref());
        let sets = sets.map(|set| {
            SetTally::new(
                replicas(set, program, view.tolerated_faults),
                view.tolerated_faults,
            )
        });
        Tally {
            sets: sets.collect(),
        }
    }

    /// The replicas of all sets, each address once.
    pub fn members(&self) -> Vec<StoreMember> {
        addresses(
            self.sets
                .iter()
                .flat_map(|set| set.replicas.iter().map(|(member, _)| member)),
        )
    }

    /// The store that was called as `member` has written, and says which life of it that was.
    pub fn written(&mut self, member: &StoreMember, incarnation: Incarnation) {
        for set in &mut self.sets {
            for (other, written) in &mut set.replicas {
                *written |= other.node == member.node && other.incarnation == incarnation;
            }
        }
    }

    /// Whether enough of each set have written.
    pub fn is_enough(&self) -> bool {
        self.sets
            .iter()
            .all(|set| set.needed > 0 && set.count() >= set.needed)
    }
}

impl SetTally {
    fn new(replicas: Vec<&StoreMember>, faults: u32) -> Self {
        let quorum = Quorum::of(replicas.len(), faults);
        let replicas = replicas
            .into_iter()
            .map(|member| (member.clone(), false))
            .collect();
        SetTally {
            needed: quorum.write.max(quorum.read),
            replicas,
        }
    }

    fn count(&self) -> usize {
        self.replicas.iter().filter(|(_, written)| *written).count()
    }
}
