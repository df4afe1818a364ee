//! What rounds wait for. A round's marks are one proposal for each group that they belong to; what leaves by
//! the round is held until those and the ones of all earlier rounds are decided, so that everything leaves in
//! the order decided. Rounds go on meanwhile, up to a bound.

use std::collections::{BTreeSet, VecDeque};

use plankhill_raft_groups::GroupId;

/// Rounds that wait at most, and the bytes of their commands; past either nothing more is taken.
const MOST_ROUNDS: usize = 512;
const MOST_BYTES: usize = 16 << 20;

pub struct CommitPipeline<E> {
    rounds: VecDeque<Round<E>>,
    bytes: usize,
}

struct Round<E> {
    /// Those not decided yet.
    waits: BTreeSet<(GroupId, u64)>,
    bytes: usize,
    void: BTreeSet<GroupId>,
    counts: BTreeSet<GroupId>,
    effects: E,
}

/// A round of which all is decided.
#[derive(Debug, PartialEq)]
pub struct ReleasedIteration<E> {
    pub effects: E,
    /// Of these groups something surely never counts: what hangs on them does not leave.
    void: BTreeSet<GroupId>,
    counts: BTreeSet<GroupId>,
}

/// What became of a round's marks in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    Committed,
    /// None of it ever does.
    Discarded,
    /// Some of it does, and nobody was told which.
    Partial,
}

impl<E> ReleasedIteration<E> {
    /// What is to leave, and what became of what it waited for.
    pub fn split(self) -> (E, ReleasedIteration<()>) {
        (
            self.effects,
            ReleasedIteration {
                effects: (),
                void: self.void,
                counts: self.counts,
            },
        )
    }

    /// Of a group that the round marked nothing in, all that there is counts.
    pub fn outcome_in(&self, group: GroupId) -> CommitOutcome {
        match (self.void.contains(&group), self.counts.contains(&group)) {
            (false, _) => CommitOutcome::Committed,
            (true, false) => CommitOutcome::Discarded,
            (true, true) => CommitOutcome::Partial,
        }
    }
}

impl<E> Default for CommitPipeline<E> {
    fn default() -> Self {
        CommitPipeline {
            rounds: VecDeque::new(),
            bytes: 0,
        }
    }
}

impl<E> CommitPipeline<E> {
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Whether takes are to be refused until some of it is decided; `more` bytes are about to be proposed.
    pub fn is_full(&self, more: usize) -> bool {
        self.rounds.len() >= MOST_ROUNDS || self.bytes + more >= MOST_BYTES
    }

    /// A round that proposed these, so many bytes in all.
    pub fn push(
        &mut self,
        waits: impl IntoIterator<Item = (GroupId, u64)>,
        bytes: usize,
        effects: E,
    ) {
        let (void, counts) = (BTreeSet::new(), BTreeSet::new());
        self.bytes += bytes;
        self.rounds.push_back(Round {
            waits: waits.into_iter().collect(),
            bytes,
            void,
            counts,
            effects,
        });
    }

    pub fn committed(&mut self, group: GroupId, number: u64) {
        self.decided(group, number, true);
    }

    pub fn discarded(&mut self, group: GroupId, number: u64) {
        self.decided(group, number, false);
    }

    fn decided(&mut self, group: GroupId, number: u64, counts: bool) {
        let waits = self
            .rounds
            .iter_mut()
            .find(|round| round.waits.contains(&(group, number)));
        if let Some(round) = waits {
            round.waits.remove(&(group, number));
            if counts {
                &mut round.counts
            } else {
                &mut round.void
            }
            .insert(group);
        }
    }

    /// The next round that waits for nothing, nor does one before it.
    pub fn release(&mut self) -> Option<ReleasedIteration<E>> {
        self.rounds.front().filter(|round| round.waits.is_empty())?;
        let Round {
            bytes,
            void,
            counts,
            effects,
            ..
        } = self.rounds.pop_front()?;
        self.bytes -= bytes;
        Some(ReleasedIteration {
            effects,
            void,
            counts,
        })
    }

    /// Whether a round still waits for something of the group.
    pub fn awaits_group(&self, group: GroupId) -> bool {
        self.rounds
            .iter()
            .any(|round| round.waits.iter().any(|(of, _)| *of == group))
    }

    /// The group is led no more: no round waits for it, and what hangs on it never leaves with its round.
    /// `parts` is handed each number that was not decided yet, with its round's effects.
    pub fn abandon_group(&mut self, group: GroupId, mut parts: impl FnMut(u64, &mut E)) {
        for round in &mut self.rounds {
            let numbers: Vec<u64> = round
                .waits
                .iter()
                .filter(|(of, _)| *of == group)
                .map(|(_, number)| *number)
                .collect();
            for number in numbers {
                round.waits.remove(&(group, number));
                round.void.insert(group);
                parts(number, &mut round.effects);
            }
        }
    }

    /// What has not left yet, in the order in which it will.
    pub fn pending_effects(&mut self) -> impl Iterator<Item = &mut E> {
        self.rounds.iter_mut().map(|round| &mut round.effects)
    }
}
