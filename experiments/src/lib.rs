//! Experiments with the emulator: many days, what they teach side by side, and pages that show it.

pub mod shipped;
