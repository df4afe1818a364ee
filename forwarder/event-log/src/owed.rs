//! What the marks of an event say of it.

use crate::frame::{AcceptedEvent, Mark, Outcome, Reader};

/// An event that was taken on and not brought to its end.
#[derive(Debug)]
pub struct PendingEvent {
    pub event: AcceptedEvent<'static>,
    pub attempts: u32,
    /// The first send that may have run: when, and to which zone.
    pub may_have_run: Option<(f64, String)>,
    /// Its last send had no outcome when the process ended; it may have run too.
    pub in_flight: Option<(f64, String)>,
    /// What that send was given to be answered, in milliseconds; none where it was not noted.
    pub timeout: Option<f64>,
    /// It ended; its notice may not have been heard.
    pub outcome: Option<(Outcome, Option<f64>)>,
}

impl PendingEvent {
    /// Out of its frames in the order written; none if the first is no *taken*.
    pub(crate) fn read(frames: &[u8]) -> Option<Self> {
        let mut reader = Reader::new(frames);
        let Some((Mark::Taken(taken), _)) = reader.next() else {
            return None;
        };
        let taken = taken.into_owned();
        let mut owed = PendingEvent {
            event: taken,
            attempts: 0,
            may_have_run: None,
            in_flight: None,
            timeout: None,
            outcome: None,
        };
        while let Some((mark, _)) = reader.next() {
            owed.follow(mark);
        }
        Some(owed)
    }

    fn follow(&mut self, mark: Mark) {
        match mark {
            Mark::Sent {
                at, zone, time_out, ..
            } => {
                let earlier = self.in_flight.replace((at, zone.into_owned()));
                self.may_have_run = self.may_have_run.take().or(earlier);
                self.timeout = time_out;
                self.attempts += 1;
            }
            Mark::Unrun { .. } => self.in_flight = None,
            Mark::Ended {
                outcome,
                come_back_after,
                ..
            } => self.outcome = Some((outcome, come_back_after)),
            // Not kept with an event.
            Mark::Taken(_) | Mark::Over { .. } | Mark::Cold { .. } => (),
        }
    }
}
