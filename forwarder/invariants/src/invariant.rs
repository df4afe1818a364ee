//! The invariants, and a violation of one.

use crate::observation::Ms;

/// A property that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every accepted event is completed once, before its deadline.
    CompletedOnce,
    /// No event takes effect twice, or could have taken effect twice.
    NoDuplicateEffect,
    /// No new requests are sent to a draining target.
    DrainsRespected,
    /// No destination that recovers is overloaded by forwarders that observed its outage.
    NoOverloadAfterOutage,
    /// Events of one order key are sent in order, with a cool-down after an attempt that was cut
    /// short.
    KeyOrder,
    /// Nothing is sent before a retry-after has ended.
    RetryAftersRespected,
    /// No accepted event is lost with a machine.
    NoAcceptedEventLost,
    /// All forwarders together stay within a target's connection limit.
    WithinConnectionLimit,
    /// Each subscriber is served by one forwarder.
    OneServerPerSubscriber,
}

impl Invariant {
    /// The invariants over several forwarders, in addition to those of each.
    pub const FLEET: [Invariant; 3] = [
        Invariant::NoAcceptedEventLost,
        Invariant::WithinConnectionLimit,
        Invariant::OneServerPerSubscriber,
    ];

    /// The six invariants of each forwarder.
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

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Time of the violation, in milliseconds on the clock of the run.
    pub at: Ms,
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// Description of the violation, with its figures. Part of the emulator's output.
    pub description: String,
}
