//! The forwarder's event log: a write-ahead log of the events that it has accepted and not completed, in the state
//! folder, which survives the process.
//!
//! | module | contents |
//! | --- | --- |
//! | `event_log` | the file: open, append, rewrite |
//! | `event_table` | the in-memory state that results from the records |
//! | `pending_event` | one event of that state, as a new process restores it |
//! | `log_record` | the records and their payloads |
//! | `frame` | length and checksum before each payload |
//! | `guarantee` | the delivery guarantee of an event: repeats and order |
//!
//! The forwarder's event loop owns the [`EventLog`] and calls [`EventLog::commit`] before any output that depends
//! on a record leaves the process. If records are replicated, each replica keeps an [`EventTable`] instead of a
//! file, and the same frames are the commands of its Raft group (`plankhill-replication`).
//!
//! All points in time are milliseconds of the system clock since the Unix epoch.

mod event_log;
mod event_table;
mod frame;
mod guarantee;
mod log_record;
mod pending_event;
#[cfg(test)]
mod stored_format_tests;

pub use event_log::{has_length_changed, EventLog, OpenError};
pub use event_table::EventTable;
pub use guarantee::{DeliveryGuarantee, RepeatSafety};
pub use log_record::{frames, AcceptedEvent, Outcome};
pub use pending_event::PendingEvent;
