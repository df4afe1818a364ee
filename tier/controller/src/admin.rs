//! HTTP for the operator and for targets. Every call is answered within about a second: by its outcome, or by
//! 503 when this controller cannot get one, so that the caller goes on to another.

mod answer;
mod body;
mod configuration;
mod drains;
mod heartbeat;
mod instances;
mod retire;
mod router;
mod server;
mod status;

pub use answer::Answer;
pub use body::{BodyBudget, BodyError, ReadableBody};
pub use heartbeat::{parse_heartbeat, HeartbeatError};
pub use router::{route, Call};
pub use server::{answer, serve_admin};

use std::time::Duration;

/// Time for an operation or a read: callers go on after a second.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(850);
