//! Decisions as lines of text, and a digest over them.
//!
//! Floating-point numbers are written as the bits of their value, targets by their ids. The words
//! are the transcript's own, so that a renamed type leaves the digest as it is.

use plankhill_dispatch::{AttemptOutcome, AttemptResult, Command, Ms};

/// FNV-1a with 64 bits: its constants are fixed by its authors, so that a digest outlives
/// compilers.
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

    /// Also keeps the text, to find the first line that differs.
    pub fn with_text() -> Self {
        Transcript {
            text: Some(String::new()),
            ..Transcript::new()
        }
    }

    pub fn text(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }

    /// Lines and digest.
    pub fn summary(&self) -> String {
        format!("{} {:016x}", self.lines, self.digest)
    }

    /// The commands of one round, in their order.
    pub fn round(&mut self, proxy: usize, now: Ms, commands: &[Command]) {
        for command in commands {
            let said = described(command);
            self.line(&format!("{proxy} {} {said}", bits(now)));
        }
    }

    /// The end of a call.
    pub fn ended(&mut self, proxy: usize, now: Ms, key: u64, target: &str, ended: &AttemptResult) {
        let fate = fate_word(ended.outcome);
        self.line(&format!(
            "{proxy} {} ended {key} {target} {fate} {}",
            bits(now),
            bits(ended.elapsed)
        ));
    }

    pub fn line(&mut self, line: &str) {
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

fn described(command: &Command) -> String {
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
        Command::Fail { request, last } => format!("fail {} {}", request.0, fate_word(*last)),
        Command::HealthCheck { target, address } => format!("ping {} {address}", target.as_str()),
        Command::CloseIdleConnections { target } => format!("close-idle {}", target.as_str()),
        Command::CancelUnsent { target } => format!("take-back {}", target.as_str()),
        Command::WakeAt(at) => format!("wake {}", bits(*at)),
    }
}

fn fate_word(fate: AttemptOutcome) -> &'static str {
    match fate {
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
