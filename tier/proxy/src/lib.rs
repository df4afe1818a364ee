//! The data plane process: accepts client requests, sends each to the target that the dispatcher
//! selects, and returns the response.
//!
//! The process uses a single thread. It receives tables from the agent of the same machine; turns
//! and budgets are kept by the stores. The path of a request:
//!
//! 1. [`listener`] accepts the connection, `connection_server` serves it;
//! 2. `responder` waits for tables if necessary, [`request_reader`] reads the request and finds its
//!    route;
//! 3. [`admission`] passes the request to the dispatcher ([`dispatch`]), whose [`decision`]s are
//!    sent to the request's task;
//! 4. [`buffered`] or [`stream`] executes them: [`target_client`] sends each attempt over a
//!    connection of the [`target_pool`], and the response is forwarded completely or event by
//!    event;
//! 5. if no target's response is forwarded, [`local_response`] generates one.

pub mod admission;
pub mod body_reader;
pub mod buffered;
pub mod buffered_response;
pub mod client_connection;
pub mod client_request;
pub mod clock;
pub mod connect;
mod connection_server;
pub mod decision;
pub mod dispatch;
pub mod draining;
pub mod headers;
pub mod health_check;
pub mod in_flight;
pub mod lifecycle;
pub mod listener;
pub mod local_response;
pub mod memory_budget;
pub mod process;
pub mod readiness;
pub mod request_headers;
pub mod request_reader;
mod responder;
pub mod response_body;
mod run;
pub mod signals;
pub mod snapshot;
pub mod stream;
mod table_feed;
pub mod target_client;
pub mod target_pool;
pub mod turn;
pub mod turn_store;
pub mod upstream_request;
pub mod upstream_response;
mod wake_up;

pub use run::{run, RunError};
