//! Which call a request is.

use hyper::{Method, StatusCode};
use plankhill_protocol::ids::{InstanceId, NodeId};

/// Longest name in a path, in bytes.
const MAX_NAME_BYTES: usize = 255;

/// A call of the operator or of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Replace the configuration.
    PutConfiguration,
    /// Read the newest configuration.
    GetConfiguration,
    /// Empty a store.
    Retire(NodeId),
    /// How far the emptying is.
    RetireProgress(NodeId),
    /// Take edges out of service, or back.
    OrderDrain,
    /// What is out of service.
    ListDrains,
    /// A heartbeat.
    Heartbeat(InstanceId),
    /// A target ends.
    Deregister(InstanceId),
    /// What the command line shows.
    Status,
}

/// Finds the call; otherwise the status to answer with.
///
/// # Errors
/// 404 for an unknown path, 405 for a method that the path does not have, 400 for a name that is none.
pub fn route(method: &Method, path: &str) -> Result<Call, StatusCode> {
    if path == "/-/config" {
        return match *method {
            Method::PUT => Ok(Call::PutConfiguration),
            Method::GET => Ok(Call::GetConfiguration),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if path == "/-/drains" {
        return match *method {
            Method::POST => Ok(Call::OrderDrain),
            Method::GET => Ok(Call::ListDrains),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if path == "/-/status" {
        return if *method == Method::GET {
            Ok(Call::Status)
        } else {
            Err(StatusCode::METHOD_NOT_ALLOWED)
        };
    }
    if let Some(name) = path.strip_prefix("/-/retire/") {
        let node = NodeId::from(checked(name)?);
        return match *method {
            Method::POST => Ok(Call::Retire(node)),
            Method::GET => Ok(Call::RetireProgress(node)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if let Some(name) = path.strip_prefix("/-/instances/") {
        let id = InstanceId::from(checked(name)?);
        return match *method {
            Method::PUT => Ok(Call::Heartbeat(id)),
            Method::DELETE => Ok(Call::Deregister(id)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    Err(StatusCode::NOT_FOUND)
}

fn checked(name: &str) -> Result<&str, StatusCode> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains('/') {
        Err(StatusCode::BAD_REQUEST)
    } else {
        Ok(name)
    }
}
