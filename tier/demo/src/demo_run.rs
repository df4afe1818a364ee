//! State and start of a running demo.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tempfile::TempDir;

use crate::client::Client;
use crate::configuration::{MODEL_SERVICE, TOOL_SERVICE};
use crate::counts::SharedCounts;
use crate::fleet::Fleet;
use crate::layout::{Machine, MachineClass, Network, ZONES};
use crate::load_balancer::LoadBalancer;
use crate::progress_printer::ProgressPrinter;
use crate::target::{self, Executions, Target};
use crate::{heartbeat, DemoError};

/// Number of targets of each service.
const TARGETS_PER_SERVICE: u8 = 3;

/// A running demo. Dropping a `DemoRun` kills the processes, and removes the working directory
/// unless [`DemoRun::keep_logs`] was called.
pub(crate) struct DemoRun {
    pub(crate) progress: ProgressPrinter,
    pub(crate) work_dir: TempDir,
    pub(crate) cores: Vec<Machine>,
    pub(crate) edges: Vec<Machine>,
    pub(crate) controllers: Arc<[SocketAddr]>,
    pub(crate) fleet: Fleet,
    pub(crate) load_balancer: Arc<LoadBalancer>,
    pub(crate) counts: Arc<SharedCounts>,
    pub(crate) executions: Arc<Executions>,
}

impl DemoRun {
    /// Starts the targets, the processes of the tier and the load balancer's health checks.
    pub(crate) async fn start(executable: PathBuf) -> Result<DemoRun, DemoError> {
        let progress = ProgressPrinter::start();
        let network = Network::of_process(std::process::id());
        let work_dir = tempfile::Builder::new()
            .prefix("plankhill-demo-")
            .tempdir()?;
        let cores = network.machines(MachineClass::Core);
        let stores = network.machines(MachineClass::Storage);
        let edges = network.machines(MachineClass::Edge);
        let controllers: Arc<[SocketAddr]> = cores.iter().map(Machine::admin_address).collect();
        let executions = Arc::new(Executions::default());
        start_targets(network, &controllers, &executions).await?;
        let mut fleet = Fleet::new(executable, work_dir.path().to_owned(), controllers.to_vec());
        fleet.bootstrap(&cores)?;
        fleet.bootstrap(&stores)?;
        fleet.bootstrap(&edges)?;
        progress
            .print("started 3 controllers, 3 stores, 3 agents and 3 proxies, and 6 stub targets");
        let load_balancer = LoadBalancer::new(&edges);
        load_balancer.start_health_checks();
        let counts = Arc::new(SharedCounts::default());
        Ok(DemoRun {
            progress,
            work_dir,
            cores,
            edges,
            controllers,
            fleet,
            load_balancer,
            counts,
            executions,
        })
    }

    /// Creates the client with index `index`.
    pub(crate) fn client(&self, index: usize) -> Client {
        Client {
            load_balancer: self.load_balancer.clone(),
            counts: self.counts.clone(),
            index,
        }
    }

    /// Keeps the logs and returns the error for a wait for `awaited` that exceeded `seconds`.
    pub(crate) fn timed_out(&mut self, awaited: &'static str, seconds: u64) -> DemoError {
        self.keep_logs();
        DemoError::TimedOut {
            awaited,
            seconds,
            logs: self.work_dir.path().to_owned(),
        }
    }

    /// Keeps settings, data and logs after the demo ends, and prints their directory.
    pub(crate) fn keep_logs(&mut self) {
        self.work_dir.disable_cleanup(true);
        let work_dir = self.work_dir.path().display();
        let line = format!("settings, data and logs are kept in {work_dir}");
        self.progress.print(&line);
    }
}

async fn start_targets(
    network: Network,
    controllers: &Arc<[SocketAddr]>,
    executions: &Arc<Executions>,
) -> Result<(), DemoError> {
    for (service_index, service) in (0..).zip([MODEL_SERVICE, TOOL_SERVICE]) {
        for (index, zone) in (0..TARGETS_PER_SERVICE).zip(ZONES) {
            let address = network.target_address(service_index * TARGETS_PER_SERVICE + index);
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
