//! The admin API of a running forwarder: the parsing of operators' requests, and the targets that
//! operators have disabled. This package does no I/O: `forwarder/server` reads the requests, writes
//! the record of disabled targets and passes their states to the scheduler.

mod disabled_targets;
mod requests;

pub use disabled_targets::{
    CorruptRecord, DisabledTargets, RecordChange, TargetSwitch, MAX_FORMERLY_LISTED,
};
pub use requests::{parse_request, AdminCommand, AdminReply, AdminRequest, RequestError};
