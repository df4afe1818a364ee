//! Commands on their way to the groups: numbered, and kept in order while the ring is full.

use std::collections::{HashMap, VecDeque};

use plankhill_event_log::frames;
use plankhill_raft_groups::{GroupId, GroupRequest};

use crate::state_machine::encode_command;

/// A command is cut before it grows past that many bytes; one frame may alone be longer, by one body.
pub const MAX_COMMAND_BYTES: usize = 4 << 20;

#[derive(Default)]
pub struct ProposalQueue {
    numbers: HashMap<GroupId, u64>,
    queue: VecDeque<GroupRequest>,
}

impl ProposalQueue {
    /// Numbers a command of these frames for the group; it leaves with the next `offer`.
    pub fn propose(&mut self, group: GroupId, frames: &[u8]) -> u64 {
        let number = self.numbers.entry(group).or_default();
        *number += 1;
        self.queue.push_back(GroupRequest::Propose {
            group,
            number: *number,
            command: encode_command(group, frames),
        });
        *number
    }

    /// As `propose`, in as many commands as it takes, each of whole frames.
    pub fn propose_split(&mut self, group: GroupId, all: &[u8]) -> Vec<u64> {
        let (mut numbers, mut cut) = (Vec::new(), Vec::new());
        for frame in frames(all) {
            if !cut.is_empty() && cut.len() + frame.len() > MAX_COMMAND_BYTES {
                numbers.push(self.propose(group, &cut));
                cut.clear();
            }
            cut.extend_from_slice(frame);
        }
        if !cut.is_empty() {
            numbers.push(self.propose(group, &cut));
        }
        numbers
    }

    /// To found a group, or to dissolve one, behind what was proposed before.
    pub fn enqueue(&mut self, order: GroupRequest) {
        self.queue.push_back(order);
    }

    /// Hands over what is waiting until one comes back; true if nothing is left.
    pub fn submit(&mut self, mut to: impl FnMut(GroupRequest) -> Result<(), GroupRequest>) -> bool {
        while let Some(order) = self.queue.pop_front() {
            if let Err(order) = to(order) {
                self.queue.push_front(order);
                return false;
            }
        }
        true
    }

    /// What has not left for the group never will; its numbers surely never count.
    pub fn withdraw(&mut self, group: GroupId) -> Vec<u64> {
        let mut numbers = Vec::new();
        self.queue.retain(|order| match order {
            GroupRequest::Propose {
                group: of, number, ..
            } if *of == group => {
                numbers.push(*number);
                false
            }
            _ => true,
        });
        if let Some(last) = self.numbers.get_mut(&group) {
            *last -= numbers.len() as u64;
        }
        numbers
    }
}
