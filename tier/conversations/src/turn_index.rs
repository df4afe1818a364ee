//! What one store knows, without the turns' bytes: budget accounts, and which turns are kept until when.
//!
//! Times are milliseconds of the store's own clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Bound;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

use crate::account::{Account, TurnState, MAX_TURNS};
use crate::peer::{ProgramDigest, ProgramOutline};

/// A budget account is dropped when nothing happened to it for this time: long after any program has ended.
pub const ACCOUNT_KEPT_MS: u64 = 5 * 60 * 1_000;

/// Rough size of an entry besides the turn's bytes: names, tree and table nodes.
const ENTRY_BYTES: u64 = 400;

/// A turn that is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnEntry {
    /// The program that it ran in.
    pub program: ProgramId,
    /// The turn that it went on from.
    pub previous: Option<TurnLocation>,
    /// Bytes of its input and output.
    pub bytes: u64,
    /// When it may go.
    pub expires_ms: u64,
}

impl TurnEntry {
    /// The entry of a turn.
    pub fn new(record: &TurnRecord, expires_ms: u64) -> Self {
        TurnEntry {
            program: record.program.clone(),
            previous: record.previous.clone(),
            bytes: (record.input.len() + record.output.len()) as u64,
            expires_ms,
        }
    }
}

/// What went away by age.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Turns.
    pub turns: Vec<RequestId>,
    /// Budget accounts.
    pub accounts: Vec<(ProgramId, Account)>,
}

#[derive(Debug, Default)]
struct Program {
    account: Account,
    turns: BTreeSet<RequestId>,
    used_ms: u64,
}

/// All accounts and turns of a store.
#[derive(Debug, Default)]
pub struct Index {
    programs: BTreeMap<ProgramId, Program>,
    turns: HashMap<RequestId, TurnEntry>,
    /// Ancestors that are not here, and how long they would be needed.
    wanted: HashMap<RequestId, u64>,
    bytes: u64,
}

impl Index {
    /// Takes in what is known of a turn's budget. True if that was news, false also for one turn too many.
    pub fn merge_state(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        state: TurnState,
        now_ms: u64,
    ) -> bool {
        let held = self.programs.entry(program.clone()).or_default();
        held.used_ms = held.used_ms.max(now_ms);
        if held.account.len() >= MAX_TURNS && held.account.state(turn).is_none() {
            return false;
        }
        let before = held.account.len();
        let news = held.account.merge(turn, state);
        self.bytes += (held.account.len() - before) as u64 * ENTRY_BYTES;
        news
    }

    /// What is known of a program's budget.
    pub fn account(&self, program: &ProgramId) -> Option<&Account> {
        self.programs.get(program).map(|program| &program.account)
    }

    /// Keeps a turn, and its ancestors as long as it. True if it was not here.
    pub fn keep(&mut self, turn: &RequestId, mut entry: TurnEntry) -> bool {
        let wanted = self.wanted.remove(turn).unwrap_or(0);
        let until = entry.expires_ms.max(wanted);
        if self.turns.contains_key(turn) {
            self.extend(turn, until);
            return false;
        }
        let previous = entry
            .previous
            .as_ref()
            .map(|previous| previous.turn.clone());
        entry.expires_ms = until;
        self.bytes += entry.bytes + ENTRY_BYTES;
        let program = self.programs.entry(entry.program.clone()).or_default();
        program.turns.insert(turn.clone());
        self.turns.insert(turn.clone(), entry);
        if let Some(previous) = previous {
            self.extend(&previous, until);
        }
        true
    }

    /// Keeps a turn and its ancestors at least until then. Those that are not here are extended when they come.
    pub fn extend(&mut self, turn: &RequestId, until_ms: u64) {
        let mut next = Some(turn.clone());
        while let Some(turn) = next.take() {
            let Some(entry) = self.turns.get_mut(&turn) else {
                let wanted = self.wanted.entry(turn).or_default();
                *wanted = until_ms.max(*wanted);
                return;
            };
            if entry.expires_ms < until_ms {
                entry.expires_ms = until_ms;
                next = entry
                    .previous
                    .as_ref()
                    .map(|previous| previous.turn.clone());
            }
        }
    }

    /// A turn that is kept.
    pub fn turn(&self, turn: &RequestId) -> Option<&TurnEntry> {
        self.turns.get(turn)
    }

    /// Drops a turn that could not be written, or that is of no use any more.
    pub fn forget(&mut self, turn: &RequestId) {
        let Some(entry) = self.turns.remove(turn) else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(entry.bytes + ENTRY_BYTES);
        if let Some(program) = self.programs.get_mut(&entry.program) {
            program.turns.remove(turn);
        }
    }

    /// Drops what is too old, and tells what that was.
    pub fn expire(&mut self, now_ms: u64) -> Expired {
        let old = self
            .turns
            .iter()
            .filter(|(_, entry)| entry.expires_ms <= now_ms);
        let turns: Vec<RequestId> = old.map(|(turn, _)| turn.clone()).collect();
        turns.iter().for_each(|turn| self.forget(turn));
        self.wanted.retain(|_, until| *until > now_ms);
        let mut accounts = Vec::new();
        let bytes = &mut self.bytes;
        self.programs.retain(|name, program| {
            if program.used_ms.saturating_add(ACCOUNT_KEPT_MS) <= now_ms
                && !program.account.is_empty()
            {
                let account = std::mem::take(&mut program.account);
                *bytes = bytes.saturating_sub(account.len() as u64 * ENTRY_BYTES);
                accounts.push((name.clone(), account));
            }
            !program.turns.is_empty() || !program.account.is_empty()
        });
        Expired { turns, accounts }
    }

    /// Programs after `after` that pass the filter, in the order of their names; `limit` at most.
    pub fn list(
        &self,
        after: Option<&ProgramId>,
        limit: usize,
        belongs: impl Fn(&ProgramId) -> bool,
    ) -> Vec<ProgramDigest> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let programs = self
            .programs
            .range::<ProgramId, _>((start, Bound::Unbounded));
        let belonging = programs.filter(|(name, _)| belongs(name)).take(limit);
        let digests = belonging.map(|(name, held)| ProgramDigest {
            program: name.clone(),
            digest: held.digest(),
        });
        digests.collect()
    }

    /// A digest of all that is known of a program; None if nothing is.
    pub fn digest(&self, program: &ProgramId) -> Option<u64> {
        self.programs.get(program).map(Program::digest)
    }

    /// What is known of a program.
    pub fn outline(&self, program: &ProgramId) -> Option<ProgramOutline> {
        let held = self.programs.get(program)?;
        let turns = held.turns.iter().cloned().collect();
        Some(ProgramOutline {
            program: program.clone(),
            account: held.account.clone(),
            turns,
        })
    }

    /// Bytes of all turns with what is needed to find them.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Turns that are kept.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is kept.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

impl Program {
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.account
            .turns()
            .for_each(|entry| entry.hash(&mut hasher));
        self.turns.hash(&mut hasher);
        hasher.finish()
    }
}
