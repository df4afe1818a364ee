//! The in-memory index of one store: budget accounts, and the retained turns with their expiry times,
//! without the turns' content.
//!
//! The store's node owns the index, builds it from the rows on disk at startup, and changes it with
//! every update. All times are times of day in milliseconds by the store's own clock.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Bound;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

use crate::account::{Account, TurnState, MAX_ACCOUNT_TURNS};
use crate::peer::{ProgramDigest, ProgramOutline};

/// Time in milliseconds after which an unchanged budget account is removed: long after any program has
/// ended.
pub const ACCOUNT_TTL_MS: u64 = 5 * 60 * 1_000;

/// Approximate size of an entry in addition to the turn's content: ids, and nodes of trees and hash
/// tables.
const ENTRY_OVERHEAD_BYTES: u64 = 400;

/// A retained turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnEntry {
    /// The program that the turn ran in.
    pub program: ProgramId,
    /// The turn that this one continues.
    pub previous: Option<TurnLocation>,
    /// Bytes of the turn's input and output.
    pub bytes: u64,
    /// When the turn expires.
    pub expires_ms: u64,
}

impl TurnEntry {
    /// Creates the entry of a turn that expires at `expires_ms`.
    pub fn new(record: &TurnRecord, expires_ms: u64) -> Self {
        TurnEntry {
            program: record.program.clone(),
            previous: record.previous.clone(),
            bytes: (record.input.len() + record.output.len()) as u64,
            expires_ms,
        }
    }

    fn previous_turn(&self) -> Option<RequestId> {
        self.previous.as_ref().map(|previous| previous.turn.clone())
    }

    /// Bytes that the index counts for the turn.
    fn charged_bytes(&self) -> u64 {
        self.bytes + ENTRY_OVERHEAD_BYTES
    }
}

/// A budget account that has expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredAccount {
    /// The program.
    pub program: ProgramId,
    /// The program's account when it expired.
    pub account: Account,
}

/// The turns and budget accounts that have expired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// The expired turns.
    pub turns: Vec<RequestId>,
    /// Turns that were not present when their extension expired.
    pub extensions: Vec<RequestId>,
    /// The expired budget accounts.
    pub accounts: Vec<ExpiredAccount>,
}

#[derive(Debug, Default)]
struct Program {
    account: Account,
    turns: BTreeSet<RequestId>,
    /// When the account last changed.
    used_ms: u64,
}

/// All accounts and retained turns of a store.
///
/// Invariant: a retained turn expires no earlier than any retained turn that continues it, so that the
/// ancestors of a retained turn are retained too.
#[derive(Debug, Default)]
pub struct TurnIndex {
    programs: BTreeMap<ProgramId, Program>,
    turns: HashMap<RequestId, TurnEntry>,
    /// Expiry times of ancestors that the store does not have yet; applied when they arrive.
    pending_extensions: HashMap<RequestId, u64>,
    bytes: u64,
}

impl TurnIndex {
    /// Merges the state of a turn into its program's account. Returns whether the account changed; a
    /// new turn beyond [`MAX_ACCOUNT_TURNS`] is ignored.
    pub fn merge_state(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        state: TurnState,
        now_ms: u64,
    ) -> bool {
        let program = self.programs.entry(program.clone()).or_default();
        program.used_ms = program.used_ms.max(now_ms);
        let turns_before = program.account.len();
        if turns_before >= MAX_ACCOUNT_TURNS && program.account.state(turn).is_none() {
            return false;
        }
        let has_changed = program.account.merge(turn, state);
        let added = program.account.len() - turns_before;
        self.bytes += added as u64 * ENTRY_OVERHEAD_BYTES;
        has_changed
    }

    /// The budget account of a program.
    pub fn account(&self, program: &ProgramId) -> Option<&Account> {
        self.programs.get(program).map(|program| &program.account)
    }

    /// Retains a turn, and its ancestors at least as long as the turn. Returns whether the turn is new;
    /// the retention of a turn that is already present is extended.
    pub fn retain(&mut self, turn: &RequestId, mut entry: TurnEntry) -> bool {
        let pending = self.pending_extensions.remove(turn).unwrap_or(0);
        let expires_ms = entry.expires_ms.max(pending);
        if self.turns.contains_key(turn) {
            self.extend_chain(turn, expires_ms);
            return false;
        }
        entry.expires_ms = expires_ms;
        self.bytes += entry.charged_bytes();
        let program = self.programs.entry(entry.program.clone()).or_default();
        program.turns.insert(turn.clone());
        let previous = entry.previous_turn();
        self.turns.insert(turn.clone(), entry);
        if let Some(previous) = previous {
            self.extend_chain(&previous, expires_ms);
        }
        true
    }

    /// Retains a turn and its ancestors at least until `until_ms`. For a turn or ancestor that is not
    /// present, the extension is applied when it arrives. Returns the time until which the turn is
    /// retained now, which is later than `until_ms` after an earlier, longer extension.
    pub fn extend(&mut self, turn: &RequestId, until_ms: u64) -> u64 {
        self.extend_chain(turn, until_ms);
        let retained_ms = self.turns.get(turn).map(|entry| entry.expires_ms);
        let pending_ms = self.pending_extensions.get(turn).copied();
        retained_ms.or(pending_ms).unwrap_or(until_ms)
    }

    fn extend_chain(&mut self, newest: &RequestId, until_ms: u64) {
        let mut next = Some(newest.clone());
        while let Some(turn) = next.take() {
            let Some(entry) = self.turns.get_mut(&turn) else {
                let pending = self.pending_extensions.entry(turn).or_default();
                *pending = until_ms.max(*pending);
                return;
            };
            if entry.expires_ms < until_ms {
                entry.expires_ms = until_ms;
                next = entry.previous_turn();
            }
        }
    }

    /// A retained turn.
    pub fn turn(&self, turn: &RequestId) -> Option<&TurnEntry> {
        self.turns.get(turn)
    }

    /// Removes a turn that expired or could not be written.
    pub fn remove(&mut self, turn: &RequestId) {
        let Some(entry) = self.turns.remove(turn) else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(entry.charged_bytes());
        if let Some(program) = self.programs.get_mut(&entry.program) {
            program.turns.remove(turn);
        }
    }

    /// Removes and returns all turns, extensions and accounts that have expired.
    pub fn expire(&mut self, now_ms: u64) -> Expired {
        let turns = self.expired_turns(now_ms);
        for turn in &turns {
            self.remove(turn);
        }
        let extensions = self.expire_extensions(now_ms);
        let accounts = self.expire_accounts(now_ms);
        self.programs.retain(|_, program| !program.is_empty());
        Expired {
            turns,
            extensions,
            accounts,
        }
    }

    fn expired_turns(&self, now_ms: u64) -> Vec<RequestId> {
        let expired = self
            .turns
            .iter()
            .filter(|(_, entry)| entry.expires_ms <= now_ms);
        expired.map(|(turn, _)| turn.clone()).collect()
    }

    fn expire_extensions(&mut self, now_ms: u64) -> Vec<RequestId> {
        let pending = self.pending_extensions.iter();
        let expired: Vec<RequestId> = pending
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(turn, _)| turn.clone())
            .collect();
        for turn in &expired {
            self.pending_extensions.remove(turn);
        }
        expired
    }

    fn expire_accounts(&mut self, now_ms: u64) -> Vec<ExpiredAccount> {
        let mut accounts = Vec::new();
        for (name, program) in &mut self.programs {
            if program.used_ms.saturating_add(ACCOUNT_TTL_MS) > now_ms || program.account.is_empty()
            {
                continue;
            }
            let account = std::mem::take(&mut program.account);
            let freed = account.len() as u64 * ENTRY_OVERHEAD_BYTES;
            self.bytes = self.bytes.saturating_sub(freed);
            accounts.push(ExpiredAccount {
                program: name.clone(),
                account,
            });
        }
        accounts
    }

    /// Digests of at most `limit` programs after `after` that pass the filter, in the order of their
    /// ids.
    pub fn list_programs(
        &self,
        after: Option<&ProgramId>,
        limit: usize,
        is_listed: impl Fn(&ProgramId) -> bool,
    ) -> Vec<ProgramDigest> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let programs = self
            .programs
            .range::<ProgramId, _>((start, Bound::Unbounded));
        programs
            .filter(|(name, _)| is_listed(name))
            .take(limit)
            .map(|(name, program)| ProgramDigest {
                program: name.clone(),
                digest: program.digest(),
            })
            .collect()
    }

    /// The digest of a program's account and retained turns; `None` for an unknown program.
    pub fn digest(&self, program: &ProgramId) -> Option<u64> {
        self.programs.get(program).map(Program::digest)
    }

    /// The account and the ids of the retained turns of a program; `None` for an unknown program.
    pub fn outline(&self, program: &ProgramId) -> Option<ProgramOutline> {
        let known = self.programs.get(program)?;
        Some(ProgramOutline {
            program: program.clone(),
            account: known.account.clone(),
            turns: known.turns.iter().cloned().collect(),
        })
    }

    /// Whether any turn of the program is retained.
    pub fn has_turns(&self, program: &ProgramId) -> bool {
        let known = self.programs.get(program);
        known.is_some_and(|program| !program.turns.is_empty())
    }

    /// The remaining retention times of the turns of a program in milliseconds, in the order of the turns in
    /// its outline; empty for an unknown program.
    pub fn remaining_ms(&self, program: &ProgramId, now_ms: u64) -> Vec<u64> {
        let known = self.programs.get(program);
        let turns = known.into_iter().flat_map(|program| &program.turns);
        let entries = turns.filter_map(|turn| self.turns.get(turn));
        entries
            .map(|entry| entry.expires_ms.saturating_sub(now_ms))
            .collect()
    }

    /// Size in bytes of all retained turns and accounts, including an estimate of the index's own size.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of retained turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is retained.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}

impl Program {
    fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.account.is_empty()
    }

    /// The digest is part of the wire format: stores compare digests with each other.
    /// `DefaultHasher::new()` has fixed keys; the derived order of hashing is pinned in
    /// `tests/wire_format.rs`.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for entry in self.account.turns() {
            entry.hash(&mut hasher);
        }
        self.turns.hash(&mut hasher);
        hasher.finish()
    }
}
