//! Event forwarder: runs on one core with one local executor. Tasks with bounded mailboxes serve
//! each client connection, each target, the endpoint list, the notices and the decisions.
//!
//! `server` starts and stops the process. Path of an event: `clients` reads a request, `event_loop`
//! records it and decides, `targets` calls the target, and `notifier` reports outcomes other than
//! delivery to the platform. `hot_restart` hands over to a new process. In a fleet of forwarders,
//! `raft` starts the threads that replicate event logs and coordinate instances, and `raft_events`
//! receives their events. `docs/architecture.md` describes the architecture.

mod admin_listener;
mod call_kind;
mod client_gate;
mod clients;
mod clock;
mod connection_quotas;
mod context;
mod count_guard;
mod disabled_targets;
mod discovery;
mod endpoint_page;
mod event_loop;
mod fanout;
mod hot_restart;
mod http_exchange;
mod lingering_close;
mod messages;
mod notifier;
mod raft;
mod raft_events;
mod reload;
mod server;
mod stall_guard;
mod state_folder;
mod stream;
mod target_table;
mod targets;

fn main() {
    if let Err(error) = server::run() {
        eprintln!("plankhill-forwarder: {error}");
        std::process::exit(1);
    }
}
