//! Instances that keep copies for each other: a machine lost with its disk loses nothing that was promised.

mod cut;
mod folders;
mod lost;
mod out;

use std::time::Duration;

use plankhill_process_tests::Manner;

pub const AT_ONCE: Manner = Manner::Answers(Duration::ZERO);
