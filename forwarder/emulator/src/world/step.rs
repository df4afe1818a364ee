//! The steps of the simulation, and the function that carries out each.

use plankhill_forwarder_config::scenario::Ms;

use super::{CallKey, World};
use crate::clients::ClientEvent;
use crate::deciders::EventKey;

/// A step that happens at its time. Two steps at one instant happen in the order in which they were
/// scheduled; an iteration comes after all inputs of its instant that came before it was scheduled.
pub(super) enum Step {
    /// A client submits the next event of the stream.
    Arrival,
    Submit(Box<ClientEvent>),
    Iteration(u32),
    /// A wake-up that the forwarder's decider requested in this incarnation.
    WakeUp(u32, u32),
    Connected(CallKey),
    /// The call's last byte reaches its target.
    Arrives(CallKey),
    Served(CallKey),
    /// The answer reaches the forwarder.
    Answered(CallKey),
    TimedOut(CallKey),
    IdleConnectionDropped(u32, u32, Ms),
    /// The notification of an event's completion is acknowledged.
    CompletionAcknowledged(u32, u32, EventKey),
    ListUpdate(u32),
    FaultBegins(u16),
    FaultToggles(u16),
    FaultEnds(u16),
    /// A target of a fault that replaces targets one by one.
    ReplaceOne(u16, u32),
    RemoveDraining(u16),
    ApplyForwarderFault(u16, u32),
    StallEnds(u32, u32),
    IncarnationEnds(u32, u32),
    ProcessStarts(u32),
    WarmedUp(u32, Ms),
    OverloadEnds(u32),
    Sample,
}

impl World<'_> {
    pub(super) fn take_step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.submit_next(),
            Step::Submit(client_event) => {
                self.submissions_in_transit -= 1;
                self.submit(*client_event)
            }
            Step::Iteration(at) => self.run_iteration(at),
            Step::WakeUp(at, incarnation) => self.wake_up(at, incarnation),
            Step::Connected(call) => self.on_connected(call),
            Step::Arrives(call) => self.arrive(call),
            Step::Served(call) => self.on_served(call),
            Step::Answered(call) => self.on_answer(call),
            Step::TimedOut(call) => self.time_out(call),
            Step::IdleConnectionDropped(at, target, since) => {
                self.drop_idle_connection(at, target, since)
            }
            Step::CompletionAcknowledged(at, incarnation, event) => {
                self.on_acknowledged(at, incarnation, event)
            }
            Step::ListUpdate(at) => self.receive_list_update(at),
            Step::FaultBegins(fault) => self.begin_fault(fault),
            Step::FaultToggles(fault) => self.toggle_fault(fault),
            Step::FaultEnds(fault) => self.end_fault(fault),
            Step::ReplaceOne(fault, target) => self.replace_one(fault, target),
            Step::RemoveDraining(fault) => self.remove_drained_targets(fault),
            Step::ApplyForwarderFault(fault, at) => self.apply_forwarder_fault(fault, at),
            Step::StallEnds(at, incarnation) => self.end_stall(at, incarnation),
            Step::IncarnationEnds(at, incarnation) => self.end_incarnation(at, incarnation),
            Step::ProcessStarts(at) => self.start_process(at),
            Step::WarmedUp(lane, since) => self.end_warm_up(lane, since),
            Step::OverloadEnds(lane) => self.end_overload(lane),
            Step::Sample => self.sample(),
        }
    }
}
