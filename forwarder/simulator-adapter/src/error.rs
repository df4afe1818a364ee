//! Errors in a batch. Each message names the line and the faulty field; no missing or malformed value is guessed.

use std::io;

use plankhill_decisions::interface::UnknownId;

/// A batch cannot be read or answered; the adapter ends.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct AdapterError {
    /// Number of the line, from 1.
    pub line: usize,
    /// The error in the line.
    pub error: BatchError,
}

/// An error in a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The input cannot be read.
    #[error("cannot be read: {0}")]
    Read(io::Error),
    /// The output cannot be written.
    #[error("reply cannot be written: {0}")]
    Write(io::Error),
    /// The line is not JSON.
    #[error("not a JSON value: {0}")]
    NotJson(serde_json::Error),
    /// The line is JSON, but not an object.
    #[error("a batch is an object")]
    NotAnObject,
    /// The list of events is missing.
    #[error("arrivals: a list is missing")]
    NoArrivals,
    /// A field of the batch is missing or malformed.
    #[error("{0}")]
    Field(String),
    /// An event cannot be applied.
    #[error("arrivals[{index}]: {error}")]
    Arrival {
        /// Position of the event in its batch.
        index: usize,
        /// The error in the event.
        error: ArrivalError,
    },
    /// A forwarder that has events in the batch no longer runs.
    #[error("who: instance {0} is gone")]
    InstanceGone(u64),
}

/// An error in an event.
#[derive(Debug, thiserror::Error)]
pub enum ArrivalError {
    /// The event is not an object.
    #[error("an event is an object")]
    NotAnObject,
    /// A field is missing or malformed, or has a name that is not in the environment.
    #[error("{0}")]
    Field(String),
    /// The event's kind is not in the protocol.
    #[error("unknown event {0:?}")]
    UnknownCommand(String),
    /// The event is for a forwarder that is not running.
    #[error("{command}: instance {instance} was never started")]
    NeverStarted {
        /// The event's kind.
        command: String,
        /// The forwarder.
        instance: u64,
    },
    /// The event has the id of an event or target that is unknown to its forwarder.
    #[error("{command}: {kind} was never named to this instance")]
    UnknownId {
        /// The event's kind.
        command: String,
        /// The kind of the unknown id.
        kind: &'static str,
    },
    /// The list event's mode is not in the protocol.
    #[error("fleet: unknown mode {0:?}")]
    UnknownListMode(String),
    /// The list event names no page.
    #[error("fleet: its page is missing")]
    NoPage,
    /// The list event names a page that was never sent.
    #[error("fleet: no page {0}")]
    UnknownPage(u64),
    /// An entry of the page cannot be read.
    #[error("items[{index}]: {error}")]
    Item {
        /// Position of the entry in its page.
        index: usize,
        /// The error in the entry.
        error: ItemError,
    },
    /// The state code is not in the protocol.
    #[error("stateCode: unknown code {0}")]
    UnknownStateCode(u64),
}

impl ArrivalError {
    /// Makes an error from an id that is unknown to the scheduler.
    pub fn unknown_id(command: &str, UnknownId(kind): UnknownId) -> Self {
        ArrivalError::UnknownId {
            command: command.to_owned(),
            kind,
        }
    }
}

/// An error in an entry of a page.
#[derive(Debug, thiserror::Error)]
pub enum ItemError {
    /// The entry is not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or malformed, or has a name that is not in the environment.
    #[error("{0}")]
    Field(String),
    /// The target's mode is not in the protocol.
    #[error("unknown mode {0:?}")]
    UnknownMode(String),
}

/// Makes an event's error from a message that names the field.
pub fn field<E: ToString>(error: E) -> ArrivalError {
    ArrivalError::Field(error.to_string())
}

/// Makes an entry's error from a message that names the field.
pub fn item_field<E: ToString>(error: E) -> ItemError {
    ItemError::Field(error.to_string())
}
