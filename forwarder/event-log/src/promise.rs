//! What was promised of an event when it was taken: what a repeat of it may do, and whether its key's order holds.

/// As its traffic type was in the settings of the process that took it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    pub repeats: Repeats,
    pub ordered: bool,
}

/// `window` is in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    Harmless,
    Known { window: f64, one_zone: bool },
    Forbidden,
}

const KNOWN: u8 = 1;
const KNOWN_IN_ONE_ZONE: u8 = 2;
const FORBIDDEN: u8 = 3;
const ORDERED: u8 = 4;

impl Promise {
    pub(crate) fn word(&self) -> (u8, f64) {
        let (repeats, window) = match self.repeats {
            Repeats::Harmless => (0, 0.0),
            Repeats::Known {
                window,
                one_zone: false,
            } => (KNOWN, window),
            Repeats::Known {
                window,
                one_zone: true,
            } => (KNOWN_IN_ONE_ZONE, window),
            Repeats::Forbidden => (FORBIDDEN, 0.0),
        };
        (repeats + if self.ordered { ORDERED } else { 0 }, window)
    }

    /// What a later text may write and this one does not know is read as the strictest.
    pub(crate) fn read((word, window): (u8, f64)) -> Promise {
        let repeats = match word & !ORDERED {
            0 => Repeats::Harmless,
            KNOWN => Repeats::Known {
                window,
                one_zone: false,
            },
            KNOWN_IN_ONE_ZONE => Repeats::Known {
                window,
                one_zone: true,
            },
            _ => Repeats::Forbidden,
        };
        Promise {
            repeats,
            ordered: word & ORDERED != 0,
        }
    }

    /// Where two differ, what holds under both.
    pub fn and(self, other: Promise) -> Promise {
        let repeats = match (self.repeats, other.repeats) {
            (Repeats::Forbidden, _) | (_, Repeats::Forbidden) => Repeats::Forbidden,
            (Repeats::Harmless, either) | (either, Repeats::Harmless) => either,
            (
                Repeats::Known { window, one_zone },
                Repeats::Known {
                    window: w,
                    one_zone: z,
                },
            ) => Repeats::Known {
                window: window.min(w),
                one_zone: one_zone || z,
            },
        };
        Promise {
            repeats,
            ordered: self.ordered || other.ordered,
        }
    }
}
