//! What each of the two processes does next. Exactly one of them decides at any moment: the elder until it
//! has said that the forwarder is the heir's, the heir from the change of owner on, which is one write.

/// What one of them hears, or finds out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happens {
    /// To the elder: a new process asks, and could go on with its state or not.
    Asked { fits: bool },
    /// To the elder: the heir has read all.
    Prepared,
    /// To the elder: the heir decides.
    Begun,
    /// To the elder: the heir is not prepared in time.
    TimeIsUp,
    /// To the heir: the elder's state has come, and could be read or not.
    State { readable: bool },
    /// To the heir: the forwarder is its.
    Yours,
    /// To the heir: the elder hands nothing over.
    No,
    /// The other has gone; whether the change of owner is written.
    Gone { changed: bool },
}

/// What it does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    /// Nothing, or it takes no notice of what makes no sense now.
    Waits,
    /// The elder ends its round, stands still and sends its state.
    StandsStill,
    /// It says no, and goes on.
    Refuses,
    /// The elder says that the forwarder is the heir's.
    Yields,
    /// The elder decides again, as if nothing had been.
    GoesOn,
    /// The elder passes on what it still has, and decides nothing.
    Relays,
    /// It ends.
    Ends,
    /// The heir says that it is prepared.
    Prepares,
    /// The heir writes the change of owner, and decides.
    Begins,
    /// The heir waits for the lock, and starts from what is in the folder.
    StartsAlone,
}

/// The process that was there before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Elder {
    #[default]
    Decides,
    StandsStill,
    Yielded,
    Relays,
    Ended,
}

impl Elder {
    pub fn hears(&mut self, what: Happens) -> Does {
        let (next, does) = match (*self, what) {
            (Elder::Decides, Happens::Asked { fits: true }) => {
                (Elder::StandsStill, Does::StandsStill)
            }
            (Elder::Decides, Happens::Asked { fits: false }) => (Elder::Decides, Does::Refuses),
            (Elder::StandsStill, Happens::Prepared) => (Elder::Yielded, Does::Yields),
            // It has not been told that it is the heir: it can't have begun.
            (Elder::StandsStill, Happens::TimeIsUp | Happens::Gone { .. }) => {
                (Elder::Decides, Does::GoesOn)
            }
            (Elder::Yielded, Happens::Begun) => (Elder::Relays, Does::Relays),
            (Elder::Yielded, Happens::Gone { changed: false }) => (Elder::Decides, Does::GoesOn),
            // It began and ended: what it did since stands in the ledger, not here.
            (Elder::Yielded | Elder::Relays, Happens::Gone { .. }) => (Elder::Ended, Does::Ends),
            (as_it_was, _) => (as_it_was, Does::Waits),
        };
        *self = next;
        does
    }

    pub fn decides(self) -> bool {
        self == Elder::Decides
    }
}

/// The new process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Heir {
    #[default]
    Asks,
    Prepared,
    Decides,
    /// It has no hand-over to hope for.
    Alone,
}

impl Heir {
    pub fn hears(&mut self, what: Happens) -> Does {
        let (next, does) = match (*self, what) {
            (Heir::Asks, Happens::State { readable: true }) => (Heir::Prepared, Does::Prepares),
            (Heir::Prepared, Happens::Yours) => (Heir::Decides, Does::Begins),
            (
                Heir::Asks | Heir::Prepared,
                Happens::State { .. } | Happens::No | Happens::Gone { .. },
            ) => (Heir::Alone, Does::StartsAlone),
            (as_it_was, _) => (as_it_was, Does::Waits),
        };
        *self = next;
        does
    }

    pub fn decides(self) -> bool {
        self == Heir::Decides
    }
}
