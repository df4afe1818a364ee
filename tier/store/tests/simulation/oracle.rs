//! The test oracle: records the outcomes that clients have observed, and checks invariants on them.

use std::collections::BTreeMap;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use tokio::time::Instant;

/// Retention of turns in the simulation.
pub const RETENTION: Duration = Duration::from_secs(60);

/// The state of a turn as observed by its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedTurn {
    pub max_tokens: u64,
    /// Tokens sent to the client so far.
    pub delivered_tokens: u64,
    /// Whether the stores have granted the turn.
    pub is_granted: bool,
    /// Whether the proxy has sent the end of the turn.
    pub is_ending: bool,
    /// Whether the end of the turn was acknowledged.
    pub is_committed: bool,
}

/// A turn that was answered completely.
#[derive(Clone, Debug)]
pub struct AnsweredTurn {
    pub turn: RequestId,
    pub program: ProgramId,
    pub history: Vec<u8>,
    pub at: Instant,
}

#[derive(Default)]
pub struct Oracle {
    pub budgets: BTreeMap<ProgramId, u64>,
    pub turns: BTreeMap<ProgramId, BTreeMap<RequestId, ObservedTurn>>,
    pub answered: Vec<AnsweredTurn>,
    pub begun: u64,
    pub rejected: u64,
    pub unavailable: u64,
}

impl Oracle {
    pub fn budget(&self, program: &ProgramId) -> u64 {
        self.budgets.get(program).copied().unwrap_or(0)
    }

    pub fn turn(&mut self, program: &ProgramId, turn: &RequestId) -> &mut ObservedTurn {
        let turns = self.turns.entry(program.clone()).or_default();
        turns.entry(turn.clone()).or_insert(ObservedTurn {
            max_tokens: 0,
            delivered_tokens: 0,
            is_granted: false,
            is_ending: false,
            is_committed: false,
        })
    }

    /// Records tokens that are sent to a client, and checks that those of the program do not exceed its
    /// budget.
    pub fn record_tokens(&mut self, program: &ProgramId, turn: &RequestId, tokens: u64) {
        self.turn(program, turn).delivered_tokens += tokens;
        let delivered_tokens: u64 = self.turns[program]
            .values()
            .map(|turn| turn.delivered_tokens)
            .sum();
        let budget = self.budget(program);
        assert!(
            delivered_tokens <= budget,
            "BUDGET: {delivered_tokens} tokens of {program} were sent; its budget is {budget}"
        );
    }

    /// Records that a turn was granted, and checks that it fits into the budget together with all others
    /// that were granted: those that have not ended may still send their maximum.
    pub fn check_grant(&mut self, program: &ProgramId, turn: &RequestId) {
        self.turn(program, turn).is_granted = true;
        let granted = self.turns[program].values().filter(|turn| turn.is_granted);
        let at_most: u64 = granted
            .map(|turn| match turn.is_ending {
                true => turn.delivered_tokens,
                false => turn.max_tokens,
            })
            .sum();
        let budget = self.budget(program);
        assert!(
            at_most <= budget,
            "BUDGET: the turns of {program} may send {at_most} tokens; its budget is {budget}"
        );
    }

    /// Returns the tokens charged for each turn: those sent if the turn's end was acknowledged, and the
    /// turn's maximum otherwise.
    pub fn charged(&self, program: &ProgramId) -> BTreeMap<RequestId, u64> {
        let turns = self.turns.get(program).into_iter().flatten();
        turns
            .map(|(name, turn)| {
                (
                    name.clone(),
                    if turn.is_committed {
                        turn.delivered_tokens
                    } else {
                        turn.max_tokens
                    },
                )
            })
            .collect()
    }

    /// Checks that the budget was exhausted for a rejected turn. `before` has the charges at the time of the
    /// request: other turns may have been committed while the reply was in flight.
    pub fn check_rejection(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        before: &BTreeMap<RequestId, u64>,
    ) {
        self.rejected += 1;
        let max_tokens = self.turn(program, turn).max_tokens;
        let others = self
            .charged(program)
            .into_iter()
            .filter(|(other, _)| other != turn);
        let turns = &self.turns[program];
        // A turn that began after the request was charged its maximum for a while.
        let at_most = |other: &RequestId| {
            before
                .get(other)
                .copied()
                .unwrap_or(turns[other].max_tokens)
        };
        let charged: u64 = others
            .map(|(other, tokens)| tokens.max(at_most(&other)))
            .sum();
        let budget = self.budget(program);
        assert!(
            charged + max_tokens > budget,
            "REJECTED: {program} is charged {charged} of {budget}, and a turn of {max_tokens} was rejected"
        );
    }

    /// Checks that a turn reported as absent was not answered within its retention.
    pub fn check_absence(&self, previous: &RequestId) {
        let known = self
            .answered
            .iter()
            .find(|answered| answered.turn == *previous);
        if let Some(known) = known.filter(|known| known.at.elapsed() < RETENTION) {
            panic!(
                "LOST: {previous} is absent, answered {:?} ago",
                known.at.elapsed()
            );
        }
    }

    /// Checks the history that a turn began with.
    pub fn check_history(&mut self, previous: Option<&RequestId>, history: &[u8]) {
        self.begun += 1;
        let Some(previous) = previous else {
            assert!(
                history.is_empty(),
                "HISTORY: the first turn of a chain has a history"
            );
            return;
        };
        let known = self
            .answered
            .iter()
            .find(|answered| answered.turn == *previous);
        let known = known.unwrap_or_else(|| panic!("HISTORY: {previous} was never answered"));
        assert!(
            known.history == history,
            "HISTORY: wrong history of {previous}"
        );
    }
}
