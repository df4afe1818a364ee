//! The begin of a turn: its reservation and its chain, side by side.

use std::rc::Rc;
use std::sync::Arc;

use plankhill_conversations::account::{Account, TurnState, Verdict};
use plankhill_conversations::peer::{EndedTurn, PeerRequest, PeerResponse};
use plankhill_conversations::placement::Tally;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{Reservation, StoreReply};
use plankhill_protocol::tables::StoreView;

use super::chain::ChainEnd;
use super::end::Written;
use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::peers::Peers;

/// A turn that is to begin.
pub(super) struct Begin {
    pub(super) program: ProgramId,
    pub(super) turn: RequestId,
    pub(super) reservation: Option<Reservation>,
    pub(super) previous: Option<RequestId>,
}

/// How a reservation ended.
enum Reserved {
    Granted,
    Spent,
    Unsure,
    /// A newer view came up.
    Moved,
}

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    pub(super) async fn begin(self: &Rc<Self>, begin: Begin) -> StoreReply {
        let chain = async {
            match &begin.previous {
                Some(previous) => self.read_chain(&begin.program, previous).await,
                None => ChainEnd::Found {
                    history: Arc::from([]),
                    place: None,
                },
            }
        };
        let (reserved, chain) = tokio::join!(self.reserve(&begin), chain);
        match (reserved, chain) {
            (Reserved::Spent, _) => {
                self.release(&begin, TurnState::Refused);
                StoreReply::BudgetExhausted
            }
            (_, ChainEnd::NoSuchTurn) => {
                self.release(&begin, TurnState::Settled { tokens: 0 });
                StoreReply::NoSuchTurn
            }
            (Reserved::Granted, ChainEnd::Found { history, place }) => StoreReply::Begun {
                history,
                previous: place,
            },
            _ => StoreReply::Unavailable,
        }
    }

    async fn reserve(self: &Rc<Self>, begin: &Begin) -> Reserved {
        let Some(reservation) = &begin.reservation else {
            return Reserved::Granted;
        };
        if reservation.max_tokens > reservation.budget {
            return Reserved::Spent;
        }
        loop {
            let view = self.view();
            match self.reserve_in(&view, begin, reservation).await {
                Reserved::Moved if self.view().epoch > view.epoch => {}
                Reserved::Moved => return Reserved::Unsure,
                reserved => return reserved,
            }
        }
    }

    /// Writes the reservation to the replicas, and decides by all that enough of them know.
    async fn reserve_in(
        self: &Rc<Self>,
        view: &StoreView,
        begin: &Begin,
        reservation: &Reservation,
    ) -> Reserved {
        let request = PeerRequest::Reserve {
            program: begin.program.clone(),
            turn: begin.turn.clone(),
            most: reservation.max_tokens,
            previous: begin.previous.clone(),
        };
        let mut tally = Tally::new(view, &begin.program);
        let mut round = self.ask_all(view, tally.members(), &request);
        let mut known = Account::default();
        while let Some(answer) = round.recv().await {
            let Some(reply) = answer.reply else { continue };
            match reply.body {
                PeerResponse::Account(account) => {
                    known.merge_all(&account);
                    tally.written(&answer.member, reply.incarnation);
                }
                PeerResponse::OldEpoch(_) => return Reserved::Moved,
                _ => {}
            }
            if tally.is_enough() {
                return match known.verdict(&begin.turn, reservation) {
                    Verdict::Granted => Reserved::Granted,
                    Verdict::Spent => Reserved::Spent,
                    Verdict::Over => Reserved::Unsure,
                };
            }
        }
        Reserved::Unsure
    }

    /// The turn does not run: its reservation is given up, without waiting for it.
    fn release(self: &Rc<Self>, begin: &Begin, state: TurnState) {
        if begin.reservation.is_none() {
            return;
        }
        let ended = EndedTurn {
            program: begin.program.clone(),
            turn: begin.turn.clone(),
            state: Some(state),
            kept: None,
        };
        let node = self.clone();
        tokio::task::spawn_local(async move {
            if node.write_end(ended).await != Written::Enough {
                tracing::debug!("a reservation could not be given up");
            }
        });
    }
}
