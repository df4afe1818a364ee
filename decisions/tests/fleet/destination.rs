//! The destination: what it answers and when, and how many calls came to it in any span.

use std::collections::VecDeque;

use plankhill_decisions::interface::*;

use super::*;

/// Whether answers tell of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answers {
    SlowDown,
    Refused,   // its queue is short
    StayQuick, // they tell nothing of its load: it answers as ever until it falls
}

pub struct Call {
    pub from: usize,
    pub name: String,
    pub came: Ms,
    pub waits: Ms, // until its forwarder no longer waits
}

/// It works on as many calls at once as it has servers, each slower while it is cold.
pub struct Destination {
    pub answers: Answers,
    pub full_rate: f64, // calls a second
    pub working: Vec<(Ms, Call)>,
    pub queue: VecDeque<Call>,
    pub came: VecDeque<Ms>,
    pub worst: (f64, String),
}

impl Destination {
    pub fn is_down(now: Ms) -> bool {
        (FAILS..BACK).contains(&now)
    }
    pub fn warmth(now: Ms, terms: &DecisionConfig) -> f64 {
        let warm = terms.warm_up_initial_share
            + (1.0 - terms.warm_up_initial_share) * (now - BACK) / terms.warm_up_duration;
        if now < BACK {
            1.0
        } else {
            warm.min(1.0)
        }
    }
    /// Counts a call or a ping.
    pub fn count(&mut self, now: Ms, terms: &DecisionConfig) {
        if !(BACK..BACK + terms.warm_up_duration).contains(&now) {
            return;
        }
        self.came.push_back(now);
        while self.came.front().is_some_and(|at| *at <= now - SPAN) {
            self.came.pop_front();
        }
        let allowed =
            terms.overload_multiple * Self::warmth(now, terms) * self.full_rate * SPAN / 1000.0;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let share = self.came.len() as f64 / bound;
        if share > self.worst.0 {
            let told = format!(
                "{} of {bound:.1}, {:.1} s after its return",
                self.came.len(),
                (now - BACK) / 1000.0
            );
            self.worst = (share, told);
        }
    }
    pub fn servers(&self) -> usize {
        match self.answers {
            Answers::StayQuick => usize::MAX / 16,
            _ => (self.full_rate * WORK / 1000.0).round().max(1.0) as usize,
        }
    }
    pub fn queue_takes(&self) -> usize {
        match self.answers {
            Answers::Refused => self.servers(),
            _ => 8 * self.servers(),
        }
    }
}

/// What the destination does in a step; what it answers is told to the forwarders.
pub fn works(
    to: &mut Destination,
    members: &mut [Member],
    chance: &mut Chance,
    now: Ms,
    terms: &DecisionConfig,
) {
    let mut told = |call: &Call, fate| {
        let ended = AttemptReport {
            elapsed: now - call.came,
            ..AttemptReport::from_outcome(fate)
        };
        members[call.from]
            .came_in
            .push(CameIn::Ended(call.name.clone(), ended));
    };
    if Destination::is_down(now) {
        for call in to
            .working
            .drain(..)
            .map(|(_, call)| call)
            .chain(to.queue.drain(..))
        {
            if call.waits > 0.0 {
                told(&call, AttemptOutcome::Reset);
            }
        }
        return;
    }
    to.working.retain(|(ends, call)| {
        if *ends <= now && call.waits > now {
            told(call, AttemptOutcome::Delivered);
        }
        *ends > now
    });
    for (_, call) in to
        .working
        .iter_mut()
        .filter(|(_, call)| call.waits > 0.0 && call.waits <= now)
    {
        told(call, AttemptOutcome::TimedOut);
        call.waits = 0.0;
    }
    to.queue.retain(|call| {
        if call.waits <= now {
            told(call, AttemptOutcome::TimedOut);
        }
        call.waits > now
    });
    while to.working.len() < to.servers() {
        let Some(call) = to.queue.pop_front() else {
            break;
        };
        let slows = to.answers != Answers::StayQuick;
        let pace = if slows {
            Destination::warmth(now, terms)
        } else {
            1.0
        };
        let work = WORK * (0.5 + chance.draw()) / pace;
        to.working.push((now + work, call));
    }
}
