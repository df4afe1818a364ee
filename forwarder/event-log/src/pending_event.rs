//! One event that the log has as accepted and not completed, put together from its records.

use crate::log_record::{AcceptedEvent, LogRecord, Outcome, RecordReader};

/// An event that was accepted and not completed, with the history of its attempts.
#[derive(Debug)]
pub struct PendingEvent {
    /// As it was accepted.
    pub event: AcceptedEvent<'static>,
    /// How many attempts left.
    pub attempts: u32,
    /// The first attempt that may have executed the event: when it left (milliseconds since the Unix epoch), and to
    /// which zone.
    pub may_have_run: Option<(f64, String)>,
    /// The last attempt, where its result was unknown when the process ended: when it left, and to which zone. The
    /// attempt may have executed the event too.
    pub in_flight: Option<(f64, String)>,
    /// How long the last attempt may take, in milliseconds; `None` where that was not recorded.
    pub timeout: Option<f64>,
    /// Its outcome and when the client may submit it again (in milliseconds), where it has an outcome that its
    /// client may not have acknowledged.
    pub outcome: Option<(Outcome, Option<f64>)>,
}

impl PendingEvent {
    /// Puts the event together from its frames in the order written; `None` where the first is not an accepted
    /// event.
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
