//! What every task of the server is given: the executor, the configuration and the state that tasks share. Made once by
//! `server`; clones share everything.

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
    /// Buffers for requests and responses under way.
    pub buffers: BufferPool,
    pub clock: Clock,
    pub log: Logger,
    pub config: Rc<ForwarderConfig>,
    /// Where discovery is: a configuration that is read again may name another address.
    pub discovery_address: Rc<Cell<SocketAddr>>,
    /// Whether clients are to come.
    pub client_gate: Rc<ClientGate>,
    /// Whether this process decides, can record what it accepts, and knows where to deliver it.
    pub ready: Rc<Cell<bool>>,
    /// Connections of clients.
    pub open_clients: Rc<Cell<usize>>,
    /// Descriptors that the predecessor process still holds.
    pub predecessor_descriptors: Rc<Cell<usize>>,
    /// Number of the last request that submitted an event.
    pub request_numbers: Rc<Cell<u64>>,
    /// To the successor process.
    pub transfer: Rc<TransferChannel>,
    /// The Raft groups of the fleet that this process is an instance of, if it is of one.
    pub raft: Option<Rc<RaftHandle>>,
    /// This process's part in broadcasts, where the fleet file has lists.
    pub fanout: Option<Rc<Broadcasts>>,
    /// Connection quotas, where the fleet file names a policy.
    pub quotas: Option<Rc<ConnectionQuotas>>,
}

impl ServerContext {
    /// The context of a process that begins, and the events of its Raft groups, if it is of a fleet.
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

    /// The context of a process that is an instance of no fleet.
    fn without_fleet(config: Rc<ForwarderConfig>, log: Logger) -> Self {
        // Half of the memory is for bodies and messages under way.
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

    /// The Raft groups that replicate the event log; none if the log is a file alone.
    pub fn replication(&self) -> Option<&Rc<RaftHandle>> {
        self.raft
            .as_ref()
            .filter(|raft| raft.replicates_event_logs())
    }

    /// Whether clients' events can be accepted now.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.replication().is_none_or(|raft| raft.accepts_events())
    }

    /// A number for a request that submits an event, larger than all before.
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
