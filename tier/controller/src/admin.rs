//! HTTP for operators and targets.
//!
//! Every call is answered within about a second: by its outcome, or by 503 when this controller
//! cannot get one, so that the caller goes on to another controller. All bodies are JSON.

mod body;
mod configuration;
mod drains;
mod heartbeat;
mod instances;
mod response;
mod retire;
mod router;
mod server;
mod status;

use std::time::Duration;

pub use body::{BodyBudget, BodyError, ReadableBody};
pub use heartbeat::{parse_heartbeat, HeartbeatError};
pub use response::AdminResponse;
pub use router::{route, Call};
pub use server::{handle_request, serve_admin};

/// The longest wait for the outcome of an operation or a read: callers go on to another controller
/// after a second.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(850);
/// Longest name in a path or a heartbeat, in bytes.
const MAX_NAME_BYTES: usize = 255;
