//! State machine of the drain of one forwarder.
//!
//! | state | new connections | open connections | exit condition | time limit |
//! | --- | --- | --- | --- | --- |
//! | in service | accepted | kept | a drain order | - |
//! | draining | rejected | each is closed after its next response | nothing in flight and none open; the idle timeout | the idle timeout |
//! | closing | rejected | idle ones are closed, responses in flight finish | nothing in flight and none open | the response timeout |
//! | drained | rejected | none | the order is lifted | - |
//!
//! Lifting the order returns the node to service from every state. A node that cannot reach the
//! control plane keeps following the newest order that it received, and can always be terminated
//! with SIGTERM.
//!
//! A graceful shutdown uses the same states with shorter time limits and never returns to service:
//! idle connections are closed once the platform sends no more clients, responses still in flight
//! at the deadline are reset, and the process exits as soon as nothing is in flight.
//!
//! The proxy owns the [`NodeDrain`], passes its observations to [`NodeDrain::step`], and carries
//! out the returned actions.

use std::time::Duration;

use crate::shutdown::{Shutdown, COMMIT_TIMEOUT, FLUSH_DELAY};

/// Added to the clients' idle timeout, so that clients close their connections first.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// The state of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts clients.
    #[default]
    InService,
    /// New clients are rejected; each open connection is closed after its next response, so that
    /// its client reconnects elsewhere.
    Draining,
    /// Idle connections are closed.
    Closing,
    /// Nothing is in flight and no client is connected.
    Drained,
}

/// The observed state of the node and of the control plane's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeObservation {
    /// The number of the order that drains the node, if there is one.
    pub drain_order: Option<u64>,
    /// The deadlines of the graceful shutdown, set once the process has received SIGTERM.
    pub shutdown: Option<Shutdown>,
    /// Whether the control plane has recorded that the node drained under this order.
    pub drained_recorded: bool,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Open client connections.
    pub open_connections: usize,
    /// The longest idle timeout of a client's connection that the configuration allows.
    pub max_idle_timeout: Duration,
    /// The longest response timeout that the configuration allows.
    pub max_response_timeout: Duration,
}

impl NodeObservation {
    fn has_clients(&self) -> bool {
        self.requests_in_flight > 0 || self.open_connections > 0
    }
}

/// An action that the proxy has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Report that the node is not ready for new clients, and close each connection after its next
    /// response.
    RejectNewClients,
    /// Accept clients again.
    AcceptNewClients,
    /// Close the idle connections. A connection with a response in flight is closed after that
    /// response.
    CloseIdleConnections,
    /// Reset the connections that are still open after the time limit.
    ResetConnections,
    /// Report to the control plane that the node has drained under the order with this number.
    ReportDrained(u64),
    /// Exit the process: nothing is in flight, or the time limit for requests in flight has passed.
    ExitProcess,
}

/// The drain of one node.
#[derive(Clone, Debug, Default)]
pub struct NodeDrain {
    state: NodeState,
    /// The number of the drain order that the state is based on.
    drain_order: Option<u64>,
    /// When the state was entered.
    entered_at: Duration,
    /// Whether connections have been reset in this state.
    has_reset: bool,
    /// The first time during a shutdown at which nothing was in flight.
    idle_since: Option<Duration>,
}

impl NodeDrain {
    /// The current state.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Advances the state machine with an observation made at `now`, a time that never decreases.
    /// Returns the actions in the order in which they have to be carried out.
    pub fn step(&mut self, now: Duration, observed: &NodeObservation) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        self.apply_drain_order(now, observed, &mut actions);
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

    /// Enters or leaves service according to the drain order and the shutdown.
    fn apply_drain_order(
        &mut self,
        now: Duration,
        observed: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        let has_order_changed = observed.drain_order != self.drain_order;
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
        // A different order restarts the drain, unless the process is shutting down.
        if is_in_service || (has_order_changed && !is_shutting_down) {
            self.enter(NodeState::Draining, now);
            actions.push(DrainAction::RejectNewClients);
        }
    }

    /// Advances a drain that was started by an order.
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
        let time_in_state = now.saturating_sub(self.entered_at);
        match self.state {
            NodeState::Draining
                if time_in_state >= observed.max_idle_timeout + IDLE_TIMEOUT_MARGIN =>
            {
                self.enter(NodeState::Closing, now);
                actions.push(DrainAction::CloseIdleConnections);
            }
            NodeState::Closing if time_in_state >= observed.max_response_timeout => {
                self.reset_once(actions);
            }
            NodeState::InService
            | NodeState::Draining
            | NodeState::Closing
            | NodeState::Drained => {}
        }
    }

    /// Advances a graceful shutdown. Until `accept_until` the platform may still send clients to
    /// this node, whatever its state is.
    ///
    /// The flush delay starts at the first time without requests in flight, so that requests that
    /// arrive later and complete at once do not delay the exit.
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
