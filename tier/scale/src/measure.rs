//! What the real processes used over a span of time.

use std::time::Duration;

use tokio::time::Instant;

use crate::machine::{loopback_bytes, usage, Usage};

/// A real process.
#[derive(Clone, Debug)]
pub struct RealProcess {
    /// Its role and machine.
    pub name: String,
    /// Its number in the system.
    pub pid: u32,
}

/// What one real process used.
#[derive(Clone, Debug)]
pub struct ProcessFigures {
    /// Its role and machine.
    pub name: String,
    /// Processor time, as a share of one core.
    pub processor: f64,
    /// Resident memory at the end, in bytes.
    pub memory: u64,
}

/// What was used over a span.
#[derive(Clone, Debug)]
pub struct SpanFigures {
    /// Each real process.
    pub processes: Vec<ProcessFigures>,
    /// Bytes a second on the loopback interface, all traffic of the machine.
    pub bytes_a_second: f64,
}

/// Measures for that long.
pub async fn measure(processes: &[RealProcess], window: Duration) -> SpanFigures {
    let (begun, bytes) = (Instant::now(), loopback_bytes());
    let before: Vec<Usage> = processes.iter().map(|process| usage(process.pid)).collect();
    tokio::time::sleep(window).await;
    let took = begun.elapsed().as_secs_f64();
    let figures = processes.iter().zip(before).map(|(process, before)| {
        let after = usage(process.pid);
        let processor = after.processor.saturating_sub(before.processor).as_secs_f64() / took;
        ProcessFigures { name: process.name.clone(), processor, memory: after.memory }
    });
    SpanFigures {
        processes: figures.collect(),
        bytes_a_second: loopback_bytes().saturating_sub(bytes) as f64 / took,
    }
}
