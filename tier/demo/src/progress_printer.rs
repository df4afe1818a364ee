//! Prints what happens, with the time since the start.

use std::io::Write;

use tokio::time::Instant;

/// Prints lines on standard output.
pub(crate) struct ProgressPrinter {
    begun: Instant,
}

impl ProgressPrinter {
    pub(crate) fn start() -> ProgressPrinter {
        ProgressPrinter {
            begun: Instant::now(),
        }
    }

    /// Prints `text` with the time since the start.
    pub(crate) fn print(&self, text: &str) {
        // A reader that is gone is no reason to stop.
        let _ = writeln!(
            std::io::stdout(),
            "{:5.1} s  {text}",
            self.begun.elapsed().as_secs_f64()
        );
    }
}
