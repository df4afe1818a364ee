//! Checks the encoding of the first message on a connection between members.

use std::sync::Arc;

use plankhill_chain::Identity;
use plankhill_protocol::ids::{Incarnation, NodeId};

use super::introduction::Introduction;

const RECORDED: [u8; 16] = [
    6, b'c', b'o', b'r', b'e', b'-', b'1', 0x88, 0x8e, 0x98, 0xa8, 0xc0, 0xe0, 0x80, 0x81, 0x01,
];

fn introduction() -> Introduction {
    let node = NodeId(Arc::from("core-1"));
    Introduction {
        identity: Identity {
            node,
            incarnation: Incarnation(0x0102_0304_0506_0708),
        },
    }
}

#[test]
fn an_introduction_is_written_as_recorded() {
    assert_eq!(postcard::to_allocvec(&introduction()).unwrap(), RECORDED);
}

#[test]
fn a_recorded_introduction_is_read_back() {
    let read: Introduction = postcard::from_bytes(&RECORDED).unwrap();
    assert_eq!(read, introduction());
}
