//! The handshake of the two processes, without I/O. At most one of them makes decisions at any
//! moment: the predecessor until it pauses, the successor from the change of owner on, which is one
//! write to the event log. A predecessor resumes if the successor does not become the owner.
//!
//! The messages of a successful handshake are, in order, `Hello`, `State`, `Prepared`, `Ownership`
//! and `Activated` of [`Message`](crate::Message).
//!
//! Called by `forwarder/server` (`hot_restart::predecessor`, `hot_restart::successor`), which
//! carries out the actions.

/// An input that one of the processes receives or detects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To the predecessor: a new process requests to take over.
    TakeoverRequested {
        /// Whether the new process can continue with the predecessor's state.
        compatible: bool,
    },
    /// To the predecessor: the successor has read the state.
    Prepared,
    /// To the predecessor: the successor has become the owner and makes decisions.
    Activated,
    /// To the predecessor: the successor was not prepared in time.
    TimedOut,
    /// To the successor: the predecessor's state has arrived.
    State {
        /// Whether the state could be read.
        readable: bool,
    },
    /// To the successor: the predecessor transfers ownership of the forwarder.
    Ownership,
    /// To the successor: the predecessor declines the handover.
    Declined,
    /// The other process has ended, or closed the connection.
    PeerGone {
        /// Whether the change of owner has been written to the event log.
        owner_changed: bool,
    },
}

/// The action that a process takes on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// No action: the signal does not apply in the current state.
    Ignore,
    /// The predecessor ends its event loop iteration, pauses and sends its state.
    Pause,
    /// The predecessor declines the handover, and continues.
    Decline,
    /// The predecessor transfers ownership of the forwarder to the successor.
    TransferOwnership,
    /// The predecessor makes decisions again, as before.
    Resume,
    /// The predecessor relays further input of its connections, and makes no decisions.
    Relay,
    /// The process ends.
    Exit,
    /// The successor reports that it is prepared.
    ReportPrepared,
    /// The successor writes the change of owner, and makes decisions from then on.
    Activate,
    /// The successor waits for the lock, and starts from the state folder.
    StartFromFolder,
}

/// State of the predecessor, the process that ran first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// Makes all decisions.
    #[default]
    Deciding,
    /// Has sent its state, and waits for the successor to be prepared.
    Paused,
    /// Has transferred ownership, and waits for the successor to activate.
    HandedOver,
    /// Relays input to the successor, which makes the decisions.
    Relaying,
    /// Has to end.
    Ended,
}

impl Predecessor {
    /// Applies a signal, and returns the action to take.
    pub fn on_signal(&mut self, signal: Signal) -> Action {
        let (next, action) = match (*self, signal) {
            (Predecessor::Deciding, Signal::TakeoverRequested { compatible: true }) => {
                (Predecessor::Paused, Action::Pause)
            }
            (Predecessor::Deciding, Signal::TakeoverRequested { compatible: false }) => {
                (Predecessor::Deciding, Action::Decline)
            }
            (Predecessor::Paused, Signal::Prepared) => {
                (Predecessor::HandedOver, Action::TransferOwnership)
            }
            // Ownership was not transferred: the successor can't have activated.
            (Predecessor::Paused, Signal::TimedOut | Signal::PeerGone { .. }) => {
                (Predecessor::Deciding, Action::Resume)
            }
            (Predecessor::HandedOver, Signal::Activated) => (Predecessor::Relaying, Action::Relay),
            (
                Predecessor::HandedOver,
                Signal::PeerGone {
                    owner_changed: false,
                },
            ) => (Predecessor::Deciding, Action::Resume),
            // The successor activated and ended: its changes are in the event log, not in this process.
            (Predecessor::HandedOver | Predecessor::Relaying, Signal::PeerGone { .. }) => {
                (Predecessor::Ended, Action::Exit)
            }
            (unchanged, _) => (unchanged, Action::Ignore),
        };
        *self = next;
        action
    }

    /// Whether this process makes decisions.
    pub fn is_deciding(self) -> bool {
        self == Predecessor::Deciding
    }
}

/// State of the successor, the new process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Successor {
    /// Has requested to take over.
    #[default]
    Asking,
    /// Has read the predecessor's state.
    Prepared,
    /// Makes all decisions.
    Deciding,
    /// Waits for the lock, and starts from the state folder without a handover.
    StartingFromFolder,
}

impl Successor {
    /// Applies a signal, and returns the action to take.
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

    /// Whether this process makes decisions.
    pub fn is_deciding(self) -> bool {
        self == Successor::Deciding
    }
}
