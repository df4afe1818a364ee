//! The HTTP interface for operators and targets.
//!
//! Every call gets a response within about a second: its outcome, or 503 if this controller cannot
//! obtain one, so that the caller can try another controller. All bodies are JSON.

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

/// Timeout for the outcome of an operation or a read. It is below the second after which callers
/// try another controller.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(850);
/// Maximum length of a name in a path or a heartbeat, in bytes.
const MAX_NAME_BYTES: usize = 255;
