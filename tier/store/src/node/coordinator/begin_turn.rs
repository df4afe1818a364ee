//! Coordination of the begin of a turn: makes its reservation and reads the chain that it continues,
//! concurrently.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::account::{Account, BudgetDecision, TurnState};
use plankhill_conversations::peer::{PeerRequest, PeerResponse, TurnUpdate};
use plankhill_conversations::quorum::WriteQuorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreReply};
use plankhill_protocol::tables::StoreView;

use super::end_turn::WriteOutcome;
use super::read_chain::ChainLookup;
use crate::clock::Clock;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// The request to begin a turn.
pub(super) struct TurnStart {
    pub(super) program: ProgramId,
    pub(super) turn: RequestId,
    /// The tokens to reserve; None on a route without budgets.
    pub(super) reservation: Option<Reservation>,
    /// The turn that this one continues.
    pub(super) previous: Option<RequestId>,
}

/// The outcome of a reservation.
enum ReserveOutcome {
    Granted,
    BudgetExhausted,
    /// Too few replicas answered, or the turn has ended already.
    Unavailable,
    /// A replica has a newer view.
    ViewChanged,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    pub(super) async fn begin_turn(self: &Rc<Self>, start: TurnStart) -> StoreReply {
        let (reserved, chain) = tokio::join!(self.reserve(&start), self.read_previous(&start));
        match (reserved, chain) {
            (ReserveOutcome::BudgetExhausted, _) => {
                self.release_reservation(&start, TurnState::Rejected);
                StoreReply::BudgetExhausted
            }
            (_, ChainLookup::NotFound) => {
                self.release_reservation(&start, TurnState::Committed { tokens: 0 });
                StoreReply::NoSuchTurn
            }
            (ReserveOutcome::Granted, ChainLookup::Found { history, newest }) => {
                StoreReply::Begun {
                    history,
                    previous: newest,
                }
            }
            // A reservation that was made remains until the proxy ends the turn.
            (ReserveOutcome::Unavailable | ReserveOutcome::ViewChanged, _)
            | (_, ChainLookup::Unavailable) => StoreReply::Unavailable,
        }
    }

    async fn read_previous(self: &Rc<Self>, start: &TurnStart) -> ChainLookup {
        match &start.previous {
            Some(previous) => self.read_chain(&start.program, previous).await,
            None => ChainLookup::Found {
                history: Arc::from([]),
                newest: None,
            },
        }
    }

    /// Reserves a turn's tokens; retries under the new view if the view changes during an attempt.
    async fn reserve(self: &Rc<Self>, start: &TurnStart) -> ReserveOutcome {
        let Some(reservation) = &start.reservation else {
            return ReserveOutcome::Granted;
        };
        if reservation.max_tokens > reservation.budget {
            return ReserveOutcome::BudgetExhausted;
        }
        loop {
            let view = self.view();
            match self.reserve_in_view(&view, start, reservation).await {
                ReserveOutcome::ViewChanged | ReserveOutcome::Unavailable
                    if self.views.epoch() > view.epoch => {}
                ReserveOutcome::ViewChanged => return ReserveOutcome::Unavailable,
                outcome => return outcome,
            }
        }
    }

    /// Writes the reservation to the replicas, and decides on the merged accounts of a write quorum.
    async fn reserve_in_view(
        self: &Rc<Self>,
        view: &StoreView,
        start: &TurnStart,
        reservation: &Reservation,
    ) -> ReserveOutcome {
        let request = PeerRequest::Reserve {
            program: start.program.clone(),
            turn: start.turn.clone(),
            max_tokens: reservation.max_tokens,
            previous: start.previous.clone(),
        };
        let mut quorum = WriteQuorum::new(view, &start.program);
        let mut replies = self.broadcast(view, quorum.members(), &request);
        let mut merged = Account::default();
        while let Some(answer) = replies.recv().await {
            let Some(reply) = answer.reply else { continue };
            match reply.body {
                PeerResponse::Account(account) => {
                    merged.merge_all(&account);
                    quorum.record_write(&answer.member, reply.incarnation);
                }
                PeerResponse::StaleEpoch(_) => return ReserveOutcome::ViewChanged,
                _ => {}
            }
            if quorum.is_reached() {
                return match merged.decide(&start.turn, reservation) {
                    BudgetDecision::Granted => ReserveOutcome::Granted,
                    BudgetDecision::Exhausted => ReserveOutcome::BudgetExhausted,
                    BudgetDecision::AlreadyEnded => ReserveOutcome::Unavailable,
                };
            }
        }
        ReserveOutcome::Unavailable
    }

    /// Releases the reservation of a turn that does not run, in the background.
    fn release_reservation(self: &Rc<Self>, start: &TurnStart, state: TurnState) {
        if start.reservation.is_none() {
            return;
        }
        let update = TurnUpdate {
            program: start.program.clone(),
            turn: start.turn.clone(),
            state: Some(state),
            retained: None,
        };
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let program = update.program.clone();
            let turn = update.turn.clone();
            if node.write_update(update).await != WriteOutcome::Written {
                tracing::debug!(%program, %turn, "releasing a reservation failed");
            }
        });
    }
}
