//! The data plane process: takes requests of clients, sends each to the target that the dispatcher
//! names, and passes the answer back.
//!
//! One thread does all of it. Tables come from the agent of the same machine; turns and budgets lie
//! with the stores. A request's way:
//!
//! 1. [`listener`] accepts the connection, `connection_server` serves it;
//! 2. `responder` waits for tables if need be, [`request_reader`] reads the request and finds its
//!    route;
//! 3. [`admission`] hands the request to the dispatcher ([`dispatch`]), whose [`decision`]s come
//!    back to the request's task;
//! 4. [`buffered`] or [`stream`] carries them out: [`target_client`] sends each attempt over a
//!    connection of the [`target_pool`], and the answer is passed on completely or event by event;
//! 5. where no target's answer is passed on, [`local_response`] makes one.

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
