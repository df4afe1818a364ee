//! Prints what happens, with the time since the start.

use std::io::Write;

use tokio::time::Instant;

/// Prints lines on standard output.
pub(crate) struct Narration {
    begun: Instant,
}

impl Narration {
    pub(crate) fn begin() -> Narration {
        Narration {
            begun: Instant::now(),
        }
    }

    /// Prints `text` with the time since the start.
    pub(crate) fn say(&self, text: &str) {
        // A reader that is gone is no reason to stop.
        let _ = writeln!(
            std::io::stdout(),
            "{:5.1} s  {text}",
            self.begun.elapsed().as_secs_f64()
        );
    }
}
