//! The handshake of the two processes, without I/O. Exactly one of them decides at any moment: the predecessor until it
//! has told the successor that the forwarder is the successor's, the successor from the change of owner on, which is
//! one write to the event log.
//!
//! Called by `forwarder/server` (`hot_restart::predecessor`, `hot_restart::successor`), which carries out the actions.

/// What one of the processes receives, or finds out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To the predecessor: a new process asks to take over.
    Asked {
        /// Whether the new process could go on with the state.
        compatible: bool,
    },
    /// To the predecessor: the successor has read the state.
    Prepared,
    /// To the predecessor: the successor decides.
    Activated,
    /// To the predecessor: the successor is not prepared in time.
    TimedOut,
    /// To the successor: the predecessor's state has come.
    State {
        /// Whether the state could be read.
        readable: bool,
    },
    /// To the successor: the forwarder is the successor's.
    Ownership,
    /// To the successor: the predecessor hands nothing over.
    Declined,
    /// The other process has gone.
    PeerGone {
        /// Whether the change of owner is written.
        owner_changed: bool,
    },
}

/// What the process does then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing: the signal makes no sense now.
    Ignore,
    /// The predecessor ends its event loop iteration, pauses and sends its state.
    Pause,
    /// The predecessor declines, and goes on.
    Decline,
    /// The predecessor tells the successor that the forwarder is the successor's.
    TransferOwnership,
    /// The predecessor decides again, as before.
    Resume,
    /// The predecessor relays what its connections still bring, and decides nothing.
    Relay,
    /// The process ends.
    Exit,
    /// The successor reports that it is prepared.
    ReportPrepared,
    /// The successor writes the change of owner, and decides.
    Activate,
    /// The successor waits for the lock, and starts from the state folder.
    StartFromFolder,
}

/// The process that was there before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// Decides alone.
    #[default]
    Deciding,
    /// Has sent its state, and waits for the successor to be prepared.
    Paused,
    /// Has handed over, and waits for the successor to decide.
    Yielded,
    /// The successor decides.
    Relaying,
    /// Is to end.
    Ended,
}

impl Predecessor {
    /// Takes a signal; returns what to do.
    pub fn on_signal(&mut self, signal: Signal) -> Action {
        let (next, action) = match (*self, signal) {
            (Predecessor::Deciding, Signal::Asked { compatible: true }) => {
                (Predecessor::Paused, Action::Pause)
            }
            (Predecessor::Deciding, Signal::Asked { compatible: false }) => {
                (Predecessor::Deciding, Action::Decline)
            }
            (Predecessor::Paused, Signal::Prepared) => {
                (Predecessor::Yielded, Action::TransferOwnership)
            }
            // The successor was not told that the forwarder is its own: it can't have begun.
            (Predecessor::Paused, Signal::TimedOut | Signal::PeerGone { .. }) => {
                (Predecessor::Deciding, Action::Resume)
            }
            (Predecessor::Yielded, Signal::Activated) => (Predecessor::Relaying, Action::Relay),
            (
                Predecessor::Yielded,
                Signal::PeerGone {
                    owner_changed: false,
                },
            ) => (Predecessor::Deciding, Action::Resume),
            // The successor began and ended: what it did since stands in the event log, not here.
            (Predecessor::Yielded | Predecessor::Relaying, Signal::PeerGone { .. }) => {
                (Predecessor::Ended, Action::Exit)
            }
            (unchanged, _) => (unchanged, Action::Ignore),
        };
        *self = next;
        action
    }

    /// Whether this process decides.
    pub fn is_deciding(self) -> bool {
        self == Predecessor::Deciding
    }
}

/// The new process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Successor {
    /// Has asked to take over.
    #[default]
    Asking,
    /// Has read the predecessor's state.
    Prepared,
    /// Decides.
    Deciding,
    /// No handover is to be hoped for.
    StartingFromFolder,
}

impl Successor {
    /// Takes a signal; returns what to do.
    pub fn on_signal(&mut self, signal: Signal) -> Action {
        let (next, action) = match (*self, signal) {
            (Successor::Asking, Signal::State { readable: true }) => {
                (Successor::Prepared, Action::ReportPrepared)
            }
            (Successor::Prepared, Signal::Ownership) => (Successor::Deciding, Action::Activate),
            (
                Successor::Asking | Successor::Prepared,
                Signal::State { .. } | Signal::Declined | Signal::PeerGone { .. },
            ) => (Successor::StartingFromFolder, Action::StartFromFolder),
            (unchanged, _) => (unchanged, Action::Ignore),
        };
        *self = next;
        action
    }

    /// Whether this process decides.
    pub fn is_deciding(self) -> bool {
        self == Successor::Deciding
    }
}
