//! Probes that a machine sends for others. Owned by the
//! [`crate::failure_detector::FailureDetector`]; time is passed in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

/// Most probes in flight for others; further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 32;
/// The machine that asked for a probe has given up after this time.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The machine that asked for a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The machine.
    pub node: NodeId,
    /// Its number of the probe.
    pub sequence: u64,
}

/// A probe in flight for another machine.
#[derive(Debug)]
struct IndirectProbe {
    sequence: u64,
    requester: Requester,
    sent_at: Instant,
}

/// The probes in flight for other machines.
#[derive(Debug, Default)]
pub struct IndirectProbes {
    in_flight: VecDeque<IndirectProbe>,
}

impl IndirectProbes {
    /// Enters a probe that goes out under `sequence`. False if too many are in flight.
    pub fn begin(&mut self, sequence: u64, requester: Requester, now: Instant) -> bool {
        self.in_flight
            .retain(|probe| now.saturating_duration_since(probe.sent_at) < INDIRECT_PROBE_TIMEOUT);
        if self.in_flight.len() >= MAX_INDIRECT_PROBES {
            return false;
        }
        self.in_flight.push_back(IndirectProbe {
            sequence,
            requester,
            sent_at: now,
        });
        true
    }

    /// Takes the answer to `sequence`. Returns the machine to pass it on to; `None` if no such
    /// probe is in flight.
    pub fn on_ack(&mut self, sequence: u64) -> Option<Requester> {
        let mut probes = self.in_flight.iter();
        let index = probes.position(|probe| probe.sequence == sequence)?;
        let probe = self.in_flight.remove(index)?;
        Some(probe.requester)
    }
}
