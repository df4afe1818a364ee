//! The invariants, and a violation of one.

use crate::observation::Ms;

/// What has to hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every accepted event is completed once, before its deadline.
    CompletedOnce,
    /// No event has its effect twice, or could have.
    NoDuplicateEffect,
    /// Nothing new is sent to a target that drains.
    DrainsRespected,
    /// No destination that comes back is overloaded by forwarders that saw its outage.
    NoOverloadAfterOutage,
    /// Events of one order key go in order, and with a cool-down after an attempt that was cut
    /// short.
    KeyOrder,
    /// Nothing is sent before a retry-after has ended.
    RetryAftersRespected,
    /// No accepted event is lost with a machine.
    NoAcceptedEventLost,
    /// Forwarders together keep to a target's limit of connections.
    WithinConnectionLimit,
    /// Each subscriber is served by one forwarder.
    OneServerPerSubscriber,
}

impl Invariant {
    /// The invariants over several forwarders, beside those of each.
    pub const FLEET: [Invariant; 3] = [
        Invariant::NoAcceptedEventLost,
        Invariant::WithinConnectionLimit,
        Invariant::OneServerPerSubscriber,
    ];

    /// The six invariants of a forwarder.
    pub const ALL: [Invariant; 6] = [
        Invariant::CompletedOnce,
        Invariant::NoDuplicateEffect,
        Invariant::DrainsRespected,
        Invariant::NoOverloadAfterOutage,
        Invariant::KeyOrder,
        Invariant::RetryAftersRespected,
    ];

    /// The name in reports and in the emulator's output.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::CompletedOnce => "one end within patience",
            Invariant::NoDuplicateEffect => "no effect twice",
            Invariant::DrainsRespected => "drains kept",
            Invariant::NoOverloadAfterOutage => "returning destinations not pushed over",
            Invariant::KeyOrder => "key order",
            Invariant::RetryAftersRespected => "waits heeded",
            Invariant::NoAcceptedEventLost => "nothing promised is lost",
            Invariant::WithinConnectionLimit => "connections within their budget",
            Invariant::OneServerPerSubscriber => "one server for each subscriber",
        }
    }
}

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Milliseconds on the clock of the run.
    pub at: Ms,
    /// The invariant.
    pub invariant: Invariant,
    /// What happened, with its numbers. Part of the emulator's output.
    pub description: String,
}
