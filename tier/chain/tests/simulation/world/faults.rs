//! Injected faults, and injected bugs that the invariants have to detect.

use plankhill_chain::{Message, Millis, PlantedBug};

use super::machine::Machine;
use super::World;

/// Time for which a machine still counts as lost after its return, in ms (`catch_up_s` of the
/// tightest deployment known).
pub const RECOVERY_TIMEOUT: Millis = 4_100;

/// A bug that some invariant has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Disks report syncs that have not happened.
    UnsyncedDisk,
    /// The replacement of a lost disk keeps the incarnation, so that old votes still count.
    IncarnationReused,
    /// Voters answer each attempt as if it were the first.
    PromisesForgotten,
    /// Operations are acknowledged with a single replica.
    SingleReplicaCommits,
    /// Voters confirm every view.
    ViewAlwaysConfirmed,
    /// Messages of older views are accepted as messages of the receiver's view.
    ViewsNotChecked,
    /// Retries of a proposal carry a new request number.
    RetriesRenumbered,
    /// Some outcomes are altered in transit.
    OutcomesAltered,
    /// Messages with decided views are lost.
    DecisionsLost,
    /// A bug planted in the members' rules.
    Planted(PlantedBug),
}

/// Selection of the faults to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// Any kind of fault.
    Any,
    /// Short faults that make two members propose at the same time: messages are lost in one
    /// direction, and the head freezes.
    DuelingProposers,
}

impl World {
    /// Applies the injected bug to a message; `None` drops the message.
    pub(super) fn apply_injected_bug(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
    ) -> Option<Message> {
        match (self.config.injected_bug, message) {
            (Some(InjectedBug::ViewsNotChecked), message) => Some(self.with_view_of(to, message)),
            (Some(InjectedBug::PromisesForgotten), Message::Decided(_)) if !self.rng.one_in(4) => {
                None
            }
            (Some(InjectedBug::RetriesRenumbered), Message::Forward { view, mut entry }) => {
                entry.request.0 ^= u128::from(self.now) << 32;
                Some(Message::Forward { view, entry })
            }
            (
                Some(InjectedBug::PromisesForgotten),
                Message::Promise {
                    instance,
                    ballot,
                    last_revision,
                    ..
                },
            ) => Some(Message::Promise {
                instance,
                ballot,
                accepted: None,
                last_revision,
            }),
            (Some(InjectedBug::OutcomesAltered), Message::Outcome { request, outcome }) => {
                let altered =
                    u64::from_le_bytes(outcome.as_ref().try_into().unwrap()) + self.now % 2;
                Some(Message::Outcome {
                    request,
                    outcome: altered.to_le_bytes().to_vec().into(),
                })
            }
            (Some(InjectedBug::DecisionsLost), Message::Decided(_)) if self.now > 4_000 => None,
            (
                Some(InjectedBug::ViewAlwaysConfirmed),
                Message::Confirm {
                    view,
                    confirmation_id,
                },
            ) => {
                let voter = self.machines[to]
                    .process
                    .as_ref()
                    .map(|member| member.member().identity.clone());
                let forged = voter.map(|voter| {
                    (
                        voter,
                        Message::Confirmed {
                            view,
                            confirmation_id,
                        },
                    )
                });
                if let Some((voter, reply)) = forged {
                    self.deliver_forged_reply(from, voter, reply);
                }
                None
            }
            (_, message) => Some(message),
        }
    }

    fn with_view_of(&self, to: usize, message: Message) -> Message {
        let Some(member) = self.machines[to].process.as_ref() else {
            return message;
        };
        let view = member.view().number;
        match message {
            Message::Append {
                previous, entries, ..
            } => Message::Append {
                view,
                previous,
                entries,
            },
            Message::Committed { revision, .. } => Message::Committed { view, revision },
            other => other,
        }
    }

    /// Starts the sequence of faults.
    pub fn start_faults(&mut self) {
        self.are_faults_enabled = true;
        self.schedule_fault(1);
    }

    /// Ends all faults, and restarts the machines that are down.
    pub fn stop_faults(&mut self) {
        self.are_faults_enabled = false;
        self.heal();
        for machine in &mut self.machines {
            machine.sync_time = None;
            machine.stalled_until = 0;
            machine.full_until = 0;
        }
        for index in 0..self.machines.len() {
            self.thaw(index);
            if !self.machines[index].is_up() {
                self.schedule_restart(index, 1);
            }
        }
    }

    pub(super) fn next_fault(&mut self) {
        if !self.are_faults_enabled {
            return;
        }
        if self.config.fault_mix == FaultMix::DuelingProposers {
            self.disturb_proposers();
            let delay = self.rng.between(600, 1_400);
            self.schedule_fault(delay);
            return;
        }
        self.inject_fault();
        let soon = self.rng.one_in(3);
        let delay = if soon {
            self.rng.below(200)
        } else {
            self.rng.between(500, 7_000)
        };
        self.schedule_fault(delay);
    }

    /// Called when a voter has accepted a proposer's view. At times all messages of the proposer
    /// are lost from then on, until the others have started an attempt of their own: the view may
    /// be decided, and only the proposer has learned it.
    pub(super) fn on_accepted_sent(&mut self, proposer: usize) {
        let is_due = self.config.fault_mix == FaultMix::DuelingProposers
            && self.are_faults_enabled
            && self.now >= self.proposer_partitioned_until
            && self.rng.one_in(2);
        if !is_due {
            return;
        }
        self.proposer_partitioned_until = self.now + self.rng.between(900, 2_500);
        let others = (0..self.machines.len()).filter(|other| *other != proposer);
        let partitions: Vec<_> = others.map(|other| (proposer, other)).collect();
        self.partition(&partitions);
    }

    /// Replaces the partitions by other one-way partitions, and at times freezes the head for about
    /// as long as the other members wait for its heartbeats.
    fn disturb_proposers(&mut self) {
        if self.now < self.proposer_partitioned_until {
            return;
        }
        self.heal();
        let machines = self.machines.len() as u64;
        for _ in 0..self.rng.between(1, 3) {
            let from = self.rng.below(machines) as usize;
            let to = self.rng.below(machines) as usize;
            self.partition(&[(from, to)]);
        }
        let head = self.head().filter(|_| self.rng.one_in(3));
        if let Some(head) = head.filter(|head| !self.machines[*head].frozen) {
            self.machines[head].frozen = true;
            let delay = self.rng.between(500, 1_400);
            self.schedule_thaw(head, delay);
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let present: Vec<_> = (0..self.machines.len())
            .filter(|index| !self.machines[*index].removed)
            .collect();
        let Some(index) = self.rng.pick(&present) else {
            return;
        };
        let Some(other) = self.rng.pick(&present) else {
            return;
        };
        let loses_disk =
            self.config.injected_bug == Some(InjectedBug::IncarnationReused) && self.rng.one_in(2);
        let drawn = if loses_disk { 8 } else { self.rng.below(16) };
        match drawn {
            0 | 1 => self.kill(index),
            2 | 3 => self.freeze(index),
            4 => self.partition(&[(index, other)]),
            5 => self.partition(&[(index, other), (other, index)]),
            6 => self.isolate(index),
            7 => {
                for index in present {
                    self.kill(index);
                }
            }
            8 | 9 => self.lose_disks(&present),
            10 => self.replace(index),
            11 => self.heal(),
            12 => self.stall_disk(index),
            13 => self.fill_disk(index),
            14 => self.slow_down_disk(index),
            _ => {
                for index in present {
                    self.freeze(index);
                }
            }
        }
    }

    pub fn kill(&mut self, index: usize) {
        if !self.machines[index].is_up() {
            return;
        }
        self.drop_pending_calls(index);
        self.stop(index);
        let delay = self.rng.between(50, 1_500);
        self.schedule_restart(index, delay);
    }

    pub fn freeze(&mut self, index: usize) {
        if !self.machines[index].is_up() || self.machines[index].frozen {
            return;
        }
        self.machines[index].frozen = true;
        self.last_fault_at = self.last_fault_at.max(self.now);
        let delay = self.rng.between(20, 5_000);
        self.schedule_thaw(index, delay);
    }

    /// Stalls a disk for a random time.
    pub fn stall_disk(&mut self, index: usize) {
        let until = self.now + self.rng.between(100, 5_000);
        self.machines[index].stalled_until = until;
        self.last_fault_at = self.last_fault_at.max(until);
    }

    /// Makes the syncs of a disk slow for a random time.
    pub fn slow_down_disk(&mut self, index: usize) {
        let until = self.now + self.rng.between(500, 8_000);
        let sync_time = self.rng.between(50, 900);
        self.machines[index].sync_time = Some(sync_time);
        self.machines[index].slow_until = until;
        self.last_fault_at = self.last_fault_at.max(until);
    }

    /// Makes a disk reject writes for a random time.
    pub fn fill_disk(&mut self, index: usize) {
        let until = self.now + self.rng.between(100, 8_000);
        self.machines[index].full_until = until;
        self.last_fault_at = self.last_fault_at.max(until);
    }

    pub fn partition(&mut self, pairs: &[(usize, usize)]) {
        self.last_fault_at = self.last_fault_at.max(self.now);
        self.partitions
            .extend(pairs.iter().filter(|(from, to)| from != to));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
        self.last_fault_at = self.last_fault_at.max(self.now);
    }

    pub fn isolate(&mut self, index: usize) {
        let others = (0..self.machines.len()).filter(|other| *other != index);
        let pairs: Vec<_> = others
            .flat_map(|other| [(index, other), (other, index)])
            .collect();
        self.partition(&pairs);
    }

    /// Empties the disks of as many machines as are tolerated, at times together with a power loss
    /// of all others. Does nothing while a machine still counts as lost.
    fn lose_disks(&mut self, present: &[usize]) {
        if !self.is_recovered() {
            return;
        }
        let all_lose_power = self.rng.one_in(2);
        let mut remaining = present.to_vec();
        for _ in 0..self.config.tolerated_faults {
            let Some(index) = self.rng.pick(&remaining) else {
                return;
            };
            remaining.retain(|other| *other != index);
            self.kill(index);
            self.machines[index].disk = Default::default();
        }
        if all_lose_power {
            for index in remaining {
                self.kill(index);
            }
        }
    }

    /// Replaces a machine by an empty one at another address.
    fn replace(&mut self, index: usize) {
        if !self.is_recovered() || self.machines.len() > 12 {
            return;
        }
        self.kill(index);
        self.machines[index].disk = Default::default();
        self.machines[index].removed = true;
        let successor = Machine::new(self.machines.len());
        self.machines.push(successor);
        let delay = self.rng.between(100, 1_500);
        self.schedule_restart(self.machines.len() - 1, delay);
    }

    /// Returns whether no machine counts as lost: all machines are running, there are no
    /// partitions, and [`RECOVERY_TIMEOUT`] ms have passed since the last fault.
    pub fn is_recovered(&self) -> bool {
        let up = self
            .machines
            .iter()
            .all(|machine| machine.removed || (machine.is_up() && !machine.frozen));
        up && self.partitions.is_empty()
            && self.now.saturating_sub(self.last_fault_at) >= RECOVERY_TIMEOUT
    }

    /// Number of machines in the chain of the newest view that any running machine has adopted.
    pub fn in_service(&self) -> usize {
        let members = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let newest = members
            .clone()
            .map(|member| member.view())
            .max_by_key(|view| view.number);
        let serving = |view: &plankhill_chain::View| {
            members
                .clone()
                .filter(|member| view.is_in_chain(&member.member().identity))
                .count()
        };
        newest.map_or(0, serving)
    }

    /// Returns whether every machine is up and reports itself as current.
    pub fn all_current(&self) -> bool {
        let now = self.now;
        let current = |machine: &Machine| {
            let member = machine.process.as_ref();
            member.is_some_and(|member| member.is_current(now))
        };
        self.machines.iter().all(current)
    }

    /// Number of the newest view that a running machine has adopted.
    pub fn newest_view(&self) -> u64 {
        let members = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        members
            .map(|member| member.view().number.0)
            .max()
            .unwrap_or(0)
    }
}
