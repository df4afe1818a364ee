#![allow(dead_code)]
//! The specification of the configuration: a register with compare-and-swap that recognizes
//! repeated puts.

pub mod checker;

use std::collections::BTreeSet;

use stateright::semantics::{LinearizabilityTester, SequentialSpec};

/// The version of a configuration and its number of routes; `(0, 0)` if there is no configuration.
pub type Content = (u64, usize);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    Put { expected: u64, content: Content },
    Read,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    Accepted,
    Rejected,
    Read(Content),
}

/// The sequential specification against which histories are checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    pub current: Content,
    pub accepted: BTreeSet<Content>,
}

impl SequentialSpec for Register {
    type Op = Request;
    type Ret = Response;

    fn invoke(&mut self, request: &Request) -> Response {
        match request {
            Request::Read => Response::Read(self.current),
            Request::Put { content, .. } if self.accepted.contains(content) => Response::Accepted,
            Request::Put { expected, content }
                if *expected == self.current.0 && content.0 > self.current.0 =>
            {
                self.current = *content;
                self.accepted.insert(*content);
                Response::Accepted
            }
            Request::Put { .. } => Response::Rejected,
        }
    }
}

pub type History = LinearizabilityTester<usize, Register>;
