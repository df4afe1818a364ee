//! Parses requests at the admin address from their method and path. Called by the server's admin
//! listener; the commands and replies are also sent between the two processes of a hot restart.

use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

/// A change requested by an operator. The serialized names are part of the hot restart's protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// `POST /-/targets/{id}/disable`: no new requests are sent to the target.
    #[serde(rename = "Disable")]
    DisableTarget(Box<str>),
    /// `POST /-/targets/{id}/enable`: the target may serve again.
    #[serde(rename = "Enable")]
    EnableTarget(Box<str>),
    /// `POST /-/drain`: the forwarder is drained of clients.
    Drain,
    /// `POST /-/resume`: the forwarder accepts clients again.
    Resume,
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /-/ready`: whether this process is ready to serve.
    Readiness,
    /// A command.
    Command(AdminCommand),
}

/// The result of a command. The serialized names are part of the hot restart's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminReply {
    /// The command is in effect and recorded, by this request or an earlier one.
    Done,
    /// No target with the id was ever listed.
    NeverListed,
    /// The command could not be recorded, and has no effect.
    NotRecorded,
}

/// The reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No resource has this path.
    #[error("no such path")]
    UnknownPath,
    /// The path supports only another method.
    #[error("only {allowed} is served here")]
    MethodNotAllowed {
        /// The only method that the path supports.
        allowed: &'static str,
    },
    /// The target's id is empty, too long, not UTF-8 or has a control character.
    #[error("the id of the target is not valid")]
    InvalidTargetId,
}

/// Longest id of a target, in bytes: no entry of the endpoint list may have a longer one.
const MAX_TARGET_ID_BYTES: usize = 128;

/// Parses a request's method and path.
///
/// # Errors
/// The path is unknown, supports only another method, or has a target id that is not valid.
pub fn parse_request(method: &str, path: &str) -> Result<AdminRequest, RequestError> {
    let segments: Vec<&str> = path.split('/').collect();
    let (allowed, request) = match segments[..] {
        ["", "-", "ready"] => ("GET", Ok(AdminRequest::Readiness)),
        ["", "-", "drain"] => ("POST", Ok(AdminRequest::Command(AdminCommand::Drain))),
        ["", "-", "resume"] => ("POST", Ok(AdminRequest::Command(AdminCommand::Resume))),
        ["", "-", "targets", id, "disable"] => {
            ("POST", target_command(id, AdminCommand::DisableTarget))
        }
        ["", "-", "targets", id, "enable"] => {
            ("POST", target_command(id, AdminCommand::EnableTarget))
        }
        _ => return Err(RequestError::UnknownPath),
    };
    if method != allowed {
        return Err(RequestError::MethodNotAllowed { allowed });
    }
    request
}

fn target_command(
    segment: &str,
    command: fn(Box<str>) -> AdminCommand,
) -> Result<AdminRequest, RequestError> {
    let id = percent_decode_str(segment)
        .decode_utf8()
        .map_err(|_| RequestError::InvalidTargetId)?;
    let is_valid =
        (1..=MAX_TARGET_ID_BYTES).contains(&id.len()) && !id.chars().any(char::is_control);
    if !is_valid {
        return Err(RequestError::InvalidTargetId);
    }
    Ok(AdminRequest::Command(command(id.into())))
}
