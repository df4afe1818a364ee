//! What is wrong with a batch: each message names its line and the faulty field; nothing is guessed.

use std::io;

use plankhill_decisions::interface::UnknownId;

/// A batch cannot be read or answered; the adapter ends.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct AdapterError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub error: BatchError,
}

/// What is wrong with a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The input failed.
    #[error("cannot be read: {0}")]
    Read(io::Error),
    /// The output failed.
    #[error("reply cannot be written: {0}")]
    Write(io::Error),
    /// The line is no JSON.
    #[error("not a JSON value: {0}")]
    NotJson(serde_json::Error),
    /// The line is JSON, but no object.
    #[error("a batch is an object")]
    NotAnObject,
    /// There is no list of events.
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
        /// What is wrong with it.
        error: ArrivalError,
    },
    /// A forwarder that has events in the batch does not run any more.
    #[error("who: instance {0} is gone")]
    InstanceGone(u64),
}

/// What is wrong with an event.
#[derive(Debug, thiserror::Error)]
pub enum ArrivalError {
    /// The event is no object.
    #[error("an event is an object")]
    NotAnObject,
    /// A field is missing, malformed, or names what the environment does not have.
    #[error("{0}")]
    Field(String),
    /// The event's kind is none of the protocol's.
    #[error("unknown event {0:?}")]
    UnknownCommand(String),
    /// The event is for a forwarder that does not run.
    #[error("{command}: instance {instance} was never started")]
    NeverStarted {
        /// The event's kind.
        command: String,
        /// The forwarder.
        instance: u64,
    },
    /// The event names an event or target that its forwarder does not know.
    #[error("{command}: {kind} was never named to this instance")]
    UnknownId {
        /// The event's kind.
        command: String,
        /// What is not known.
        kind: &'static str,
    },
    /// The list event's mode is none of the protocol's.
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
        /// What is wrong with it.
        error: ItemError,
    },
    /// The state code is none of the protocol's.
    #[error("stateCode: unknown code {0}")]
    UnknownStateCode(u64),
}

impl ArrivalError {
    /// An id that the scheduler does not know.
    pub fn unknown_id(command: &str, UnknownId(kind): UnknownId) -> Self {
        ArrivalError::UnknownId {
            command: command.to_owned(),
            kind,
        }
    }
}

/// What is wrong with an entry of a page.
#[derive(Debug, thiserror::Error)]
pub enum ItemError {
    /// The entry is no object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, malformed, or names what the environment does not have.
    #[error("{0}")]
    Field(String),
    /// The target's mode is none of the protocol's.
    #[error("unknown mode {0:?}")]
    UnknownMode(String),
}

/// Makes an error of a field's message, which names the field.
pub fn field<E: ToString>(error: E) -> ArrivalError {
    ArrivalError::Field(error.to_string())
}

/// Makes an error of a field's message, which names the field.
pub fn item_field<E: ToString>(error: E) -> ItemError {
    ItemError::Field(error.to_string())
}
