//! What a store does for other stores.

use std::rc::Rc;

use plankhill_conversations::account::TurnState;
use plankhill_conversations::index::TurnEntry;
use plankhill_conversations::peer::{
    EndedTurn, KeptTurn, PeerCall, PeerReply, PeerRequest, PeerResponse,
};
use plankhill_conversations::rows::{account_key, turn_key, AccountRow, RowChange, Table, TurnRow};
use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};

use super::unwritten::StateWrite;
use super::Node;
use crate::clock::Clock;
use crate::disk::{Disk, DiskError};
use crate::figures::RUNNING_TURN_MS;
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Answers another store, or this one where it is a replica itself.
    pub(super) async fn answer_peer(self: Rc<Self>, call: PeerCall) -> PeerReply {
        let body = match self.fence(&call) {
            Some(refusal) => refusal,
            None => self.clone().act(call.epoch, call.body).await,
        };
        PeerReply {
            incarnation: self.parts.me.incarnation,
            body,
        }
    }

    /// Refuses calls of other views. What was missed, and views themselves, are taken from anybody.
    fn fence(&self, call: &PeerCall) -> Option<PeerResponse> {
        let always = matches!(
            call.body,
            PeerRequest::Repair(_) | PeerRequest::TakeView(_) | PeerRequest::KeepHint { .. }
        );
        let state = self.state.borrow();
        if always || call.epoch == state.view.epoch {
            None
        } else if call.epoch < state.view.epoch {
            Some(PeerResponse::OldEpoch(state.view.clone()))
        } else {
            Some(PeerResponse::Behind)
        }
    }

    async fn act(self: Rc<Self>, epoch: StoreEpoch, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Reserve {
                program,
                turn,
                most,
                previous,
            } => {
                self.reserve_here(&program, &turn, most, previous.as_ref())
                    .await
            }
            PeerRequest::End(ended) => self.take_ended(vec![ended]).await,
            PeerRequest::Repair(missed) => self.take_ended(missed).await,
            PeerRequest::Chain { turn } => self.chain_here(&turn),
            PeerRequest::Locate { turn } => self.locate_here(&turn),
            PeerRequest::Extend { turn, keep_ms } => self.extend_here(&turn, keep_ms).await,
            PeerRequest::KeepHint {
                node,
                program,
                turn,
            } => {
                self.add_hint(&node, &program, &turn);
                PeerResponse::Done
            }
            PeerRequest::ListPrograms { set, store, after } => {
                self.list_programs(epoch, set, &store, after.as_ref()).await
            }
            PeerRequest::OutlinePrograms { programs } => self.outline_programs(&programs),
            PeerRequest::FetchTurns { turns } => self.fetch_turns(&turns),
            PeerRequest::TakeView(view) => {
                self.take_view(&view);
                PeerResponse::Done
            }
        }
    }

    async fn reserve_here(
        &self,
        program: &ProgramId,
        turn: &RequestId,
        most: u64,
        previous: Option<&RequestId>,
    ) -> PeerResponse {
        let now_ms = self.now_ms();
        let written = {
            let mut state = self.state.borrow_mut();
            if state.index.bytes() >= self.parts.figures.most_bytes {
                return PeerResponse::Unable;
            }
            if let Some(previous) = previous.filter(|previous| state.index.turn(previous).is_some())
            {
                state.index.extend(previous, now_ms + RUNNING_TURN_MS);
            }
            state
                .index
                .merge_state(program, turn, TurnState::Reserved { most }, now_ms);
            let account = state.index.account(program);
            // The row holds what is known, which may be more than this call says.
            let Some(known) = account.and_then(|account| account.state(turn)) else {
                return PeerResponse::Unable;
            };
            self.parts
                .disk
                .commit(vec![state_row(program, turn, known, now_ms)])
        };
        if let Err(error) = written.await {
            self.note_disk_error(&error);
            return PeerResponse::Unable;
        }
        let account = self.state.borrow().index.account(program).cloned();
        PeerResponse::Account(account.unwrap_or_default())
    }

    /// Takes in what became of turns; answers once all of it is synced.
    pub(super) async fn take_ended(&self, ended: Vec<EndedTurn>) -> PeerResponse {
        let mut taken = Taken::default();
        for ended in ended {
            let EndedTurn {
                program,
                turn,
                state,
                kept: turn_kept,
            } = ended;
            if let Some(state) = state {
                self.merge_state(&program, &turn, state, &mut taken);
            }
            if let Some(turn_kept) = turn_kept {
                match self.keep_here(&turn, turn_kept) {
                    Keeping::Held => {}
                    Keeping::New(row) => {
                        taken.changes.push(row);
                        taken.kept.push(turn);
                    }
                    Keeping::NoRoom => return self.refuse_for_room(taken).await,
                }
            }
        }
        let outcome = self.write_turns(taken).await;
        outcome.map_or(PeerResponse::Unable, |()| PeerResponse::Done)
    }

    /// What was taken in before the room ended is written all the same.
    async fn refuse_for_room(&self, taken: Taken) -> PeerResponse {
        tracing::warn!("no room for more turns");
        // The answer is the same whether or not it could be written.
        let _ = self.write_turns(taken).await;
        PeerResponse::Unable
    }

    /// What is no news is written all the same where an earlier write of it may have failed.
    fn merge_state(
        &self,
        program: &ProgramId,
        turn: &RequestId,
        news: TurnState,
        taken: &mut Taken,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let is_news = state.index.merge_state(program, turn, news, now_ms);
        if !is_news && !state.unwritten_states.contains(program, turn) {
            return;
        }
        let known = state
            .index
            .account(program)
            .and_then(|account| account.state(turn));
        taken
            .changes
            .push(state_row(program, turn, known.unwrap_or(news), now_ms));
        taken
            .states
            .push(state.unwritten_states.begin(program, turn));
    }

    fn keep_here(&self, turn: &RequestId, kept: KeptTurn) -> Keeping {
        let mut state = self.state.borrow_mut();
        let expires_ms = self.now_ms().saturating_add(kept.remaining_ms);
        let entry = TurnEntry::new(&kept.record, expires_ms);
        let held = state.index.turn(turn).is_some();
        if !held && state.index.bytes().saturating_add(entry.bytes) > self.parts.figures.most_bytes
        {
            return Keeping::NoRoom;
        }
        if !state.index.keep(turn, entry) {
            return Keeping::Held;
        }
        let row = TurnRow {
            expires_ms,
            record: kept.record,
        };
        let change = RowChange::set(Table::Turns, turn_key(turn), &row);
        state.unwritten.insert(turn.clone(), row.record);
        Keeping::New(change)
    }

    /// Writes rows; turns that could not be written are dropped again.
    async fn write_turns(&self, taken: Taken) -> Result<(), DiskError> {
        let written = self.parts.disk.commit(taken.changes);
        let outcome = written.await;
        let mut state = self.state.borrow_mut();
        for turn in &taken.kept {
            state.unwritten.remove(turn);
            if outcome.is_err() {
                state.index.forget(turn);
            }
        }
        if outcome.is_ok() {
            taken
                .states
                .into_iter()
                .for_each(|write| state.unwritten_states.written(write));
        }
        drop(state);
        outcome.inspect_err(|error| self.note_disk_error(error))
    }

    async fn extend_here(&self, turn: &RequestId, keep_ms: u64) -> PeerResponse {
        let until_ms = self.now_ms().saturating_add(keep_ms);
        let written = {
            let mut state = self.state.borrow_mut();
            state.index.extend(turn, until_ms);
            self.parts.disk.commit(vec![RowChange::set(
                Table::Extensions,
                turn_key(turn),
                &until_ms,
            )])
        };
        match written.await {
            Ok(()) => PeerResponse::Done,
            Err(error) => {
                self.note_disk_error(&error);
                PeerResponse::Unable
            }
        }
    }

    pub(super) fn note_disk_error(&self, error: &DiskError) {
        tracing::warn!(%error, "not written");
        if matches!(error, DiskError::Failed(_)) {
            self.state.borrow_mut().disk_failed = true;
        }
    }
}

/// What is to be written, and what depends on it.
#[derive(Default)]
struct Taken {
    changes: Vec<RowChange>,
    /// Turns that are new here.
    kept: Vec<RequestId>,
    /// What became of turns.
    states: Vec<StateWrite>,
}

/// What became of a turn that is to be kept here.
enum Keeping {
    /// It is here already, or on its way to the disk: the next commit ends after it.
    Held,
    /// The row is to be written.
    New(RowChange),
    /// A bound is reached.
    NoRoom,
}

fn state_row(program: &ProgramId, turn: &RequestId, state: TurnState, used_ms: u64) -> RowChange {
    RowChange::set(
        Table::Accounts,
        account_key(program, turn),
        &AccountRow { state, used_ms },
    )
}
