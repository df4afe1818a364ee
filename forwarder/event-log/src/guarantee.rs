//! The delivery guarantee of an event, recorded when the forwarder accepts the event. A process that takes the event
//! over honors the recorded guarantee, even if its own settings guarantee less.

/// The delivery guarantee of one event, from the settings of its traffic type in the process that accepted it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliveryGuarantee {
    /// The effect of a repeated execution.
    pub repeat_safety: RepeatSafety,
    /// Whether events with the same order key are delivered in the order of acceptance.
    pub ordered: bool,
}

/// The effect of a second execution of an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatSafety {
    /// A second execution has no effect.
    Idempotent,
    /// A second execution has no effect while the destination retains the event's fingerprint.
    Deduplicated {
        /// Time for which a destination retains a fingerprint, in milliseconds.
        window: f64,
        /// Whether only the zone that executed the event retains its fingerprint.
        per_zone: bool,
    },
    /// A second execution does harm: an event that may have been executed is not attempted again.
    NonIdempotent,
}

const DEDUPLICATED: u8 = 1;
const DEDUPLICATED_PER_ZONE: u8 = 2;
const NON_IDEMPOTENT: u8 = 3;
/// Added to the code of the repeat safety if the event is ordered.
const ORDERED_FLAG: u8 = 4;

impl DeliveryGuarantee {
    /// The encoding of the guarantee in the log: a byte of flags and the deduplication window.
    pub(crate) fn to_wire(self) -> (u8, f64) {
        let (code, window) = match self.repeat_safety {
            RepeatSafety::Idempotent => (0, 0.0),
            RepeatSafety::Deduplicated {
                window,
                per_zone: false,
            } => (DEDUPLICATED, window),
            RepeatSafety::Deduplicated {
                window,
                per_zone: true,
            } => (DEDUPLICATED_PER_ZONE, window),
            RepeatSafety::NonIdempotent => (NON_IDEMPOTENT, 0.0),
        };
        let order = if self.ordered { ORDERED_FLAG } else { 0 };
        (code + order, window)
    }

    /// Decodes the output of `to_wire`. An unknown code, from a later version, is decoded as the strictest repeat safety.
    pub(crate) fn from_wire(flags: u8, window: f64) -> DeliveryGuarantee {
        let repeat_safety = match flags & !ORDERED_FLAG {
            0 => RepeatSafety::Idempotent,
            DEDUPLICATED => RepeatSafety::Deduplicated {
                window,
                per_zone: false,
            },
            DEDUPLICATED_PER_ZONE => RepeatSafety::Deduplicated {
                window,
                per_zone: true,
            },
            _ => RepeatSafety::NonIdempotent,
        };
        DeliveryGuarantee {
            repeat_safety,
            ordered: flags & ORDERED_FLAG != 0,
        }
    }

    /// The guarantee that satisfies both: the stricter value of each field.
    pub fn strictest(self, other: DeliveryGuarantee) -> DeliveryGuarantee {
        DeliveryGuarantee {
            repeat_safety: self.repeat_safety.strictest(other.repeat_safety),
            ordered: self.ordered || other.ordered,
        }
    }
}

impl RepeatSafety {
    fn strictest(self, other: RepeatSafety) -> RepeatSafety {
        match (self, other) {
            (RepeatSafety::NonIdempotent, _) | (_, RepeatSafety::NonIdempotent) => {
                RepeatSafety::NonIdempotent
            }
            (RepeatSafety::Idempotent, either) | (either, RepeatSafety::Idempotent) => either,
            (
                RepeatSafety::Deduplicated { window, per_zone },
                RepeatSafety::Deduplicated {
                    window: other_window,
                    per_zone: other_per_zone,
                },
            ) => RepeatSafety::Deduplicated {
                window: window.min(other_window),
                per_zone: per_zone || other_per_zone,
            },
        }
    }
}
