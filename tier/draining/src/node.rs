//! The states of one forwarder that drains, as a state machine.
//!
//! | state | new connections | open connections | ends by | longest stay |
//! | --- | --- | --- | --- | --- |
//! | in service | accepted | kept | a drain order | - |
//! | draining | rejected | each closes behind its next response | nothing in flight and none open; the idle timeout | the idle timeout |
//! | closing | rejected | idle ones are closed, responses in flight finish | nothing in flight and none open | the response timeout |
//! | drained | rejected | none | the order is lifted | until then |
//!
//! A lifted order leads back into service from every state. A node that cannot reach the control
//! plane keeps the newest order that it knows, and can always be ended by SIGTERM.
//!
//! A graceful shutdown takes the same way with shorter stays, and leads back nowhere: idle
//! connections are closed once the platform sends no more clients, responses still in flight at the
//! deadline are reset, and the process exits as soon as nothing is in flight.
//!
//! The proxy owns the [`NodeDrain`], tells it what it observes, and carries out the actions.

use std::time::Duration;

use crate::shutdown::{Shutdown, COMMIT_TIMEOUT, FLUSH_DELAY};

/// Added to a client's idle timeout, so that the client closes its connection first.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// The state of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts clients.
    #[default]
    InService,
    /// New clients are rejected; those on open connections are told to reconnect elsewhere.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// Nothing is in flight and no client is connected.
    Drained,
}

/// What the node observes of itself and of the control plane's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeObservation {
    /// The number of the order that drains the node, if there is one.
    pub drain_order: Option<u64>,
    /// Set once the process was told to end.
    pub shutdown: Option<Shutdown>,
    /// Whether the control plane has recorded that the node drained under this order.
    pub drained_recorded: bool,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Open connections of clients.
    pub open_connections: usize,
    /// The longest idle timeout of a client's connection that the configuration allows.
    pub max_idle_timeout: Duration,
    /// The longest time that a response may take by the configuration.
    pub max_response_timeout: Duration,
}

impl NodeObservation {
    fn has_clients(&self) -> bool {
        self.requests_in_flight > 0 || self.open_connections > 0
    }
}

/// What the node has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Report that the node is not ready for new clients, and close each connection behind its next
    /// response.
    RejectNewClients,
    /// Accept clients again.
    AcceptNewClients,
    /// Close the idle connections; those with a response in flight close behind it.
    CloseIdleConnections,
    /// Reset what is still open: its time is over.
    ResetConnections,
    /// Report to the control plane that the node has drained under the order with this number.
    ReportDrained(u64),
    /// Exit: nothing is in flight any more, or the time for it is over.
    ExitProcess,
}

/// The drain of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeDrain {
    state: NodeState,
    /// The order that the state follows.
    drain_order: Option<u64>,
    /// When the state was entered.
    entered_at: Duration,
    /// Whether connections have been reset in this state.
    has_reset: bool,
    /// During a shutdown: when nothing was in flight for the first time.
    idle_since: Option<Duration>,
}

impl NodeDrain {
    /// The present state.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Advances by what is observed at `now`, a time that never goes back. Returns the actions in
    /// the order in which they are to be carried out.
    pub fn step(&mut self, now: Duration, observed: &NodeObservation) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        self.follow_orders(now, observed, &mut actions);
        if self.state == NodeState::InService {
            return actions;
        }
        match observed.shutdown {
            None => self.advance_drain(now, observed, &mut actions),
            Some(shutdown) => self.advance_shutdown(now, shutdown, observed, &mut actions),
        }
        if self.state == NodeState::Drained && !observed.drained_recorded {
            if let Some(order) = self.drain_order {
                actions.push(DrainAction::ReportDrained(order));
            }
        }
        actions
    }

    /// Enters or leaves service as the orders and the shutdown say.
    fn follow_orders(
        &mut self,
        now: Duration,
        observed: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        let is_other_order = observed.drain_order != self.drain_order;
        self.drain_order = observed.drain_order;
        let is_shutting_down = observed.shutdown.is_some();
        let has_to_drain = observed.drain_order.is_some() || is_shutting_down;
        let is_in_service = self.state == NodeState::InService;
        if !has_to_drain {
            if !is_in_service {
                self.enter(NodeState::InService, now);
                actions.push(DrainAction::AcceptNewClients);
            }
            return;
        }
        // Another order begins anew, unless the process ends anyway.
        if is_in_service || (is_other_order && !is_shutting_down) {
            self.enter(NodeState::Draining, now);
            actions.push(DrainAction::RejectNewClients);
        }
    }

    /// Advances a drain that an order has begun.
    fn advance_drain(
        &mut self,
        now: Duration,
        observed: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        let is_draining = matches!(self.state, NodeState::Draining | NodeState::Closing);
        if is_draining && !observed.has_clients() {
            self.enter(NodeState::Drained, now);
            return;
        }
        let stayed = now.saturating_sub(self.entered_at);
        match self.state {
            NodeState::Draining if stayed >= observed.max_idle_timeout + IDLE_TIMEOUT_MARGIN => {
                self.enter(NodeState::Closing, now);
                actions.push(DrainAction::CloseIdleConnections);
            }
            NodeState::Closing if stayed >= observed.max_response_timeout => {
                self.reset_once(actions);
            }
            NodeState::InService
            | NodeState::Draining
            | NodeState::Closing
            | NodeState::Drained => {}
        }
    }

    /// Advances a graceful shutdown. Clients may be sent here for a while, whatever the state is.
    /// Requests that come later and complete at once do not delay the exit.
    fn advance_shutdown(
        &mut self,
        now: Duration,
        shutdown: Shutdown,
        observed: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        if now < shutdown.accept_until {
            return;
        }
        if self.state != NodeState::Closing {
            self.enter(NodeState::Closing, now);
            actions.push(DrainAction::CloseIdleConnections);
        }
        if now >= shutdown.response_deadline {
            self.reset_once(actions);
        }
        let is_idle = observed.requests_in_flight == 0;
        if is_idle && self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
        let has_flushed = self
            .idle_since
            .is_some_and(|idle_since| now.saturating_sub(idle_since) >= FLUSH_DELAY);
        let is_past_deadline = now >= shutdown.response_deadline + COMMIT_TIMEOUT;
        if (is_idle && has_flushed) || is_past_deadline {
            actions.push(DrainAction::ExitProcess);
        }
    }

    fn reset_once(&mut self, actions: &mut Vec<DrainAction>) {
        if !self.has_reset {
            self.has_reset = true;
            actions.push(DrainAction::ResetConnections);
        }
    }

    fn enter(&mut self, state: NodeState, now: Duration) {
        self.state = state;
        self.entered_at = now;
        self.has_reset = false;
    }
}
