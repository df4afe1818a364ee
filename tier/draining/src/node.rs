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
pub struct Seen {
    /// The number of the order that takes it out of service, if there is one.
    pub order: Option<u64>,
    /// Set once the process was told to end.
    pub shutdown: Option<Shutdown>,
    /// Whether the control plane knows that it was empty under this order.
    pub recorded: bool,
    /// Requests that are under way.
    pub requests: usize,
    /// Open connections of clients.
    pub connections: usize,
    /// The longest rest of a client's connection that the configuration allows.
    pub longest_rest: Duration,
    /// The longest time that a reply may take by the configuration.
    pub longest_reply: Duration,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say that new clients are not welcome, and end each connection behind its next answer.
    TurnAway,
    /// Take clients again.
    Welcome,
    /// Close the connections at rest; those with a reply under way close behind it.
    CloseIdle,
    /// Cut what is still open: its time is over.
    Cut,
    /// Tell the control plane that the node is empty under the order of this number.
    ReportEmpty(u64),
    /// End the process: nothing is under way any more, or the time for it is over.
    EndProcess,
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
    pub fn step(&mut self, now: Duration, seen: &Seen) -> Vec<Action> {
        let mut actions = Vec::new();
        self.follow_orders(now, seen, &mut actions);
        if self.state == NodeState::InService {
            return actions;
        }
        match seen.shutdown {
            None => self.go_on(now, seen, &mut actions),
            Some(shutdown) => self.end(now, shutdown, seen, &mut actions),
        }
        if let (NodeState::Empty, Some(order), false) = (self.state, self.order, seen.recorded) {
            actions.push(Action::ReportEmpty(order));
        }
        actions
    }

    fn follow_orders(&mut self, now: Duration, seen: &Seen, actions: &mut Vec<Action>) {
        let is_other = seen.order != self.order;
        self.order = seen.order;
        let leaves = seen.order.is_some() || seen.shutdown.is_some();
        match (self.state, leaves) {
            (NodeState::InService, true) => {
                self.enter(NodeState::Leaving, now, Some(Action::TurnAway), actions);
            }
            // Another order begins anew, unless the process ends anyway.
            (_, true) if is_other && seen.shutdown.is_none() => {
                self.enter(NodeState::Leaving, now, Some(Action::TurnAway), actions);
            }
            (NodeState::InService, false) | (_, true) => {}
            (_, false) => self.enter(NodeState::InService, now, Some(Action::Welcome), actions),
        }
    }

    fn go_on(&mut self, now: Duration, seen: &Seen, actions: &mut Vec<Action>) {
        let is_empty = seen.requests == 0 && seen.connections == 0;
        let stayed = now.saturating_sub(self.since);
        match self.state {
            NodeState::Leaving | NodeState::Closing if is_empty => {
                self.enter(NodeState::Empty, now, None, actions);
            }
            NodeState::Leaving if stayed >= seen.longest_rest + REST_MARGIN => {
                self.enter(NodeState::Closing, now, Some(Action::CloseIdle), actions);
            }
            NodeState::Closing if stayed >= seen.longest_reply && !self.has_cut => {
                self.has_cut = true;
                actions.push(Action::Cut);
            }
            _ => {}
        }
    }

    /// On the way to the end of the process. Clients may be sent here for a while, whatever the state is. What comes
    /// later, and is over at once, does not hold the end up.
    fn end(&mut self, now: Duration, shutdown: Shutdown, seen: &Seen, actions: &mut Vec<Action>) {
        if now < shutdown.clients_come_until {
            return;
        }
        if self.state != NodeState::Closing {
            self.enter(NodeState::Closing, now, Some(Action::CloseIdle), actions);
        }
        if now >= shutdown.replies_end && !self.has_cut {
            self.has_cut = true;
            actions.push(Action::Cut);
        }
        let is_quiet = seen.requests == 0;
        if is_quiet && self.was_quiet.is_none() {
            self.was_quiet = Some(now);
        }
        let has_written = self
            .was_quiet
            .is_some_and(|at| now.saturating_sub(at) >= LAST_WRITES);
        if (is_quiet && has_written) || now >= shutdown.replies_end + LAST_SETTLEMENTS {
            actions.push(Action::EndProcess);
        }
    }

    fn enter(
        &mut self,
        state: NodeState,
        now: Duration,
        action: Option<Action>,
        actions: &mut Vec<Action>,
    ) {
        self.state = state;
        self.since = now;
        self.has_cut = false;
        actions.extend(action);
    }
}
