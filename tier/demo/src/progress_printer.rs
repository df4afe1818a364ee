//! Prints the steps of the demo with the time since its start.

use std::io::Write;

use tokio::time::Instant;

/// Prints progress lines on standard output.
pub(crate) struct ProgressPrinter {
    started_at: Instant,
}

impl ProgressPrinter {
    pub(crate) fn start() -> ProgressPrinter {
        ProgressPrinter {
            started_at: Instant::now(),
        }
    }

    /// Prints `text` with the time since the start.
    pub(crate) fn print(&self, text: &str) {
        // The demo continues if standard output is closed.
        let _ = writeln!(
            std::io::stdout(),
            "{:5.1} s  {text}",
            self.started_at.elapsed().as_secs_f64()
        );
    }
}
