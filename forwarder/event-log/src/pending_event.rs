//! An event that is accepted and not completed, assembled from its log records.

use crate::log_record::{AcceptedEvent, LogRecord, Outcome, RecordReader};

/// An event that is accepted and not completed, with the history of its attempts.
#[derive(Debug)]
pub struct PendingEvent {
    /// The event as it was accepted.
    pub event: AcceptedEvent<'static>,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// The first attempt that may have executed the event: the time at which it was sent, in milliseconds since the
    /// Unix epoch, and its zone.
    pub may_have_run: Option<(f64, String)>,
    /// The last attempt, if its result was unknown when the process ended: the time at which it was sent, and its zone.
    /// This attempt may have executed the event too.
    pub in_flight: Option<(f64, String)>,
    /// Timeout of the last attempt, in milliseconds; `None` if it was not recorded.
    pub timeout: Option<f64>,
    /// The event's outcome and the delay in milliseconds after which its client may submit it again, if the event has
    /// an outcome that its client may not have acknowledged.
    pub outcome: Option<(Outcome, Option<f64>)>,
}

impl PendingEvent {
    /// Assembles the event from its frames in the order written; `None` if the first is not an accepted event.
    pub(crate) fn from_frames(frames: &[u8]) -> Option<Self> {
        let mut reader = RecordReader::new(frames);
        let LogRecord::Accepted(event) = reader.next()?.record else {
            return None;
        };
        let mut pending = PendingEvent {
            event: event.into_owned(),
            attempts: 0,
            may_have_run: None,
            in_flight: None,
            timeout: None,
            outcome: None,
        };
        for framed in reader {
            pending.apply(framed.record);
        }
        Some(pending)
    }

    fn apply(&mut self, record: LogRecord) {
        match record {
            LogRecord::Attempt {
                started_at,
                zone,
                timeout,
                ..
            } => {
                let earlier = self.in_flight.replace((started_at, zone.into_owned()));
                if self.may_have_run.is_none() {
                    self.may_have_run = earlier;
                }
                self.timeout = timeout;
                self.attempts += 1;
            }
            LogRecord::AttemptNotExecuted { .. } => self.in_flight = None,
            LogRecord::Outcome {
                outcome,
                retry_after,
                ..
            } => self.outcome = Some((outcome, retry_after)),
            // Never stored with an event.
            LogRecord::Accepted(_) | LogRecord::Completed { .. } | LogRecord::WarmUp { .. } => {}
        }
    }
}
