//! Decisions as lines of text, and a digest over them.
//!
//! Floating-point numbers are written as the bits of their value, targets by their ids. The words
//! of the transcript do not depend on type names, so that renaming a type does not change the
//! digest.

use plankhill_dispatch::{AttemptOutcome, AttemptResult, Command, Ms};

/// 64-bit FNV-1a: its constants are specified, so that a digest does not depend on the compiler
/// version.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The digest of all lines so far.
#[allow(dead_code)]
pub struct Transcript {
    digest: u64,
    lines: u64,
    text: Option<String>,
}

impl Transcript {
    pub fn new() -> Self {
        Transcript {
            digest: OFFSET_BASIS,
            lines: 0,
            text: None,
        }
    }

    /// Creates a transcript that also stores its text, to find the first line that differs.
    pub fn with_text() -> Self {
        Transcript {
            text: Some(String::new()),
            ..Transcript::new()
        }
    }

    pub fn text(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }

    /// The number of lines and the digest.
    pub fn summary(&self) -> String {
        format!("{} {:016x}", self.lines, self.digest)
    }

    /// Adds the commands of one iteration, in their order.
    pub fn add_commands(&mut self, proxy: usize, now: Ms, commands: &[Command]) {
        for command in commands {
            let description = describe(command);
            self.add_line(&format!("{proxy} {} {description}", bits(now)));
        }
    }

    /// Adds the end of an attempt.
    pub fn add_result(
        &mut self,
        proxy: usize,
        now: Ms,
        key: u64,
        target: &str,
        result: &AttemptResult,
    ) {
        let outcome = outcome_word(result.outcome);
        self.add_line(&format!(
            "{proxy} {} ended {key} {target} {outcome} {}",
            bits(now),
            bits(result.elapsed)
        ));
    }

    pub fn add_line(&mut self, line: &str) {
        self.lines += 1;
        for byte in line.bytes().chain([b'\n']) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(PRIME);
        }
        if let Some(text) = &mut self.text {
            text.push_str(line);
            text.push('\n');
        }
    }
}

fn describe(command: &Command) -> String {
    match command {
        Command::Send {
            request,
            target,
            address,
            deadline,
            priority,
        } => {
            format!(
                "send {} {} {address} {} {priority}",
                request.0,
                target.as_str(),
                bits(*deadline)
            )
        }
        Command::Reject {
            request,
            retry_after,
        } => format!("refuse {} {}", request.0, bits(*retry_after)),
        Command::Fail { request, last } => format!("fail {} {}", request.0, outcome_word(*last)),
        Command::HealthCheck { target, address } => format!("ping {} {address}", target.as_str()),
        Command::CloseIdleConnections { target } => format!("close-idle {}", target.as_str()),
        Command::CancelUnsent { target } => format!("take-back {}", target.as_str()),
        Command::WakeAt(at) => format!("wake {}", bits(*at)),
    }
}

fn outcome_word(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Delivered => "delivered",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "no-connection",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "not-sent",
    }
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}
