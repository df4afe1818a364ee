//! The client itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use plankhill_protocol::ids::{NodeId, StoreEpoch, ZoneName};
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use crate::calls::{StoreCalls, TcpStores};
use crate::choice::StoreChoice;
use crate::turns::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};

/// The longest that one store is waited for: it gives up by itself a little earlier.
const LONGEST_CALL: Duration = Duration::from_millis(700);
/// After this time without an answer the next store is asked as well: many times what a store takes.
const HEDGE_AFTER: Duration = Duration::from_millis(200);
/// Pause after all stores were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// Answers that wait to be read.
const ANSWERS: usize = 64;

/// Calls the stores. Clones share everything. For one thread, inside a `LocalSet`.
pub struct StoreClient<C = TcpStores> {
    shared: Rc<Shared<C>>,
}

impl<C> Clone for StoreClient<C> {
    fn clone(&self) -> Self {
        StoreClient {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<C> {
    zone: ZoneName,
    epoch: Cell<StoreEpoch>,
    choice: RefCell<StoreChoice>,
    calls: C,
}

impl StoreClient {
    /// A client of the proxy on this machine; it knows no stores before [`StoreClient::set_view`].
    pub fn new(node: NodeId, zone: ZoneName) -> Self {
        StoreClient::with_calls(TcpStores::new(node), zone)
    }
}

impl<C: StoreCalls> StoreClient<C> {
    /// A client that reaches the stores in its own way.
    pub fn with_calls(calls: C, zone: ZoneName) -> Self {
        let shared = Shared {
            zone,
            epoch: Cell::default(),
            choice: RefCell::default(),
            calls,
        };
        StoreClient {
            shared: Rc::new(shared),
        }
    }

    /// Takes the present view of the stores; older ones than the one held are ignored.
    pub fn set_view(&self, view: &StoreView) {
        if view.epoch < self.shared.epoch.get() {
            return;
        }
        self.shared.epoch.set(view.epoch);
        self.shared
            .choice
            .borrow_mut()
            .set_view(view, &self.shared.zone);
        let addresses: Vec<_> = view.serving.iter().map(|member| member.address).collect();
        self.shared.calls.keep_only(&addresses);
    }

    /// Whether any store is known.
    pub fn is_ready(&self) -> bool {
        !self.shared.choice.borrow().is_empty()
    }

    /// Reserves the turn's most and fetches what it goes on from; ends within `budget`.
    pub async fn begin_turn(&self, begin: BeginTurn, budget: Duration) -> BeginOutcome {
        match self.ask(|epoch| begin.call(epoch), budget).await {
            Some(StoreReply::Begun { history, previous }) => {
                BeginOutcome::Begun { history, previous }
            }
            Some(StoreReply::BudgetExhausted) => BeginOutcome::BudgetSpent,
            Some(StoreReply::NoSuchTurn) => BeginOutcome::NoSuchTurn,
            _ => BeginOutcome::Unavailable,
        }
    }

    /// Settles the turn and keeps its record; ends within `budget`.
    pub async fn end_turn(&self, end: EndTurn, budget: Duration) -> EndOutcome {
        match self.ask(|epoch| end.call(epoch), budget).await {
            Some(StoreReply::Ended) => EndOutcome::Ended,
            _ => EndOutcome::Unavailable,
        }
    }

    /// Asks the stores until one knows; None when the time is up.
    async fn ask(
        &self,
        call: impl Fn(StoreEpoch) -> StoreCall,
        budget: Duration,
    ) -> Option<StoreReply> {
        let ends = Instant::now() + budget;
        let (answers, mut answered) = mpsc::channel(ANSWERS);
        let mut asking = 0_usize;
        loop {
            let order = self.shared.choice.borrow().order(Instant::now());
            for member in order {
                if Instant::now() >= ends {
                    return None;
                }
                self.start(member, call(self.shared.epoch.get()), answers.clone());
                asking += 1;
                let hedge = ends.min(Instant::now() + HEDGE_AFTER);
                if let Ok(Some(answer)) = timeout_at(hedge, answered.recv()).await {
                    asking -= 1;
                    if answer.is_some() {
                        return answer;
                    }
                }
            }
            // All have been asked; those that have not answered yet may still know.
            while asking > 0 {
                let answer = timeout_at(ends, answered.recv()).await.ok()?;
                asking -= 1;
                if let Some(Some(reply)) = answer {
                    return Some(reply);
                }
            }
            let pause_ends = Instant::now() + ROUND_PAUSE;
            if pause_ends >= ends {
                return None;
            }
            tokio::time::sleep_until(pause_ends).await;
        }
    }

    /// Asks one store. The answer is None if it does not know, or none came.
    fn start(
        &self,
        member: StoreMember,
        call: StoreCall,
        answers: mpsc::Sender<Option<StoreReply>>,
    ) {
        let shared = self.shared.clone();
        let calling = shared.calls.call(member.address, call, LONGEST_CALL);
        tokio::task::spawn_local(async move {
            let slow_at = Instant::now() + HEDGE_AFTER;
            let mut calling = std::pin::pin!(calling);
            let reply = match timeout_at(slow_at, &mut calling).await {
                Ok(reply) => reply,
                Err(_) => {
                    // Others are asked first until it answers again.
                    shared.note(&member.node, false);
                    calling.await
                }
            };
            let known = reply.ok().filter(is_known);
            shared.note(&member.node, known.is_some());
            // The caller may have heard from another store.
            let _ = answers.send(known).await;
        });
    }
}

impl<C> Shared<C> {
    /// Notes whether a store knew. One that did not, or was slow, is asked last for a while.
    fn note(&self, node: &NodeId, knew: bool) {
        let mut choice = self.choice.borrow_mut();
        if knew {
            choice.answered(node);
        } else {
            choice.failed(node, Instant::now());
        }
    }
}

/// Whether a store knew.
fn is_known(reply: &StoreReply) -> bool {
    !matches!(reply, StoreReply::Unavailable | StoreReply::StaleEpoch(_))
}
