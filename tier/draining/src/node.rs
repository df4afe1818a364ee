//! The states of one forwarder that is taken out of service, as a state machine.
//!
//! | state | new connections | open connections | leaves by | longest stay |
//! | --- | --- | --- | --- | --- |
//! | in service | welcome | kept | an order | - |
//! | leaving | turned away | each closes behind its next answer | nothing under way and none open; the longest rest | the longest rest of a client |
//! | closing | turned away | those at rest are closed, answers under way finish | nothing under way and none open | the longest reply |
//! | empty | turned away | none | the order is lifted | until then |
//!
//! A lifted order leads back into service from every state. A node that cannot reach the control plane keeps the
//! newest order that it knows, and can always be ended by SIGTERM.
//!
//! The end of the process takes the same way with shorter stays, and leads back nowhere: connections at rest are closed
//! once no more clients are sent here, what is under way then is cut when its time is over, and the process ends as
//! soon as nothing is under way.

use std::time::Duration;

use crate::shutdown::{Shutdown, LAST_SETTLEMENTS, LAST_WRITES};

/// Left over a client's longest rest, so that its own end of the connection comes first.
const REST_MARGIN: Duration = Duration::from_millis(500);

/// Where the node stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// It takes clients.
    #[default]
    InService,
    /// New clients go elsewhere; those on open connections are told to.
    Leaving,
    /// Connections at rest are closed.
    Closing,
    /// Nothing is under way and no client is connected.
    Empty,
}

/// What the node sees of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeObservation {
    /// The number of the order that takes it out of service, if there is one.
    pub drain_order: Option<u64>,
    /// Set once the process was told to end.
    pub shutdown: Option<Shutdown>,
    /// Whether the control plane knows that it was empty under this order.
    pub drained_recorded: bool,
    /// Requests that are under way.
    pub requests_in_flight: usize,
    /// Open connections of clients.
    pub open_connections: usize,
    /// The longest rest of a client's connection that the configuration allows.
    pub max_idle_timeout: Duration,
    /// The longest time that a reply may take by the configuration.
    pub max_response_timeout: Duration,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Say that new clients are not welcome, and end each connection behind its next answer.
    RejectNewClients,
    /// Take clients again.
    AcceptNewClients,
    /// Close the connections at rest; those with a reply under way close behind it.
    CloseIdleConnections,
    /// Cut what is still open: its time is over.
    ResetConnections,
    /// Tell the control plane that the node is empty under the order of this number.
    ReportDrained(u64),
    /// End the process: nothing is under way any more, or the time for it is over.
    ExitProcess,
}

/// One node.
#[derive(Clone, Debug, Default)]
pub struct NodeDrain {
    state: NodeState,
    order: Option<u64>,
    since: Duration,
    has_cut: bool,
    /// On the way to the end of the process: when nothing was under way for the first time.
    was_quiet: Option<Duration>,
}

impl NodeDrain {
    /// Where it stands.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Goes on by what is seen at `now`, a time that never goes back; what is to be done, in this order.
    pub fn step(&mut self, now: Duration, seen: &NodeObservation) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        self.follow_orders(now, seen, &mut actions);
        if self.state == NodeState::InService {
            return actions;
        }
        match seen.shutdown {
            None => self.go_on(now, seen, &mut actions),
            Some(shutdown) => self.end(now, shutdown, seen, &mut actions),
        }
        if let (NodeState::Empty, Some(order), false) =
            (self.state, self.order, seen.drained_recorded)
        {
            actions.push(DrainAction::ReportDrained(order));
        }
        actions
    }

    fn follow_orders(
        &mut self,
        now: Duration,
        seen: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        let is_other = seen.drain_order != self.order;
        self.order = seen.drain_order;
        let leaves = seen.drain_order.is_some() || seen.shutdown.is_some();
        match (self.state, leaves) {
            (NodeState::InService, true) => {
                self.enter(
                    NodeState::Leaving,
                    now,
                    Some(DrainAction::RejectNewClients),
                    actions,
                );
            }
            // Another order begins anew, unless the process ends anyway.
            (_, true) if is_other && seen.shutdown.is_none() => {
                self.enter(
                    NodeState::Leaving,
                    now,
                    Some(DrainAction::RejectNewClients),
                    actions,
                );
            }
            (NodeState::InService, false) | (_, true) => {}
            (_, false) => self.enter(
                NodeState::InService,
                now,
                Some(DrainAction::AcceptNewClients),
                actions,
            ),
        }
    }

    fn go_on(&mut self, now: Duration, seen: &NodeObservation, actions: &mut Vec<DrainAction>) {
        let is_empty = seen.requests_in_flight == 0 && seen.open_connections == 0;
        let stayed = now.saturating_sub(self.since);
        match self.state {
            NodeState::Leaving | NodeState::Closing if is_empty => {
                self.enter(NodeState::Empty, now, None, actions);
            }
            NodeState::Leaving if stayed >= seen.max_idle_timeout + REST_MARGIN => {
                self.enter(
                    NodeState::Closing,
                    now,
                    Some(DrainAction::CloseIdleConnections),
                    actions,
                );
            }
            NodeState::Closing if stayed >= seen.max_response_timeout && !self.has_cut => {
                self.has_cut = true;
                actions.push(DrainAction::ResetConnections);
            }
            _ => {}
        }
    }

    /// On the way to the end of the process. Clients may be sent here for a while, whatever the state is. What comes
    /// later, and is over at once, does not hold the end up.
    fn end(
        &mut self,
        now: Duration,
        shutdown: Shutdown,
        seen: &NodeObservation,
        actions: &mut Vec<DrainAction>,
    ) {
        if now < shutdown.accept_until {
            return;
        }
        if self.state != NodeState::Closing {
            self.enter(
                NodeState::Closing,
                now,
                Some(DrainAction::CloseIdleConnections),
                actions,
            );
        }
        if now >= shutdown.response_deadline && !self.has_cut {
            self.has_cut = true;
            actions.push(DrainAction::ResetConnections);
        }
        let is_quiet = seen.requests_in_flight == 0;
        if is_quiet && self.was_quiet.is_none() {
            self.was_quiet = Some(now);
        }
        let has_written = self
            .was_quiet
            .is_some_and(|at| now.saturating_sub(at) >= LAST_WRITES);
        if (is_quiet && has_written) || now >= shutdown.response_deadline + LAST_SETTLEMENTS {
            actions.push(DrainAction::ExitProcess);
        }
    }

    fn enter(
        &mut self,
        state: NodeState,
        now: Duration,
        action: Option<DrainAction>,
        actions: &mut Vec<DrainAction>,
    ) {
        self.state = state;
        self.since = now;
        self.has_cut = false;
        actions.extend(action);
    }
}
