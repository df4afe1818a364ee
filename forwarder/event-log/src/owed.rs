//! What the marks of an event say of it.

use crate::frame::{Mark, Outcome, Reader, Taken};

/// An event that was taken on and not brought to its end.
#[derive(Debug)]
pub struct Owed {
    pub taken: Taken<'static>,
    pub sends: u32,
    /// The first send that may have run: when, and to which zone.
    pub may_have_run: Option<(f64, String)>,
    /// Its last send had no outcome when the process ended; it may have run too.
    pub was_out: Option<(f64, String)>,
    /// What that send was given to be answered, in milliseconds; none where it was not noted.
    pub time_out: Option<f64>,
    /// It ended; its notice may not have been heard.
    pub ended: Option<(Outcome, Option<f64>)>,
}

impl Owed {
    /// Out of its frames in the order written; none if the first is no *taken*.
    pub(crate) fn read(frames: &[u8]) -> Option<Self> {
        let mut reader = Reader::new(frames);
        let Some((Mark::Taken(taken), _)) = reader.next() else {
            return None;
        };
        let taken = taken.into_owned();
        let mut owed = Owed {
            taken,
            sends: 0,
            may_have_run: None,
            was_out: None,
            time_out: None,
            ended: None,
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
                let earlier = self.was_out.replace((at, zone.into_owned()));
                self.may_have_run = self.may_have_run.take().or(earlier);
                self.time_out = time_out;
                self.sends += 1;
            }
            Mark::Unrun { .. } => self.was_out = None,
            Mark::Ended {
                outcome,
                come_back_after,
                ..
            } => self.ended = Some((outcome, come_back_after)),
            // Not kept with an event.
            Mark::Taken(_) | Mark::Over { .. } | Mark::Cold { .. } => (),
        }
    }
}
