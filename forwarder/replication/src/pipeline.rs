//! Decides when the effects of an event loop iteration are released. An iteration's records are one proposal
//! to each group that they belong to. Its effects (responses, commands, notices) are retained until these
//! proposals and those of all earlier iterations are committed or discarded, so that effects are released in
//! the order in which they were decided. The event loop continues meanwhile, up to a bound.

use std::collections::{BTreeSet, VecDeque};

use plankhill_raft_groups::GroupId;

/// Iterations that may be retained; at that many, no event is accepted.
const MAX_ITERATIONS: usize = 512;
/// Bytes of commands that retained iterations may have proposed; at that many, no event is accepted.
const MAX_COMMAND_BYTES: usize = 16 << 20;

/// The iterations whose effects are not released, oldest first. `E` is the type of the effects.
pub struct CommitPipeline<E> {
    iterations: VecDeque<Iteration<E>>,
    command_bytes: usize,
}

struct Iteration<E> {
    /// Proposals without an outcome, by group and number.
    undecided: BTreeSet<(GroupId, u64)>,
    command_bytes: usize,
    groups: GroupOutcomes,
    effects: E,
}

/// The groups in which some of an iteration's proposals were committed, and those in which some were
/// discarded.
#[derive(Debug, Default, PartialEq)]
struct GroupOutcomes {
    committed: BTreeSet<GroupId>,
    discarded: BTreeSet<GroupId>,
}

/// An iteration of which every proposal has its outcome.
#[derive(Debug, PartialEq)]
pub struct ReleasedIteration<E> {
    /// The effects to carry out, where their group committed them.
    pub effects: E,
    groups: GroupOutcomes,
}

/// The outcome of an iteration's records in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All of them are committed.
    Committed,
    /// None of them is committed or ever will be.
    Discarded,
    /// Some of them are committed, and it is not known which.
    Partial,
}

impl<E> ReleasedIteration<E> {
    /// Separates the effects from the outcomes on which they depend.
    pub fn split(self) -> (E, ReleasedIteration<()>) {
        (
            self.effects,
            ReleasedIteration {
                effects: (),
                groups: self.groups,
            },
        )
    }

    /// The outcome of the records in `group`; [`CommitOutcome::Committed`] if the iteration recorded nothing
    /// there, since nothing can be discarded.
    pub fn outcome_in(&self, group: GroupId) -> CommitOutcome {
        let committed = self.groups.committed.contains(&group);
        let discarded = self.groups.discarded.contains(&group);
        match (discarded, committed) {
            (false, _) => CommitOutcome::Committed,
            (true, false) => CommitOutcome::Discarded,
            (true, true) => CommitOutcome::Partial,
        }
    }
}

impl<E> Default for CommitPipeline<E> {
    fn default() -> Self {
        CommitPipeline {
            iterations: VecDeque::new(),
            command_bytes: 0,
        }
    }
}

impl<E> CommitPipeline<E> {
    /// Whether no iteration is retained.
    pub fn is_empty(&self) -> bool {
        self.iterations.is_empty()
    }

    /// Whether new events are to be rejected until some iterations are released. `more` bytes of commands are
    /// about to be proposed.
    pub fn is_full(&self, more: usize) -> bool {
        self.iterations.len() >= MAX_ITERATIONS || self.command_bytes + more >= MAX_COMMAND_BYTES
    }

    /// Retains an iteration that made these proposals (group and number), of `command_bytes` in total.
    pub fn push(
        &mut self,
        proposals: impl IntoIterator<Item = (GroupId, u64)>,
        command_bytes: usize,
        effects: E,
    ) {
        self.command_bytes += command_bytes;
        self.iterations.push_back(Iteration {
            undecided: proposals.into_iter().collect(),
            command_bytes,
            groups: GroupOutcomes::default(),
            effects,
        });
    }

    /// The group has committed this proposal.
    pub fn committed(&mut self, group: GroupId, number: u64) {
        if let Some(iteration) = self.decide(group, number) {
            iteration.groups.committed.insert(group);
        }
    }

    /// This proposal is not committed and never will be.
    pub fn discarded(&mut self, group: GroupId, number: u64) {
        if let Some(iteration) = self.decide(group, number) {
            iteration.groups.discarded.insert(group);
        }
    }

    /// Marks the proposal as decided and returns the iteration that made it.
    fn decide(&mut self, group: GroupId, number: u64) -> Option<&mut Iteration<E>> {
        self.iterations.iter_mut().find_map(|iteration| {
            let was_undecided = iteration.undecided.remove(&(group, number));
            was_undecided.then_some(iteration)
        })
    }

    /// Releases the oldest iteration, once each of its proposals has an outcome.
    pub fn release(&mut self) -> Option<ReleasedIteration<E>> {
        if !self.iterations.front()?.undecided.is_empty() {
            return None;
        }
        let iteration = self.iterations.pop_front()?;
        self.command_bytes -= iteration.command_bytes;
        Some(ReleasedIteration {
            effects: iteration.effects,
            groups: iteration.groups,
        })
    }

    /// Whether an iteration awaits a proposal of the group.
    pub fn awaits_group(&self, group: GroupId) -> bool {
        let mut undecided = self
            .iterations
            .iter()
            .flat_map(|iteration| &iteration.undecided);
        undecided.any(|(of, _)| *of == group)
    }

    /// The instance no longer leads the group: no iteration awaits its proposals, and effects that depend on
    /// them are not released with their iteration. `take_undecided` is called with the number of each
    /// proposal without an outcome and the effects of its iteration.
    pub fn abandon_group(&mut self, group: GroupId, mut take_undecided: impl FnMut(u64, &mut E)) {
        for iteration in &mut self.iterations {
            let undecided = iteration.undecided.iter().filter(|(of, _)| *of == group);
            let numbers: Vec<u64> = undecided.map(|(_, number)| *number).collect();
            for number in numbers {
                iteration.undecided.remove(&(group, number));
                iteration.groups.discarded.insert(group);
                take_undecided(number, &mut iteration.effects);
            }
        }
    }

    /// The effects that are not released yet, in the order of their release.
    pub fn pending_effects(&mut self) -> impl Iterator<Item = &mut E> {
        self.iterations
            .iter_mut()
            .map(|iteration| &mut iteration.effects)
    }
}
