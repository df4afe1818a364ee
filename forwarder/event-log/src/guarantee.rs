//! What the forwarder promised about an event when it accepted it. A process that takes the event over keeps the
//! promise, also where its own settings say less.

/// The promise for one event, as its traffic type was in the settings of the process that accepted it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliveryGuarantee {
    /// What a repeated execution does.
    pub repeat_safety: RepeatSafety,
    /// Whether events with the same order key are delivered in the order of acceptance.
    pub ordered: bool,
}

/// What a second execution of an event does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatSafety {
    /// Nothing.
    Idempotent,
    /// Nothing, as long as the destination remembers the event by its fingerprint.
    Deduplicated {
        /// How long a destination remembers a fingerprint, in milliseconds.
        window: f64,
        /// Whether only the zone that executed the event remembers it.
        per_zone: bool,
    },
    /// Harm: an event that may have been executed is not attempted again.
    NonIdempotent,
}

const DEDUPLICATED: u8 = 1;
const DEDUPLICATED_PER_ZONE: u8 = 2;
const NON_IDEMPOTENT: u8 = 3;
/// Added to one of the above.
const ORDERED_FLAG: u8 = 4;

impl DeliveryGuarantee {
    /// The byte and the window that the log has for the guarantee.
    pub(crate) fn to_wire(self) -> (u8, f64) {
        let (repeats, window) = match self.repeat_safety {
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
        (repeats + order, window)
    }

    /// Reads what `to_wire` gives. A byte of a later version, unknown to this one, is read as the strictest.
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

    /// The guarantee that keeps both: of each part the stricter one.
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
