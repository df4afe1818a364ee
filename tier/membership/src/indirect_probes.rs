//! Tracks the probes that a machine sends on behalf of others. Owned by the
//! [`crate::failure_detector::FailureDetector`]; the current time is passed in by the caller.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use plankhill_protocol::ids::NodeId;

/// Maximum number of probes in flight for other machines; further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 32;
/// Time after which a probe is dropped; its requester no longer waits for the answer by then.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The machine that requested a probe, with its sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The requesting machine.
    pub node: NodeId,
    /// The requester's sequence number of the probe.
    pub sequence: u64,
}

/// A probe in flight on behalf of another machine.
#[derive(Debug)]
struct IndirectProbe {
    sequence: u64,
    requester: Requester,
    sent_at: Instant,
}

/// The probes in flight on behalf of other machines.
#[derive(Debug, Default)]
pub struct IndirectProbes {
    in_flight: VecDeque<IndirectProbe>,
}

impl IndirectProbes {
    /// Records a probe that is sent with `sequence`. Returns false if too many probes are in
    /// flight.
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

    /// Handles the answer to the probe `sequence`. Returns the requester to forward the answer to;
    /// `None` if no such probe is in flight.
    pub fn on_ack(&mut self, sequence: u64) -> Option<Requester> {
        let mut probes = self.in_flight.iter();
        let index = probes.position(|probe| probe.sequence == sequence)?;
        let probe = self.in_flight.remove(index)?;
        Some(probe.requester)
    }
}
