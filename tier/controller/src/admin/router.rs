//! Maps the method and path of a request to a call.

use hyper::{Method, StatusCode};
use plankhill_protocol::ids::{InstanceId, NodeId};

use super::MAX_NAME_BYTES;

/// A call by an operator or a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `PUT /-/config`: replace the configuration.
    PutConfiguration,
    /// `GET /-/config`: read the newest configuration.
    GetConfiguration,
    /// `POST /-/retire/{node}`: retire a store.
    Retire(NodeId),
    /// `GET /-/retire/{node}`: show the progress of a retirement.
    RetireProgress(NodeId),
    /// `POST /-/drains`: drain edges, or return them to service.
    OrderDrain,
    /// `GET /-/drains`: list the drains.
    ListDrains,
    /// `PUT /-/instances/{id}`: process the heartbeat of a target.
    Heartbeat(InstanceId),
    /// `DELETE /-/instances/{id}`: deregister a target that shuts down gracefully.
    Deregister(InstanceId),
    /// `GET /-/status`: show the status, as displayed by the command line tool.
    Status,
}

/// Returns the call for a method and path, or the status code of the error response.
///
/// # Errors
/// 404 for an unknown path, 405 for a method that the path does not support, 400 for an invalid
/// name.
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
        return match *method {
            Method::GET => Ok(Call::Status),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if let Some(name) = path.strip_prefix("/-/retire/") {
        let node = NodeId::from(check_name(name)?);
        return match *method {
            Method::POST => Ok(Call::Retire(node)),
            Method::GET => Ok(Call::RetireProgress(node)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    if let Some(name) = path.strip_prefix("/-/instances/") {
        let id = InstanceId::from(check_name(name)?);
        return match *method {
            Method::PUT => Ok(Call::Heartbeat(id)),
            Method::DELETE => Ok(Call::Deregister(id)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED),
        };
    }
    Err(StatusCode::NOT_FOUND)
}

fn check_name(name: &str) -> Result<&str, StatusCode> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains('/') {
        Err(StatusCode::BAD_REQUEST)
    } else {
        Ok(name)
    }
}
