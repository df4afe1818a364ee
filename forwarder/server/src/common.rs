//! What every actor is given.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use plankhill_buffer_pool::Pool;
use plankhill_forwarder_config::fields::Plain;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_raft_groups::GroupEventStream;
use slog::{o, Drain, Logger};

use crate::budgets::Budgets;
use crate::clock::Clock;
use crate::exchange::MESSAGE;
use crate::fanout::FanOut;
use crate::gate::Gate;
use crate::ground::Ground;
use crate::passes::Passes;

#[derive(Clone)]
pub struct Common {
    pub executor: Rc<LocalExecutor<'static>>,
    pub pool: Pool,
    pub clock: Clock,
    pub log: Logger,
    pub told: Rc<ForwarderConfig>,
    /// Where discovery is: the file of the configuration may name another address while we run.
    pub discovery: Rc<Cell<SocketAddr>>,
    /// Whether clients are to come.
    pub gate: Rc<Gate>,
    /// Whether this process decides, can write down what it takes on, and knows where to deliver it.
    pub ready: Rc<Cell<bool>>,
    /// Clients' connections.
    pub clients: Rc<Cell<usize>>,
    /// Descriptors that the process it took over from still holds.
    pub aside: Rc<Cell<usize>>,
    /// Of the last request that handed in an event.
    pub numbers: Rc<Cell<u64>>,
    /// To the process that takes over.
    pub passes: Rc<Passes>,
    /// The fleet that it is an instance of, if it is of one.
    pub ground: Option<Rc<Ground>>,
    /// Its part in broadcasts, where the fleet file has lists.
    pub fanout: Option<Rc<FanOut>>,
    /// Parts of budgets of connections, where the fleet file names a policy.
    pub budgets: Option<Rc<Budgets>>,
}

impl Common {
    /// Of a process that begins, and what its fleet says, if it is of one.
    pub fn start(told: ForwarderConfig) -> Plain<(Self, Option<GroupEventStream>)> {
        let told = Rc::new(told);
        let decorator = slog_term::PlainSyncDecorator::new(std::io::stdout());
        let drain = slog_term::FullFormat::new(decorator)
            .use_utc_timestamp()
            .build();
        let log = Logger::root(
            drain.filter_level(told.log_level).ignore_res(),
            o!("name" => told.name.clone()),
        );
        let fleet = Ground::start(&told, &log)?;
        let (ground, news) = fleet.map_or((None, None), |(ground, news)| {
            (Some(Rc::new(ground)), Some(news))
        });
        let mut common = Common::alone(told, log);
        let part = ground.as_ref().zip(common.told.fanout.clone());
        let fanout = part.map(|(ground, layout)| {
            FanOut::new(common.clock.clone(), ground.incarnation(), layout)
        });
        let grace = |ground: &Rc<Ground>| (ground.incarnation(), ground.stall);
        let budgets = ground.as_ref().map(grace);
        let budgets = budgets.and_then(|(who, grace)| Budgets::start(&common.told, who, grace));
        (common.ground, common.fanout, common.budgets) = (ground, fanout, budgets);
        Ok((common, news))
    }

    /// Of a process that is an instance of no fleet.
    fn alone(told: Rc<ForwarderConfig>, log: Logger) -> Self {
        Common {
            executor: Rc::new(LocalExecutor::new()),
            // Half of the memory is for bodies and messages under way.
            pool: Pool::new(MESSAGE, (told.max_memory_bytes / 2) as usize / MESSAGE),
            clock: Clock::start(),
            log,
            discovery: Rc::new(Cell::new(told.discovery_address)),
            gate: Rc::default(),
            ready: Rc::default(),
            clients: Rc::default(),
            aside: Rc::default(),
            numbers: Rc::default(),
            passes: Rc::default(),
            ground: None,
            fanout: None,
            budgets: None,
            told,
        }
    }

    /// Where copies of what it takes on are kept; none: in its folder alone.
    pub fn copies(&self) -> Option<&Rc<Ground>> {
        self.ground.as_ref().filter(|ground| ground.copies)
    }

    /// Whether clients' events can be taken now.
    pub fn is_ready(&self) -> bool {
        self.ready.get() && self.copies().is_none_or(|ground| ground.takes())
    }

    pub fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }
}

#[cfg(test)]
pub mod tests;
