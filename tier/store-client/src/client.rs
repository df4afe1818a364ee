//! The client: selects the store for each call, hedges and retries calls, and maps the stores' replies to
//! outcomes for the proxy.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use plankhill_protocol::ids::{NodeId, StoreEpoch, ZoneName};
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::tables::{StoreMember, StoreView};
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use crate::in_flight::{CallOutcome, InFlight, WaitResult};
use crate::selector::StoreSelector;
use crate::transport::{StoreTransport, TcpTransport};
use crate::turns::{BeginOutcome, BeginTurn, EndOutcome, EndTurn};

/// Timeout of a call to one store; the store's own timeout for the call is a little shorter.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// After this time without a reply the next store is called too: many times the usual latency of a store.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Backoff after calls to all stores were unsuccessful.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);

/// Calls the stores. Clones share all state. Must be used on one thread, inside a `LocalSet`.
pub struct StoreClient<T = TcpTransport> {
    shared: Rc<Shared<T>>,
}

impl<T> Clone for StoreClient<T> {
    fn clone(&self) -> Self {
        StoreClient {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<T> {
    zone: ZoneName,
    epoch: Cell<StoreEpoch>,
    selector: RefCell<StoreSelector>,
    transport: T,
}

impl StoreClient {
    /// Creates a client for the proxy on the machine `node`. The client has no stores to call until
    /// [`StoreClient::set_view`].
    pub fn new(node: NodeId, zone: ZoneName) -> Self {
        StoreClient::with_transport(TcpTransport::new(node), zone)
    }
}

impl<T: StoreTransport> StoreClient<T> {
    /// Creates a client that calls the stores over `transport`.
    pub fn with_transport(transport: T, zone: ZoneName) -> Self {
        let shared = Shared {
            zone,
            epoch: Cell::default(),
            selector: RefCell::default(),
            transport,
        };
        StoreClient {
            shared: Rc::new(shared),
        }
    }

    /// Sets the current view of the stores. A view that is older than the client's is ignored.
    pub fn set_view(&self, view: &StoreView) {
        if view.epoch < self.shared.epoch.get() {
            return;
        }
        self.shared.epoch.set(view.epoch);
        self.shared
            .selector
            .borrow_mut()
            .set_view(view, &self.shared.zone);
        let addresses: Vec<_> = view.serving.iter().map(|member| member.address).collect();
        self.shared.transport.retain_addresses(&addresses);
    }

    /// Returns whether there is any store to call.
    pub fn is_ready(&self) -> bool {
        !self.shared.selector.borrow().is_empty()
    }

    /// Reserves the turn's tokens and fetches the history that the turn continues; returns within
    /// `timeout`.
    pub async fn begin_turn(&self, begin: BeginTurn, timeout: Duration) -> BeginOutcome {
        match self.call(|epoch| begin.to_call(epoch), timeout).await {
            Some(StoreReply::Begun { history, previous }) => {
                BeginOutcome::Begun { history, previous }
            }
            Some(StoreReply::BudgetExhausted) => BeginOutcome::BudgetExhausted,
            Some(StoreReply::NoSuchTurn) => BeginOutcome::NoSuchTurn,
            Some(StoreReply::Ended | StoreReply::Unavailable | StoreReply::StaleEpoch(_))
            | None => BeginOutcome::Unavailable,
        }
    }

    /// Commits the turn's tokens and stores its record; returns within `timeout`.
    pub async fn end_turn(&self, end: EndTurn, timeout: Duration) -> EndOutcome {
        match self.call(|epoch| end.to_call(epoch), timeout).await {
            Some(StoreReply::Ended) => EndOutcome::Ended,
            _ => EndOutcome::Unavailable,
        }
    }

    /// Calls the stores in order, repeatedly, until one of them returns a conclusive reply; None after the
    /// timeout.
    async fn call(
        &self,
        call: impl Fn(StoreEpoch) -> StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        let deadline = Instant::now() + timeout;
        let mut in_flight = InFlight::new();
        loop {
            let members = self.shared.selector.borrow().ordered(Instant::now());
            for member in members {
                if Instant::now() >= deadline {
                    return None;
                }
                self.start_call(member, call(self.shared.epoch.get()), in_flight.begin());
                let hedge_at = deadline.min(Instant::now() + HEDGE_DELAY);
                if let WaitResult::Outcome(Some(reply)) = in_flight.next(hedge_at).await {
                    return Some(reply);
                }
            }
            // All stores have been called; those that have not replied yet may still be conclusive.
            while !in_flight.is_empty() {
                match in_flight.next(deadline).await {
                    WaitResult::Outcome(Some(reply)) => return Some(reply),
                    WaitResult::Outcome(None) => {}
                    WaitResult::TimedOut => return None,
                }
            }
            let retry_at = Instant::now() + RETRY_BACKOFF;
            if retry_at >= deadline {
                return None;
            }
            tokio::time::sleep_until(retry_at).await;
        }
    }

    /// Calls one store in a separate task, which ends at the latest with the call's timeout.
    fn start_call(&self, member: StoreMember, call: StoreCall, outcome: mpsc::Sender<CallOutcome>) {
        let shared = self.shared.clone();
        let reply = shared.transport.call(member.address, call, CALL_TIMEOUT);
        tokio::task::spawn_local(async move {
            let slow_at = Instant::now() + HEDGE_DELAY;
            let mut reply = std::pin::pin!(reply);
            let reply = match timeout_at(slow_at, &mut reply).await {
                Ok(reply) => reply,
                Err(_) => {
                    // Until this store replies, other calls go to other stores first.
                    shared.record_failure(&member.node);
                    reply.await
                }
            };
            let reply = reply.ok().filter(is_conclusive);
            if reply.is_some() {
                shared.selector.borrow_mut().record_success(&member.node);
            } else {
                shared.record_failure(&member.node);
            }
            // The receiver is dropped if another store has replied first.
            let _ = outcome.send(reply).await;
        });
    }
}

impl<T> Shared<T> {
    fn record_failure(&self, node: &NodeId) {
        self.selector
            .borrow_mut()
            .record_failure(node, Instant::now());
    }
}

/// Returns whether a reply is final, so that no other store has to be called.
fn is_conclusive(reply: &StoreReply) -> bool {
    !matches!(reply, StoreReply::Unavailable | StoreReply::StaleEpoch(_))
}
