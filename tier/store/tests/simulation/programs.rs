//! What clients have seen, and what must hold of it.

use std::collections::BTreeMap;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use tokio::time::Instant;

/// How long turns are kept in this world.
pub const RETENTION: Duration = Duration::from_secs(60);

/// What clients know of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    pub most: u64,
    /// Tokens handed to the client so far.
    pub handed: u64,
    /// Whether the client knows that it is settled.
    pub settled: bool,
}

/// A turn that was answered whole.
#[derive(Clone, Debug)]
pub struct Answered {
    pub turn: RequestId,
    pub program: ProgramId,
    pub history: Vec<u8>,
    pub at: Instant,
}

#[derive(Default)]
pub struct Programs {
    pub budgets: BTreeMap<ProgramId, u64>,
    pub turns: BTreeMap<ProgramId, BTreeMap<RequestId, Turn>>,
    pub answered: Vec<Answered>,
    pub begun: u64,
    pub spent: u64,
    pub unsure: u64,
}

impl Programs {
    pub fn budget(&self, program: &ProgramId) -> u64 {
        self.budgets.get(program).copied().unwrap_or(0)
    }

    pub fn turn(&mut self, program: &ProgramId, turn: &RequestId) -> &mut Turn {
        let turns = self.turns.entry(program.clone()).or_default();
        turns.entry(turn.clone()).or_insert(Turn {
            most: 0,
            handed: 0,
            settled: false,
        })
    }

    /// Tokens are handed to a client.
    pub fn hand(&mut self, program: &ProgramId, turn: &RequestId, tokens: u64) {
        self.turn(program, turn).handed += tokens;
        let handed: u64 = self.turns[program].values().map(|turn| turn.handed).sum();
        let budget = self.budget(program);
        assert!(
            handed <= budget,
            "BUDGET: {program} was handed {handed} of {budget}"
        );
    }

    /// What counts of each turn: of those that a client does not know to be settled their most.
    pub fn counted(&self, program: &ProgramId) -> BTreeMap<RequestId, u64> {
        let turns = self.turns.get(program).into_iter().flatten();
        turns
            .map(|(name, turn)| {
                (
                    name.clone(),
                    if turn.settled { turn.handed } else { turn.most },
                )
            })
            .collect()
    }

    /// A turn was refused because the budget is spent. `before` is what counted when it was asked for: others
    /// may have been settled while the answer was on its way.
    pub fn refused(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        before: &BTreeMap<RequestId, u64>,
    ) {
        self.spent += 1;
        let most = self.turn(program, turn).most;
        let others = self
            .counted(program)
            .into_iter()
            .filter(|(other, _)| other != turn);
        let turns = &self.turns[program];
        // One that began since counted at its most for a while.
        let at_most = |other: &RequestId| before.get(other).copied().unwrap_or(turns[other].most);
        let counted: u64 = others
            .map(|(other, tokens)| tokens.max(at_most(&other)))
            .sum();
        let budget = self.budget(program);
        assert!(
            counted + most > budget,
            "REFUSED: {program} has {counted} of {budget}, one asks {most}"
        );
    }

    /// No such turn, a store said.
    pub fn absent(&self, previous: &RequestId) {
        let known = self
            .answered
            .iter()
            .find(|answered| answered.turn == *previous);
        if let Some(known) = known.filter(|known| known.at.elapsed() < RETENTION) {
            panic!("LOST: {previous}, answered {:?} ago", known.at.elapsed());
        }
    }

    /// A turn began with this history.
    pub fn began(&mut self, previous: Option<&RequestId>, history: &[u8]) {
        self.begun += 1;
        let Some(previous) = previous else {
            assert!(history.is_empty(), "UNASKED: a history for the first turn");
            return;
        };
        let known = self
            .answered
            .iter()
            .find(|answered| answered.turn == *previous);
        let known = known.unwrap_or_else(|| panic!("UNASKED: {previous} names no turn"));
        assert!(
            known.history == history,
            "UNASKED: another history for {previous}"
        );
    }
}
