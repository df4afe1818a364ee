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

use std::time::Duration;

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
}

/// One node.
#[derive(Clone, Debug, Default)]
pub struct NodeDrain {
    state: NodeState,
    order: Option<u64>,
    since: Duration,
    has_cut: bool,
}

impl NodeDrain {
    /// Where it stands.
    pub fn state(&self) -> NodeState {
        self.state
    }

    /// Goes on by what is seen at `now`, a time that never goes back; what is to be done, in this order.
    pub fn step(&mut self, now: Duration, seen: &Seen) -> Vec<Action> {
        let mut actions = Vec::new();
        if seen.order != self.order {
            self.order = seen.order;
            self.has_cut = false;
            match seen.order {
                Some(_) => self.enter(NodeState::Leaving, now, Some(Action::TurnAway), &mut actions),
                None => self.enter(NodeState::InService, now, Some(Action::Welcome), &mut actions),
            }
        }
        if self.state == NodeState::InService {
            return actions;
        }
        self.go_on(now, seen, &mut actions);
        if let (NodeState::Empty, Some(order), false) = (self.state, self.order, seen.recorded) {
            actions.push(Action::ReportEmpty(order));
        }
        actions
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

    fn enter(&mut self, state: NodeState, now: Duration, action: Option<Action>, actions: &mut Vec<Action>) {
        self.state = state;
        self.since = now;
        actions.extend(action);
    }
}
