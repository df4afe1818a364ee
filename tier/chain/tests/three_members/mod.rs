//! A chain of three members: the test drives one member and sends the messages of the other two.
#![allow(dead_code)]

use std::net::SocketAddr;

use plankhill_chain::{
    BadSnapshot, ChainMember, DurableState, Identity, Member, MemberConfig, Millis, StateMachine,
    View, ViewNumber, Write,
};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision};

/// State machine without any state.
pub struct EmptyMachine;

impl StateMachine for EmptyMachine {
    fn apply(&mut self, _: Revision, _: &[u8]) -> Vec<u8> {
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: Revision, _: &[u8]) -> Result<(), BadSnapshot> {
        Ok(())
    }
}

/// The member with this number, counted from 1.
pub fn member(number: u8) -> Member {
    let identity = Identity {
        node: NodeId::from(format!("core-{number}").as_str()),
        incarnation: Incarnation(7),
    };
    Member {
        identity,
        address: SocketAddr::from(([10, 0, 0, number], 7_000)),
    }
}

/// Starts the member with this number at clock time `now`, with this content on its disk.
pub fn start(number: u8, disk: &DurableState, now: Millis) -> ChainMember<EmptyMachine> {
    let configuration = MemberConfig {
        member: member(number),
        tolerated_faults: 1,
        seeds: (1..=3).map(|number| member(number).address).collect(),
        random_seed: 5,
    };
    ChainMember::new(configuration, disk.clone(), EmptyMachine, now)
        .expect("the disk content is valid")
}

/// Disk content of a member of the first view, without operations.
pub fn disk() -> DurableState {
    let voters: Vec<Member> = (1..=3).map(member).collect();
    let chain = voters
        .iter()
        .map(|voter| voter.identity.node.clone())
        .collect();
    let mut disk = DurableState::default();
    disk.apply(&Write::Incarnation(Incarnation(7)));
    disk.apply(&Write::View(View {
        number: ViewNumber(1),
        voters,
        chain,
        base: Revision(0),
    }));
    disk
}
