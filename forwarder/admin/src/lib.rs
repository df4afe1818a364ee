//! The admin API of a running forwarder: operators' requests as they are parsed, and the targets that operators have
//! disabled. Nothing here does I/O: `forwarder/server` reads the requests, writes the record of disabled targets and
//! tells the scheduler what follows.

mod disabled_targets;
mod requests;

pub use disabled_targets::{
    CorruptRecord, DisabledTargets, RecordChange, TargetSwitch, MAX_FORMERLY_LISTED,
};
pub use requests::{parse_request, AdminCommand, AdminReply, AdminRequest, RequestError};
