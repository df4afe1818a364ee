//! Coordination of the begin of a turn: makes its reservation, and concurrently reads and retains the chain
//! that it continues.
//!
//! A coordinator does not release the reservation of a turn, whatever it replies. Its proxy may have called
//! another store after a timeout, which has granted the turn, so that the turn is running; a process that
//! was suspended executes the call any time later. The proxy ends a turn that does not run with 0 tokens.

use std::rc::Rc;

use plankhill_conversations::account::{Account, BudgetDecision};
use plankhill_conversations::peer::{PeerRequest, PeerResponse};
use plankhill_conversations::quorum::WriteQuorum;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreReply, TurnLifetime, TurnLocation};
use plankhill_protocol::tables::StoreView;
use plankhill_protocol::transport::{CallReply, ReplyGuard};

use super::chain::{Chain, ChainLookup};
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
    /// The turn's lifetime; None from proxies of earlier versions and on a route without retention.
    pub(super) lifetime: Option<TurnLifetime>,
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
    pub(super) async fn begin_turn(self: &Rc<Self>, start: TurnStart) -> CallReply<StoreReply> {
        let (reserved, chain) = tokio::join!(self.reserve(&start), self.prepare_chain(&start));
        match (reserved, chain) {
            (ReserveOutcome::BudgetExhausted, _) => StoreReply::BudgetExhausted.into(),
            (_, ChainLookup::NotFound) => StoreReply::NoSuchTurn.into(),
            (ReserveOutcome::Granted, ChainLookup::Found(chain)) => CallReply {
                body: StoreReply::Begun {
                    history: chain.history,
                    previous: chain.parts.into_iter().next(),
                },
                guard: chain.memory.map(ReplyGuard::new),
            },
            (ReserveOutcome::Unavailable | ReserveOutcome::ViewChanged, _)
            | (_, ChainLookup::Unavailable) => StoreReply::Unavailable.into(),
        }
    }

    /// Reads the chain that the turn continues, and retains it while the turn runs.
    async fn prepare_chain(self: &Rc<Self>, start: &TurnStart) -> ChainLookup {
        let Some(previous) = &start.previous else {
            return ChainLookup::Found(Chain::empty());
        };
        let chain = match self.read_chain(&start.program, previous).await {
            ChainLookup::Found(chain) => chain,
            other => return other,
        };
        if !self.retain_chain(start, &chain).await {
            return ChainLookup::Unavailable;
        }
        ChainLookup::Found(chain)
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
        // A replica that misses the reservation also misses that the chain is retained for longer. The
        // reservation itself needs no hint: the next quorum includes it.
        let extended = start.previous.as_ref().map(|previous| TurnLocation {
            program: start.program.clone(),
            turn: previous.clone(),
        });
        let mut replies = self.broadcast(view, quorum.members(), &request, extended.as_ref());
        let mut merged = Account::default();
        while let Some(member_reply) = replies.recv().await {
            let Some(reply) = member_reply.reply else {
                continue;
            };
            match reply.body {
                PeerResponse::Account(account) => {
                    merged.merge_all(&account);
                    quorum.record_write(&member_reply.member, reply.incarnation);
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
}
