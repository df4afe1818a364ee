//! Context that every task of the server receives: the executor, the configuration and shared
//! state. Created once by `server`; clones share everything.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use plankhill_buffer_pool::BufferPool;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_raft_groups::GroupEventStream;
use slog::{o, Drain, Logger};

use crate::client_gate::ClientGate;
use crate::clock::Clock;
use crate::connection_quotas::ConnectionQuotas;
use crate::fanout::Broadcasts;
use crate::hot_restart::transfer::TransferChannel;
use crate::raft::{RaftHandle, RaftStartError};
use crate::stream::BUFFER_BYTES;

#[derive(Clone)]
pub struct ServerContext {
    pub executor: Rc<LocalExecutor<'static>>,
    /// Buffers for requests and responses in transit.
    pub buffers: BufferPool,
    pub clock: Clock,
    pub log: Logger,
    pub config: Rc<ForwarderConfig>,
    /// Current address of discovery; a configuration reload may change it.
    pub discovery_address: Rc<Cell<SocketAddr>>,
    /// Whether this process admits clients.
    pub client_gate: Rc<ClientGate>,
    /// Whether this process decides, can record the events that it accepts, and has targets.
    pub ready: Rc<Cell<bool>>,
    /// Number of open client connections.
    pub open_clients: Rc<Cell<usize>>,
    /// Number of descriptors that the predecessor process still has open.
    pub predecessor_descriptors: Rc<Cell<usize>>,
    /// Number of the last request that submitted an event.
    pub request_numbers: Rc<Cell<u64>>,
    /// Channel to the successor process.
    pub transfer: Rc<TransferChannel>,
    /// Raft groups of the fleet that this process is an instance of; `None` without a fleet.
    pub raft: Option<Rc<RaftHandle>>,
    /// Broadcasts at this instance; `None` if the fleet file has no lists.
    pub fanout: Option<Rc<Broadcasts>>,
    /// Connection quotas; `None` if the fleet file names no policy.
    pub quotas: Option<Rc<ConnectionQuotas>>,
}

impl ServerContext {
    /// Creates the context of a starting process, and the event stream of its Raft groups if the
    /// process belongs to a fleet.
    ///
    /// # Errors
    /// The Raft groups cannot be started.
    pub fn start(
        config: ForwarderConfig,
    ) -> Result<(Self, Option<GroupEventStream>), RaftStartError> {
        let config = Rc::new(config);
        let log = start_log(&config);
        let (raft, group_events) = match RaftHandle::start(&config, &log)? {
            Some((raft, group_events)) => (Some(Rc::new(raft)), Some(group_events)),
            None => (None, None),
        };
        let mut context = ServerContext::without_fleet(config, log);
        if let Some(raft) = &raft {
            let incarnation = raft.incarnation();
            if let Some(layout) = context.config.fanout.clone() {
                let clock = context.clock.clone();
                context.fanout = Some(Broadcasts::new(clock, incarnation, layout));
            }
            context.quotas =
                ConnectionQuotas::start(&context.config, incarnation, raft.max_stall());
        }
        context.raft = raft;
        Ok((context, group_events))
    }

    /// Creates the context of a process without a fleet.
    fn without_fleet(config: Rc<ForwarderConfig>, log: Logger) -> Self {
        // Half of the memory limit is for bodies and messages in transit.
        let max_buffers = (config.max_memory_bytes / 2) as usize / BUFFER_BYTES;
        ServerContext {
            executor: Rc::new(LocalExecutor::new()),
            buffers: BufferPool::new(BUFFER_BYTES, max_buffers),
            clock: Clock::start(),
            log,
            discovery_address: Rc::new(Cell::new(config.discovery_address)),
            client_gate: Rc::default(),
            ready: Rc::default(),
            open_clients: Rc::default(),
            predecessor_descriptors: Rc::default(),
            request_numbers: Rc::default(),
            transfer: Rc::default(),
            raft: None,
            fanout: None,
            quotas: None,
            config,
        }
    }

    /// The Raft groups that replicate the event log; `None` if the log is only a local file.
    pub fn replication(&self) -> Option<&Rc<RaftHandle>> {
        self.raft
            .as_ref()
            .filter(|raft| raft.replicates_event_logs())
    }

    /// Whether events of clients can be accepted now.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.replication().is_none_or(|raft| raft.accepts_events())
    }

    /// Returns a number for a request that submits an event, larger than all earlier ones.
    pub fn next_request_number(&self) -> u64 {
        let number = self.request_numbers.get() + 1;
        self.request_numbers.set(number);
        number
    }
}

fn start_log(config: &ForwarderConfig) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stdout());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build();
    let drain = drain.filter_level(config.log_level).ignore_res();
    Logger::root(drain, o!("name" => config.name.clone()))
}

#[cfg(test)]
pub mod tests;
