//! Requests to the Raft groups that are not submitted yet: commands are numbered for each group, and all
//! requests wait in order while the ring to the groups thread (`plankhill-raft-groups`) is full. The
//! forwarder's event loop owns the queue.

use std::collections::{HashMap, VecDeque};

use plankhill_event_log::frames;
use plankhill_raft_groups::{GroupId, GroupRequest};

use crate::state_machine::encode_command;

/// Bytes of frames past which a command is split. A single frame may exceed this by one event's body.
pub const MAX_COMMAND_BYTES: usize = 4 << 20;

/// Requests that are not in the ring to the groups thread yet.
#[derive(Default)]
pub struct ProposalQueue {
    /// The number of each group's last command.
    last_numbers: HashMap<GroupId, u64>,
    requests: VecDeque<GroupRequest>,
}

impl ProposalQueue {
    /// Queues a command of these frames for the group, and returns its number.
    pub fn propose(&mut self, group: GroupId, frames: &[u8]) -> u64 {
        let last_number = self.last_numbers.entry(group).or_default();
        *last_number += 1;
        let number = *last_number;
        let command = encode_command(group, frames);
        self.requests.push_back(GroupRequest::Propose {
            group,
            number,
            command,
        });
        number
    }

    /// Like [`ProposalQueue::propose`], in as many commands as necessary, each of complete frames.
    pub fn propose_split(&mut self, group: GroupId, all_frames: &[u8]) -> Vec<u64> {
        let mut numbers = Vec::new();
        let mut part = Vec::new();
        for frame in frames(all_frames) {
            if !part.is_empty() && part.len() + frame.len() > MAX_COMMAND_BYTES {
                numbers.push(self.propose(group, &part));
                part.clear();
            }
            part.extend_from_slice(frame);
        }
        if !part.is_empty() {
            numbers.push(self.propose(group, &part));
        }
        numbers
    }

    /// Queues a request to create or dissolve a group after the requests that are already queued.
    pub fn enqueue(&mut self, request: GroupRequest) {
        self.requests.push_back(request);
    }

    /// Passes the requests to `send` in order until it returns one; true if none is left.
    pub fn submit(
        &mut self,
        mut send: impl FnMut(GroupRequest) -> Result<(), GroupRequest>,
    ) -> bool {
        while let Some(request) = self.requests.pop_front() {
            if let Err(request) = send(request) {
                self.requests.push_front(request);
                return false;
            }
        }
        true
    }

    /// Drops the group's commands that were not submitted. They are certainly never committed. Returns their
    /// numbers, which are assigned again.
    pub fn withdraw(&mut self, group: GroupId) -> Vec<u64> {
        let mut withdrawn = Vec::new();
        self.requests.retain(|request| match request {
            GroupRequest::Propose {
                group: of, number, ..
            } if *of == group => {
                withdrawn.push(*number);
                false
            }
            _ => true,
        });
        if let Some(last_number) = self.last_numbers.get_mut(&group) {
            *last_number -= withdrawn.len() as u64;
        }
        withdrawn
    }
}
