//! The state of a running demo, and its start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tempfile::TempDir;

use crate::client::Client;
use crate::configuration::{MODELS, TOOLS};
use crate::counts::SharedCounts;
use crate::fleet::Fleet;
use crate::layout::{Class, Machine, Network, ZONES};
use crate::load_balancer::LoadBalancer;
use crate::progress_printer::ProgressPrinter;
use crate::target::{self, Executions, Target};
use crate::{heartbeat, DemoError};

/// Targets of each service.
const TARGETS_PER_SERVICE: u8 = 3;

/// A running demo. Dropping it kills the processes and removes their folder.
pub(crate) struct DemoRun {
    pub(crate) progress: ProgressPrinter,
    pub(crate) folder: TempDir,
    pub(crate) cores: Vec<Machine>,
    pub(crate) edges: Vec<Machine>,
    pub(crate) controllers: Arc<[SocketAddr]>,
    pub(crate) fleet: Fleet,
    pub(crate) load_balancer: Arc<LoadBalancer>,
    pub(crate) counts: Arc<SharedCounts>,
    pub(crate) executions: Arc<Executions>,
}

impl DemoRun {
    /// Starts targets and processes.
    pub(crate) async fn start(program: PathBuf) -> Result<DemoRun, DemoError> {
        let progress = ProgressPrinter::start();
        let network = Network::of_process(std::process::id());
        let folder = tempfile::Builder::new()
            .prefix("plankhill-demo-")
            .tempdir()?;
        let cores = network.machines(Class::Core);
        let stores = network.machines(Class::Storage);
        let edges = network.machines(Class::Edge);
        let controllers: Arc<[SocketAddr]> = cores.iter().map(Machine::admin).collect();
        let executions = Arc::new(Executions::default());
        start_targets(network, &controllers, &executions).await?;
        let mut fleet = Fleet::new(program, folder.path().to_owned(), controllers.to_vec());
        fleet.bootstrap(&cores)?;
        fleet.bootstrap(&stores)?;
        fleet.bootstrap(&edges)?;
        progress.print(
            "started 3 controllers, 3 stores, 3 agents and 3 proxies, and 6 stand-in targets",
        );
        let load_balancer = LoadBalancer::new(&edges);
        load_balancer.start_health_checks();
        let counts = Arc::new(SharedCounts::default());
        Ok(DemoRun {
            progress,
            folder,
            cores,
            edges,
            controllers,
            fleet,
            load_balancer,
            counts,
            executions,
        })
    }

    /// A client of the tier.
    pub(crate) fn client(&self, index: usize) -> Client {
        Client {
            load_balancer: self.load_balancer.clone(),
            counts: self.counts.clone(),
            index,
        }
    }

    /// The error of a wait that took too long; the logs are kept.
    pub(crate) fn timed_out(&mut self, what: &'static str, seconds: u64) -> DemoError {
        self.keep_logs();
        DemoError::TimedOut {
            what,
            seconds,
            logs: self.folder.path().to_owned(),
        }
    }

    /// Keeps settings, data and logs when the demo ends.
    pub(crate) fn keep_logs(&mut self) {
        self.folder.disable_cleanup(true);
        let folder = self.folder.path().display();
        let line = format!("settings, data and logs are kept in {folder}");
        self.progress.print(&line);
    }
}

async fn start_targets(
    network: Network,
    controllers: &Arc<[SocketAddr]>,
    executions: &Arc<Executions>,
) -> Result<(), DemoError> {
    for (group, service) in (0..).zip([MODELS, TOOLS]) {
        for (index, zone) in (0..TARGETS_PER_SERVICE).zip(ZONES) {
            let address = network.target(group * TARGETS_PER_SERVICE + index);
            let id = format!("i-{service}-{index}");
            let target = Arc::new(Target {
                id,
                service,
                zone,
                address,
                executions: executions.clone(),
            });
            target::serve(target.clone()).await?;
            tokio::spawn(heartbeat::send_heartbeats(target, controllers.clone()));
        }
    }
    Ok(())
}
