//! What was promised of an event when it was taken: what a repeat of it may do, and whether its key's order holds.

/// As its traffic type was in the settings of the process that took it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliveryGuarantee {
    pub repeat_safety: RepeatSafety,
    pub ordered: bool,
}

/// `window` is in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatSafety {
    Idempotent,
    Deduplicated { window: f64, per_zone: bool },
    NonIdempotent,
}

const KNOWN: u8 = 1;
const KNOWN_IN_ONE_ZONE: u8 = 2;
const FORBIDDEN: u8 = 3;
const ORDERED: u8 = 4;

impl DeliveryGuarantee {
    pub(crate) fn word(&self) -> (u8, f64) {
        let (repeats, window) = match self.repeat_safety {
            RepeatSafety::Idempotent => (0, 0.0),
            RepeatSafety::Deduplicated {
                window,
                per_zone: false,
            } => (KNOWN, window),
            RepeatSafety::Deduplicated {
                window,
                per_zone: true,
            } => (KNOWN_IN_ONE_ZONE, window),
            RepeatSafety::NonIdempotent => (FORBIDDEN, 0.0),
        };
        (repeats + if self.ordered { ORDERED } else { 0 }, window)
    }

    /// What a later text may write and this one does not know is read as the strictest.
    pub(crate) fn read((word, window): (u8, f64)) -> DeliveryGuarantee {
        let repeats = match word & !ORDERED {
            0 => RepeatSafety::Idempotent,
            KNOWN => RepeatSafety::Deduplicated {
                window,
                per_zone: false,
            },
            KNOWN_IN_ONE_ZONE => RepeatSafety::Deduplicated {
                window,
                per_zone: true,
            },
            _ => RepeatSafety::NonIdempotent,
        };
        DeliveryGuarantee {
            repeat_safety: repeats,
            ordered: word & ORDERED != 0,
        }
    }

    /// Where two differ, what holds under both.
    pub fn strictest(self, other: DeliveryGuarantee) -> DeliveryGuarantee {
        let repeats = match (self.repeat_safety, other.repeat_safety) {
            (RepeatSafety::NonIdempotent, _) | (_, RepeatSafety::NonIdempotent) => {
                RepeatSafety::NonIdempotent
            }
            (RepeatSafety::Idempotent, either) | (either, RepeatSafety::Idempotent) => either,
            (
                RepeatSafety::Deduplicated {
                    window,
                    per_zone: one_zone,
                },
                RepeatSafety::Deduplicated {
                    window: w,
                    per_zone: z,
                },
            ) => RepeatSafety::Deduplicated {
                window: window.min(w),
                per_zone: one_zone || z,
            },
        };
        DeliveryGuarantee {
            repeat_safety: repeats,
            ordered: self.ordered || other.ordered,
        }
    }
}
