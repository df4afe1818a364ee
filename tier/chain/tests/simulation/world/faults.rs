//! Faults of the world, and mistakes that are planted to see them found.

use plankhill_chain::{Message, Millis};

use super::machine::Machine;
use super::World;

/// A machine that is back counts as lost for this long, in ms (`catch_up_s` of the tightest deployment known).
pub const CATCH_UP: Millis = 4_100;

/// A mistake that some rule has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Disks say that they have synced what they have not.
    DiskLies,
    /// A lost disk keeps its incarnation, so that its old votes count.
    IncarnationKept,
    /// Voters answer each attempt as if it were the first.
    PromisesForgotten,
    /// One copy is enough to acknowledge.
    AnyCopies,
    /// Questions whether a view is still current are always answered with yes.
    AlwaysConfirmed,
    /// Messages of older views pass for ones of the receiver's view.
    ViewsIgnored,
    /// Repeats of a proposal carry a new name.
    RepeatsUnnamed,
    /// Some outcomes are told wrong.
    OutcomesAltered,
    /// Nobody hears of a decision.
    DecisionsLost,
}

impl World {
    /// Applies the planted mistake to a message.
    pub(super) fn tamper(&mut self, from: usize, to: usize, message: Message) -> Option<Message> {
        match (self.shape.planted, message) {
            (Some(Planted::ViewsIgnored), message) => Some(self.with_view_of(to, message)),
            (Some(Planted::PromisesForgotten), Message::Decided(_)) if !self.chance.one_in(4) => {
                None
            }
            (Some(Planted::RepeatsUnnamed), Message::Forward { view, mut entry }) => {
                entry.request.0 ^= u128::from(self.now) << 32;
                Some(Message::Forward { view, entry })
            }
            (
                Some(Planted::PromisesForgotten),
                Message::Promise {
                    instance,
                    ballot,
                    position,
                    ..
                },
            ) => Some(Message::Promise {
                instance,
                ballot,
                accepted: None,
                position,
            }),
            (Some(Planted::OutcomesAltered), Message::Outcome { request, outcome }) => {
                let told = u64::from_le_bytes(outcome.as_ref().try_into().unwrap()) + self.now % 2;
                Some(Message::Outcome {
                    request,
                    outcome: told.to_le_bytes().to_vec().into(),
                })
            }
            (Some(Planted::DecisionsLost), Message::Decided(_)) if self.now > 4_000 => None,
            (Some(Planted::AlwaysConfirmed), Message::Confirm { view, round }) => {
                let voter = self.machines[to]
                    .process
                    .as_ref()
                    .map(|member| member.me().identity.clone());
                let answered = voter.map(|voter| (voter, Message::Confirmed { view, round }));
                if let Some((voter, answer)) = answered {
                    self.answer(from, voter, answer);
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
    pub fn trouble(&mut self) {
        self.faults_on = true;
        self.fault_after(1);
    }

    /// Ends all faults; machines that are down start.
    pub fn calm(&mut self) {
        self.faults_on = false;
        self.heal();
        for machine in &mut self.machines {
            machine.stalled_until = 0;
            machine.full_until = 0;
        }
        for at in 0..self.machines.len() {
            self.thaw(at);
            if !self.machines[at].is_up() {
                self.restart_after(at, 1);
            }
        }
    }

    pub(super) fn next_fault(&mut self) {
        if !self.faults_on {
            return;
        }
        self.strike_now();
        let soon = self.chance.one_in(3);
        let delay = if soon {
            self.chance.below(200)
        } else {
            self.chance.between(500, 7_000)
        };
        self.fault_after(delay);
    }

    pub(super) fn strike_now(&mut self) {
        let present: Vec<_> = (0..self.machines.len())
            .filter(|at| !self.machines[*at].removed)
            .collect();
        let Some(at) = self.chance.pick(&present) else {
            return;
        };
        let Some(other) = self.chance.pick(&present) else {
            return;
        };
        let wipes = self.shape.planted == Some(Planted::IncarnationKept) && self.chance.one_in(2);
        let drawn = if wipes { 8 } else { self.chance.below(15) };
        match drawn {
            0 | 1 => self.kill(at),
            2 | 3 => self.freeze(at),
            4 => self.cut(&[(at, other)]),
            5 => self.cut(&[(at, other), (other, at)]),
            6 => self.isolate(at),
            7 => present.iter().for_each(|at| self.kill(*at)),
            8 | 9 => self.lose_disks(&present),
            10 => self.replace(at),
            11 => self.heal(),
            12 => self.stall(at),
            13 => self.fill(at),
            _ => present.iter().for_each(|at| self.freeze(*at)),
        }
    }

    pub fn kill(&mut self, at: usize) {
        if !self.machines[at].is_up() {
            return;
        }
        self.forget_asked(at);
        self.stop(at);
        let delay = self.chance.between(50, 1_500);
        self.restart_after(at, delay);
    }

    pub fn freeze(&mut self, at: usize) {
        if !self.machines[at].is_up() || self.machines[at].frozen {
            return;
        }
        self.machines[at].frozen = true;
        self.disturbed_at = self.disturbed_at.max(self.now);
        let delay = self.chance.between(20, 5_000);
        self.thaw_after(at, delay);
    }

    /// The disk answers nothing for a while.
    pub fn stall(&mut self, at: usize) {
        let until = self.now + self.chance.between(100, 5_000);
        self.machines[at].stalled_until = until;
        self.disturbed_at = self.disturbed_at.max(until);
    }

    /// The disk refuses to write for a while.
    pub fn fill(&mut self, at: usize) {
        let until = self.now + self.chance.between(100, 8_000);
        self.machines[at].full_until = until;
        self.disturbed_at = self.disturbed_at.max(until);
    }

    pub fn cut(&mut self, pairs: &[(usize, usize)]) {
        self.disturbed_at = self.disturbed_at.max(self.now);
        self.cuts
            .extend(pairs.iter().filter(|(from, to)| from != to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.disturbed_at = self.disturbed_at.max(self.now);
    }

    pub fn isolate(&mut self, at: usize) {
        let others = (0..self.machines.len()).filter(|other| *other != at);
        let pairs: Vec<_> = others
            .flat_map(|other| [(at, other), (other, at)])
            .collect();
        self.cut(&pairs);
    }

    /// As many machines as are tolerated lose their disks, at times while all others lose power. Only when no
    /// machine counts as lost already.
    fn lose_disks(&mut self, present: &[usize]) {
        if !self.is_whole() {
            return;
        }
        let all_lose_power = self.chance.one_in(2);
        let mut left = present.to_vec();
        for _ in 0..self.shape.tolerated {
            let Some(at) = self.chance.pick(&left) else {
                return;
            };
            left.retain(|other| *other != at);
            self.kill(at);
            self.machines[at].disk = Default::default();
        }
        if all_lose_power {
            left.iter().for_each(|at| self.kill(*at));
        }
    }

    /// A machine goes for good and an empty one comes at another address.
    fn replace(&mut self, at: usize) {
        if !self.is_whole() || self.machines.len() > 12 {
            return;
        }
        self.kill(at);
        self.machines[at].disk = Default::default();
        self.machines[at].removed = true;
        let successor = Machine::new(self.machines.len());
        self.machines.push(successor);
        let delay = self.chance.between(100, 1_500);
        self.restart_after(self.machines.len() - 1, delay);
    }

    /// Whether nothing has happened for long enough that no machine counts as lost.
    pub fn is_whole(&self) -> bool {
        let up = self
            .machines
            .iter()
            .all(|machine| machine.removed || (machine.is_up() && !machine.frozen));
        up && self.cuts.is_empty() && self.now.saturating_sub(self.disturbed_at) >= CATCH_UP
    }

    /// Machines in service, by the newest view that any of them knows.
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
                .filter(|member| view.in_chain(&member.me().identity))
                .count()
        };
        newest.map_or(0, serving)
    }

    /// Whether every machine is up and calls itself current.
    pub fn all_current(&self) -> bool {
        let now = self.now;
        let current = |machine: &super::machine::Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|it| it.is_current(now))
        };
        self.machines.iter().all(current)
    }

    /// The number of the newest view that a running machine knows.
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
