//! Startup of a node: builds its state from the rows on disk, and resumes work that the previous process
//! may not have finished.

use std::cell::RefCell;
use std::rc::Rc;

use plankhill_conversations::keys::{split_key, VIEW_KEY};
use plankhill_conversations::rows::{decode_row, AccountRow, Table, TurnRow};
use plankhill_conversations::turn_index::{TurnEntry, TurnIndex};
use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};
use plankhill_protocol::tables::StoreView;

use super::state::{ChainMemory, HintTable, MissedUpdate, RowWriter, TurnTable, ViewState};
use super::{Node, NodeParts};
use crate::clock::Clock;
use crate::peers::Peers;
use crate::storage::{Storage, StorageError};

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Builds a node from the rows on its disk. Rows that cannot be decoded are skipped.
    ///
    /// # Errors
    /// [`StorageError`] if the disk cannot be read.
    pub fn load(parts: NodeParts<P, S, C>) -> Result<Rc<Self>, StorageError> {
        let view = load_view(&parts.storage)?;
        let mut index = TurnIndex::default();
        load_turns(&parts.storage, &mut index)?;
        load_extensions(&parts.storage, &mut index)?;
        load_accounts(&parts.storage, &mut index)?;
        let hints = load_hints(&parts.storage)?;
        let turns = TurnTable::new(index, parts.limits.max_index_bytes);
        tracing::info!(
            epoch = view.epoch.0,
            turns = turns.len(),
            hints = hints.len(),
            "store state loaded"
        );
        Ok(Rc::new(Node {
            identity: parts.identity,
            limits: parts.limits,
            peers: parts.peers,
            clock: parts.clock,
            rows: RowWriter::new(parts.storage),
            views: ViewState::new(view),
            turns: RefCell::new(turns),
            hints: RefCell::new(hints),
            chain_memory: ChainMemory::new(parts.limits.chain_memory_bytes),
            peer_chain_memory: ChainMemory::new(parts.limits.peer_chain_memory_bytes),
        }))
    }

    /// Runs the node's background work until its task ends. Must be called only once.
    pub async fn run(self: Rc<Self>) {
        let view = self.view();
        let transferring = self.transfer_for(&view);
        let catching_up = self.catch_up();
        tokio::join!(
            transferring,
            catching_up,
            self.clone().run_expiry(),
            self.clone().run_hint_delivery()
        );
    }
}

fn load_view(storage: &impl Storage) -> Result<StoreView, StorageError> {
    let row = storage.read(Table::Metadata, VIEW_KEY)?;
    Ok(row.and_then(|row| decode_row(&row)).unwrap_or_default())
}

fn load_turns(storage: &impl Storage, index: &mut TurnIndex) -> Result<(), StorageError> {
    storage.scan(Table::Turns, &mut |_, row| {
        if let Some(row) = decode_row::<TurnRow>(row) {
            index.retain(
                &row.record.turn,
                TurnEntry::new(&row.record, row.expires_ms),
            );
        }
    })
}

fn load_extensions(storage: &impl Storage, index: &mut TurnIndex) -> Result<(), StorageError> {
    storage.scan(Table::Extensions, &mut |key, row| {
        if let (Ok(turn), Some(until_ms)) = (std::str::from_utf8(key), decode_row(row)) {
            index.extend(&RequestId::from(turn), until_ms);
        }
    })
}

fn load_accounts(storage: &impl Storage, index: &mut TurnIndex) -> Result<(), StorageError> {
    storage.scan(Table::Accounts, &mut |key, row| {
        let names = split_key(key).unwrap_or_default();
        if let ([program, turn], Some(row)) = (names.as_slice(), decode_row::<AccountRow>(row)) {
            let program = ProgramId::from(*program);
            let turn = RequestId::from(*turn);
            index.merge_state(&program, &turn, row.state, row.used_ms);
        }
    })
}

fn load_hints(storage: &impl Storage) -> Result<HintTable, StorageError> {
    let mut hints = HintTable::default();
    storage.scan(Table::Hints, &mut |key, _| {
        if let [node, program, turn] = split_key(key).unwrap_or_default().as_slice() {
            let update = MissedUpdate {
                program: ProgramId::from(*program),
                turn: RequestId::from(*turn),
            };
            hints.insert(&NodeId::from(*node), update);
        }
    })?;
    Ok(hints)
}
