//! The model as `stateright` explores it: what may happen next in a state, and what it leads to.

use stateright::{Model, Property};

use crate::rules;
use crate::state::{Acceptor, Identity, Machine, Message, View, World};

/// A bug in the rules that has to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The base is the highest position of a survivor, not the lowest.
    BaseTooHigh,
    /// The base lies one below the lowest position.
    BaseTooLow,
    /// A lost disk keeps its identity.
    LostDiskVotes,
    /// Promises and acceptances are forgotten in a crash.
    PromiseUnsynced,
    /// A member takes operations after it has promised to help with the next view.
    SealIgnored,
    /// The tail answers reads by itself.
    UnconfirmedReads,
    /// One member is enough for a chain.
    ShortChain,
    /// A proposer does not wait for its own promise.
    BallotUsedTwice,
}

/// How far the exploration goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub machines: u8,
    pub operations: u8,
    /// Attempts of all machines together.
    pub attempts: u8,
    /// Only so many machines attempt, the first ones of the chain.
    pub proposers: u8,
    /// The highest number of a view; the first one is there at the beginning.
    pub views: u8,
    pub wipes: u8,
    pub crashes: u8,
    pub reads: u8,
    pub injected_bug: Option<InjectedBug>,
}

/// Something that may happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Order {
        head: u8,
    },
    CommitAtTail {
        tail: u8,
    },
    Deliver {
        message: Message,
        to: u8,
    },
    BeginAttempt {
        proposer: u8,
    },
    /// With the promises of these voters, and with these machines as joiners.
    Propose {
        proposer: u8,
        promises: Vec<u8>,
        joiners: Vec<Identity>,
    },
    Decide {
        proposer: u8,
    },
    Fetch {
        machine: u8,
        from: u8,
    },
    Report {
        machine: u8,
    },
    LoseDisk {
        machine: u8,
    },
    Crash {
        machine: u8,
    },
    BeginRead {
        tail: u8,
    },
    Confirm {
        voter: u8,
    },
    AnswerRead,
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let voters: Vec<Identity> = (0..self.machines)
            .map(|machine| Identity {
                machine,
                incarnation: 0,
            })
            .collect();
        // Of three machines all are in the chain; of four one is a voter only.
        let chain = (0..self.machines.min(3)).collect();
        let view = View {
            number: 1,
            voters,
            chain,
            base: 0,
        };
        let machine = Machine {
            incarnation: 0,
            view: view.clone(),
            acceptor: Acceptor::default(),
            log: Vec::new(),
            committed: 0,
            round: 0,
            proposed_view: None,
        };
        vec![World {
            machines: vec![machine; self.machines.into()],
            network: Default::default(),
            commits: Default::default(),
            decided: [view].into(),
            read: None,
            operations: 0,
            attempts: 0,
            wipes: 0,
            crashes: 0,
            reads: 0,
            violation: None,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.violation.is_none() {
            rules::steps(self, world, steps);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        rules::take(self, &mut next, step);
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, world: &World| {
                world.violation.is_none()
            }),
            Property::sometimes("a later view commits", |bounds: &Bounds, world: &World| {
                bounds.operations == 0 || world.commits.iter().any(|commit| commit.view > 1)
            }),
            Property::sometimes("a later view is decided", |_, world: &World| {
                world.decided.len() > 1
            }),
        ]
    }
}
