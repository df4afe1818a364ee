//! The forwarder's event log: a write-ahead log of the events it has accepted and not completed, in the folder
//! that outlasts its process.
//!
//! | module | job |
//! | --- | --- |
//! | `event_log` | the file: open, append, rewrite |
//! | `event_table` | the state that the records make, in memory |
//! | `pending_event` | one event of that state, as a new process reads it |
//! | `log_record` | the records and their payloads |
//! | `frame` | length and checksum around each payload |
//! | `guarantee` | what was promised about repeats and order when an event was accepted |
//!
//! The forwarder's event loop owns the [`EventLog`] and calls [`EventLog::commit`] before anything that rests on a
//! record leaves the process. Where records are replicated, each replica keeps an [`EventTable`] instead of a
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
