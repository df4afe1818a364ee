//! What happens next, and who sees to it.

use plankhill_forwarder_config::scenario::Ms;

use super::{CallKey, World};
use crate::clients::Ticket;
use crate::deciders::EventKey;

/// What happens at its time. Two at one instant happen in the order in which they were foreseen; a round
/// stands behind all that came in at its instant before it was called for.
pub(super) enum Step {
    /// The next event of the clients' stream.
    Arrival,
    HandIn(Box<Ticket>),
    Round(u32),
    /// A wake-up that the forwarder's decisions asked for; of this life of it.
    Ring(u32, u32),
    Connected(CallKey),
    /// The call's last byte is at its target.
    Reaches(CallKey),
    Served(CallKey),
    /// The answer is at the forwarder.
    Answered(CallKey),
    TimeOut(CallKey),
    Reaped(u32, u32, Ms),
    /// The notice of an event's end is heard.
    Heard(u32, u32, EventKey),
    ListHeard(u32),
    Begins(u16),
    Turns(u16),
    Ends(u16),
    /// A target of a trouble that takes them one by one.
    OneByOne(u16, u32),
    GoneFor(u16),
    Strike(u16, u32),
    Recovers(u32, u32),
    LifeEnds(u32, u32),
    Starts(u32),
    Warm(u32, Ms),
    Upright(u32),
    Sample,
}

impl World<'_> {
    pub(super) fn take_step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrival(),
            Step::HandIn(ticket) => {
                self.coming -= 1;
                self.hand_in(*ticket)
            }
            Step::Round(at) => self.round(at),
            Step::Ring(at, life) => self.ring(at, life),
            Step::Connected(call) => self.connected(call),
            Step::Reaches(call) => self.reaches(call),
            Step::Served(call) => self.served(call),
            Step::Answered(call) => self.answered(call),
            Step::TimeOut(call) => self.time_out(call),
            Step::Reaped(at, target, since) => self.reaped(at, target, since),
            Step::Heard(at, life, event) => self.heard(at, life, event),
            Step::ListHeard(at) => self.list_heard(at),
            Step::Begins(trouble) => self.begins(trouble),
            Step::Turns(trouble) => self.turns(trouble),
            Step::Ends(trouble) => self.ends(trouble),
            Step::OneByOne(trouble, place) => self.replace_one(trouble, place),
            Step::GoneFor(trouble) => self.gone_for_good(trouble),
            Step::Strike(trouble, at) => self.strike_forwarder(trouble, at),
            Step::Recovers(at, life) => self.recovers(at, life),
            Step::LifeEnds(at, life) => self.life_ends(at, life),
            Step::Starts(at) => self.starts(at),
            Step::Warm(lane, since) => self.warm(lane, since),
            Step::Upright(lane) => self.upright(lane),
            Step::Sample => self.sample(),
        }
    }
}
