//! The start of a store: what its disk holds.

use std::cell::RefCell;
use std::rc::Rc;

use plankhill_conversations::index::TurnEntry;
use plankhill_conversations::rows::{read_row, split_key, AccountRow, Table, TurnRow, VIEW_KEY};
use plankhill_protocol::ids::{ProgramId, RequestId, StoreEpoch};
use plankhill_protocol::tables::StoreView;
use tokio::sync::watch;

use super::{Node, Parts, State};
use crate::clock::Clock;
use crate::disk::{Disk, DiskError};
use crate::peers::Peers;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Reads the disk.
    ///
    /// # Errors
    /// [`DiskError::Failed`].
    pub fn load(parts: Parts<P, D, C>) -> Result<Rc<Self>, DiskError> {
        let mut state = State::default();
        let row = parts.disk.read(Table::Own, VIEW_KEY)?;
        if let Some(view) = row.and_then(|row| read_row::<StoreView>(&row)) {
            state.view = view;
        }
        load_turns(&parts.disk, &mut state)?;
        load_accounts(&parts.disk, &mut state)?;
        load_hints(&parts.disk, &mut state)?;
        tracing::info!(
            epoch = state.view.epoch.0,
            turns = state.index.len(),
            hints = state.hints.len(),
            "loaded"
        );
        let durable = state.view.epoch;
        let node = Node {
            parts,
            state: RefCell::new(state),
            durable_epoch: watch::Sender::new(StoreEpoch(durable.0)),
            copied_epoch: watch::Sender::new(None),
        };
        Ok(Rc::new(node))
    }

    /// Goes on with what the last life may have left undone, for ever. To be called once.
    pub async fn run(self: Rc<Self>) {
        let view = self.view();
        let copying = self.copy_for(&view);
        let catching_up = self.catch_up();
        tokio::join!(
            copying,
            catching_up,
            self.clone().run_expiry(),
            self.clone().run_repair()
        );
    }
}

fn load_turns(disk: &impl Disk, state: &mut State) -> Result<(), DiskError> {
    disk.scan(Table::Turns, &mut |_, row| {
        if let Some(row) = read_row::<TurnRow>(row) {
            state.index.keep(
                &row.record.turn,
                TurnEntry::new(&row.record, row.expires_ms),
            );
        }
    })?;
    disk.scan(Table::Extensions, &mut |key, row| {
        let turn = std::str::from_utf8(key).ok().map(RequestId::from);
        if let (Some(turn), Some(until_ms)) = (turn, read_row::<u64>(row)) {
            state.index.extend(&turn, until_ms);
        }
    })
}

fn load_accounts(disk: &impl Disk, state: &mut State) -> Result<(), DiskError> {
    disk.scan(Table::Accounts, &mut |key, row| {
        let names = split_key(key).unwrap_or_default();
        if let ([program, turn], Some(row)) = (names.as_slice(), read_row::<AccountRow>(row)) {
            let (program, turn) = (ProgramId::from(*program), RequestId::from(*turn));
            state
                .index
                .merge_state(&program, &turn, row.state, row.used_ms);
        }
    })
}

fn load_hints(disk: &impl Disk, state: &mut State) -> Result<(), DiskError> {
    disk.scan(Table::Hints, &mut |key, _| {
        if let [node, program, turn] = split_key(key).unwrap_or_default().as_slice() {
            state
                .hints
                .add(&(*node).into(), &(*program).into(), &(*turn).into());
        }
    })
}
