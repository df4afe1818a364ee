//! One store: answers proxies and other stores, repairs what others missed, copies what belongs to it.

mod begin;
mod catch_up;
mod chain;
mod copy;
mod copy_source;
mod end;
mod expiry;
mod hints;
mod load;
mod repair;
mod replica;
mod round;
mod serve_copies;
mod unwritten;
mod view;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::index::Index;
use plankhill_conversations::wire::{StoreAnswer, StoreRequest};
use plankhill_protocol::ids::{RequestId, StoreEpoch};
use plankhill_protocol::store_calls::{StoreCall, StoreReply, TurnRecord};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{Figures, CALL_TIMEOUT};
use crate::peers::Peers;
use hints::Hints;
use unwritten::UnwrittenStates;

/// What a store is made of.
pub struct Parts<P, D, C> {
    /// Who it is.
    pub me: StoreMember,
    /// Times and bounds.
    pub figures: Figures,
    /// The other stores.
    pub peers: P,
    /// Its rows.
    pub disk: D,
    /// Its time.
    pub clock: C,
}

/// One store. For one thread, inside a `LocalSet`.
pub struct Node<P, D, C> {
    parts: Parts<P, D, C>,
    state: RefCell<State>,
    /// The highest epoch whose view is on disk.
    durable_epoch: watch::Sender<StoreEpoch>,
    /// The epoch of the last view whose next set this store has copied everything for.
    copied_epoch: watch::Sender<Option<StoreEpoch>>,
}

/// What a store knows.
#[derive(Default)]
struct State {
    view: StoreView,
    index: Index,
    /// Turns whose rows are on their way to the disk.
    unwritten: HashMap<RequestId, Arc<TurnRecord>>,
    hints: Hints,
    /// What became of turns and is not known to be on disk.
    unwritten_states: UnwrittenStates,
    /// A disk that failed takes no more writes in this life.
    disk_failed: bool,
}

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Answers one call.
    pub async fn answer(self: Rc<Self>, request: StoreRequest) -> StoreAnswer {
        match request {
            StoreRequest::Proxy(call) => StoreAnswer::Proxy(self.answer_proxy(call).await),
            StoreRequest::Peer(call) => StoreAnswer::Peer(self.answer_peer(call).await),
        }
    }

    /// Answers a proxy. Its epoch does not matter: the replicas decide which views are still good.
    async fn answer_proxy(self: Rc<Self>, call: StoreCall) -> StoreReply {
        if self.state.borrow().view.serving.is_empty() {
            return StoreReply::Unavailable;
        }
        let answering = async {
            match call {
                StoreCall::BeginTurn {
                    program,
                    turn,
                    reservation,
                    previous,
                    ..
                } => {
                    let begin = begin::Begin {
                        program,
                        turn,
                        reservation,
                        previous,
                    };
                    self.begin(begin).await
                }
                StoreCall::EndTurn {
                    program,
                    turn,
                    tokens,
                    record,
                    ..
                } => self.end(program, turn, tokens, record).await,
            }
        };
        tokio::time::timeout(CALL_TIMEOUT, answering)
            .await
            .unwrap_or(StoreReply::Unavailable)
    }

    /// Who this store is.
    pub fn me(&self) -> &StoreMember {
        &self.parts.me
    }

    /// Whether the disk has failed: the process is to start anew.
    pub fn disk_failed(&self) -> bool {
        self.state.borrow().disk_failed
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }
}
