//! The turns and accounts of a store in memory, and the rows that have to be written for each change.

use std::collections::HashMap;
use std::sync::Arc;

use plankhill_conversations::account::{Account, TurnState};
use plankhill_conversations::keys::{account_key, turn_key};
use plankhill_conversations::peer::{ProgramDigest, ProgramOutline, RetainedTurn, TurnUpdate};
use plankhill_conversations::rows::{AccountRow, RowChange, Table, TurnRow};
use plankhill_conversations::turn_index::{Expired, TurnEntry, TurnIndex};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

use super::unwritten_states::{StateWrite, UnwrittenStates};
use crate::limits::RUNNING_TURN_TTL_MS;

/// The error if the limit on turns and accounts is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) struct NoCapacity;

/// Rows of merged updates that have to be written, and the state that depends on the write's outcome.
#[derive(Default)]
pub(in crate::node) struct UpdateBatch {
    changes: Vec<RowChange>,
    /// Turns that are new at this store; they are removed again if the write fails.
    new_turns: Vec<RequestId>,
    state_writes: Vec<StateWrite>,
}

impl UpdateBatch {
    /// Takes the rows to write out of the batch.
    pub(in crate::node) fn take_changes(&mut self) -> Vec<RowChange> {
        std::mem::take(&mut self.changes)
    }
}

/// The part of a chain that is retained at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) struct ChainExtent {
    /// Bytes of the inputs and outputs of its turns.
    pub(in crate::node) bytes: usize,
    /// Whether the chain has no further turns.
    pub(in crate::node) is_complete: bool,
}

/// Owns the index of turns and accounts, and the parts of it that may not be on disk yet.
pub(in crate::node) struct TurnTable {
    index: TurnIndex,
    /// Turns whose rows are being written; reads use these records until the write completes.
    unwritten_turns: HashMap<RequestId, Arc<TurnRecord>>,
    unwritten_states: UnwrittenStates,
    max_bytes: u64,
}

impl TurnTable {
    /// Creates a table from the index of the rows on disk.
    pub(in crate::node) fn new(index: TurnIndex, max_bytes: u64) -> Self {
        TurnTable {
            index,
            unwritten_turns: HashMap::new(),
            unwritten_states: UnwrittenStates::default(),
            max_bytes,
        }
    }

    /// Adds a turn's reservation to its program's account, and retains the chain that the turn continues
    /// while the turn runs. Returns the rows to be written.
    ///
    /// # Errors
    /// [`NoCapacity`] if the limit on bytes, or on the turns of one account, is reached.
    pub(in crate::node) fn reserve(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        max_tokens: u64,
        previous: Option<&RequestId>,
        now_ms: u64,
    ) -> Result<Vec<RowChange>, NoCapacity> {
        if self.index.bytes() >= self.max_bytes {
            return Err(NoCapacity);
        }
        let mut changes = Vec::new();
        if let Some(previous) = previous.filter(|previous| self.contains(previous)) {
            changes.push(self.extend(previous, now_ms.saturating_add(RUNNING_TURN_TTL_MS)));
        }
        self.index
            .merge_state(program, turn, TurnState::Reserved { max_tokens }, now_ms);
        // The row contains the merged state, which may already be later than this reservation.
        let state = self.account_state(program, turn).ok_or(NoCapacity)?;
        changes.push(account_row(program, turn, state, now_ms));
        Ok(changes)
    }

    /// Merges an update, and adds its rows to the batch.
    ///
    /// # Errors
    /// [`NoCapacity`] if the limit on bytes is reached; the update's account state is still merged.
    pub(in crate::node) fn merge(
        &mut self,
        update: TurnUpdate,
        now_ms: u64,
        batch: &mut UpdateBatch,
    ) -> Result<(), NoCapacity> {
        if let Some(state) = update.state {
            self.merge_state(&update.program, &update.turn, state, now_ms, batch);
        }
        match update.retained {
            Some(retained) => self.retain(update.turn, retained, now_ms, batch),
            None => Ok(()),
        }
    }

    /// Merges an account state, and adds its row to the batch. A state that changes nothing is also written
    /// while an earlier write of the turn's state is in progress or has failed: an acknowledgement means
    /// that the state is on disk.
    fn merge_state(
        &mut self,
        program: &ProgramId,
        turn: &RequestId,
        state: TurnState,
        now_ms: u64,
        batch: &mut UpdateBatch,
    ) {
        let has_changed = self.index.merge_state(program, turn, state, now_ms);
        if !has_changed && !self.unwritten_states.contains(program, turn) {
            return;
        }
        let merged = self.account_state(program, turn).unwrap_or(state);
        batch
            .changes
            .push(account_row(program, turn, merged, now_ms));
        batch
            .state_writes
            .push(self.unwritten_states.begin_write(program, turn));
    }

    /// Retains a turn, and adds its row to the batch. A turn that is already present needs no row of its own:
    /// its row is on disk, or is written before every row of this batch. Its retention may be extended.
    fn retain(
        &mut self,
        turn: RequestId,
        retained: RetainedTurn,
        now_ms: u64,
        batch: &mut UpdateBatch,
    ) -> Result<(), NoCapacity> {
        let expires_ms = now_ms.saturating_add(retained.remaining_ms);
        if self.contains(&turn) {
            batch.changes.push(self.extend(&turn, expires_ms));
            return Ok(());
        }
        let entry = TurnEntry::new(&retained.record, expires_ms);
        if self.index.bytes().saturating_add(entry.bytes) > self.max_bytes {
            return Err(NoCapacity);
        }
        self.index.retain(&turn, entry);
        let row = TurnRow {
            expires_ms,
            record: retained.record,
        };
        batch
            .changes
            .push(RowChange::set(Table::Turns, turn_key(&turn), &row));
        self.unwritten_turns.insert(turn.clone(), row.record);
        batch.new_turns.push(turn);
        Ok(())
    }

    /// Records that the rows of a batch are synced.
    pub(in crate::node) fn batch_written(&mut self, batch: UpdateBatch) {
        for turn in &batch.new_turns {
            self.unwritten_turns.remove(turn);
        }
        for write in batch.state_writes {
            self.unwritten_states.finish_write(write);
        }
    }

    /// Removes the new turns of a batch that could not be written. Account states are kept and stay marked as
    /// unwritten: without a reservation or a commit, tokens could be granted twice.
    pub(in crate::node) fn batch_failed(&mut self, batch: UpdateBatch) {
        for turn in &batch.new_turns {
            self.unwritten_turns.remove(turn);
            self.index.remove(turn);
        }
    }

    /// Retains a turn and its ancestors at least until `until_ms`. Returns the row to be written; without
    /// it a restart would undo the extension. The row never shortens an earlier extension.
    pub(in crate::node) fn extend(&mut self, turn: &RequestId, until_ms: u64) -> RowChange {
        let until_ms = self.index.extend(turn, until_ms);
        RowChange::set(Table::Extensions, turn_key(turn), &until_ms)
    }

    /// Removes expired turns and accounts. Returns the changes that remove their rows.
    pub(in crate::node) fn expire(&mut self, now_ms: u64) -> Vec<RowChange> {
        removals(&self.index.expire(now_ms))
    }

    /// Returns whether the turn is retained at this store.
    pub(in crate::node) fn contains(&self, turn: &RequestId) -> bool {
        self.index.turn(turn).is_some()
    }

    /// Bytes of a turn's input and output; 0 for a turn that is not retained.
    pub(in crate::node) fn bytes_of(&self, turn: &RequestId) -> usize {
        self.index
            .turn(turn)
            .map_or(0, |entry| entry.bytes as usize)
    }

    /// The location of a retained turn.
    pub(in crate::node) fn location(&self, turn: &RequestId) -> Option<TurnLocation> {
        let entry = self.index.turn(turn)?;
        Some(TurnLocation {
            turn: turn.clone(),
            program: entry.program.clone(),
        })
    }

    /// Measures the part of a turn's chain that is retained at this store.
    pub(in crate::node) fn chain_extent(&self, turn: &RequestId) -> ChainExtent {
        let mut bytes = 0_usize;
        let mut next = Some(turn);
        while let Some(turn) = next {
            let Some(entry) = self.index.turn(turn) else {
                return ChainExtent {
                    bytes,
                    is_complete: false,
                };
            };
            bytes = bytes.saturating_add(entry.bytes as usize);
            next = entry.previous.as_ref().map(|previous| &previous.turn);
        }
        ChainExtent {
            bytes,
            is_complete: true,
        }
    }

    /// The time at which a retained turn expires.
    pub(in crate::node) fn expires_ms(&self, turn: &RequestId) -> Option<u64> {
        Some(self.index.turn(turn)?.expires_ms)
    }

    /// A turn whose row is being written.
    pub(in crate::node) fn unwritten_turn(&self, turn: &RequestId) -> Option<Arc<TurnRecord>> {
        self.unwritten_turns.get(turn).cloned()
    }

    /// The budget account of a program.
    pub(in crate::node) fn account(&self, program: &ProgramId) -> Option<&Account> {
        self.index.account(program)
    }

    /// The state of a turn in its program's account.
    pub(in crate::node) fn account_state(
        &self,
        program: &ProgramId,
        turn: &RequestId,
    ) -> Option<TurnState> {
        self.index.account(program)?.state(turn)
    }

    /// A page of programs; see [`TurnIndex::list_programs`].
    pub(in crate::node) fn list_programs(
        &self,
        after: Option<&ProgramId>,
        limit: usize,
        is_listed: impl Fn(&ProgramId) -> bool,
    ) -> Vec<ProgramDigest> {
        self.index.list_programs(after, limit, is_listed)
    }

    /// The digest of a program; None for an unknown program.
    pub(in crate::node) fn digest(&self, program: &ProgramId) -> Option<u64> {
        self.index.digest(program)
    }

    /// The account and the ids of the retained turns of a program.
    pub(in crate::node) fn outline(&self, program: &ProgramId) -> Option<ProgramOutline> {
        self.index.outline(program)
    }

    /// Returns whether any turn of the program is retained.
    pub(in crate::node) fn has_turns(&self, program: &ProgramId) -> bool {
        self.index.has_turns(program)
    }

    /// The remaining retention times of a program's turns; see [`TurnIndex::remaining_ms`].
    pub(in crate::node) fn remaining_ms(&self, program: &ProgramId, now_ms: u64) -> Vec<u64> {
        self.index.remaining_ms(program, now_ms)
    }

    /// Number of retained turns.
    pub(in crate::node) fn len(&self) -> usize {
        self.index.len()
    }
}

fn account_row(program: &ProgramId, turn: &RequestId, state: TurnState, used_ms: u64) -> RowChange {
    let row = AccountRow { state, used_ms };
    RowChange::set(Table::Accounts, account_key(program, turn), &row)
}

fn removals(expired: &Expired) -> Vec<RowChange> {
    let mut changes = Vec::new();
    for turn in &expired.turns {
        changes.push(RowChange::remove(Table::Turns, turn_key(turn)));
    }
    for turn in expired.turns.iter().chain(&expired.extensions) {
        changes.push(RowChange::remove(Table::Extensions, turn_key(turn)));
    }
    for expired in &expired.accounts {
        for (turn, _) in expired.account.turns() {
            let key = account_key(&expired.program, turn);
            changes.push(RowChange::remove(Table::Accounts, key));
        }
    }
    changes
}
