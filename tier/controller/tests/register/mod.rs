//! What operators may rely on: a register with compare-and-swap that knows repeats.

use std::collections::BTreeSet;

use stateright::semantics::{LinearizabilityTester, SequentialSpec};

/// Version and content of a configuration; 0 and 0 for none.
pub type Content = (u64, usize);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    Put { expected: u64, content: Content },
    Read,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Taken,
    Refused,
    Found(Content),
}

/// What the operators may rely on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    pub current: Content,
    pub taken: BTreeSet<Content>,
}

impl SequentialSpec for Register {
    type Op = Order;
    type Ret = Answer;

    fn invoke(&mut self, order: &Order) -> Answer {
        match order {
            Order::Read => Answer::Found(self.current),
            Order::Put { content, .. } if self.taken.contains(content) => Answer::Taken,
            Order::Put { expected, content }
                if *expected == self.current.0 && content.0 > self.current.0 =>
            {
                self.current = *content;
                self.taken.insert(*content);
                Answer::Taken
            }
            Order::Put { .. } => Answer::Refused,
        }
    }
}

pub type History = LinearizabilityTester<usize, Register>;
