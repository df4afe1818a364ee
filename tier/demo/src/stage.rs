//! What the demo holds while it plays, and how it is set up.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tempfile::TempDir;

use crate::client::Client;
use crate::configuration::{MODELS, TOOLS};
use crate::fleet::Fleet;
use crate::front::Front;
use crate::layout::{Class, Machine, Network, ZONES};
use crate::narration::Narration;
use crate::tally::Tally;
use crate::target::{self, Runs, Target};
use crate::{heartbeat, DemoError};

/// Targets of each service.
const TARGETS_PER_SERVICE: u8 = 3;

/// Everything that the demo holds while it plays.
pub(crate) struct Stage {
    pub(crate) narration: Narration,
    pub(crate) folder: TempDir,
    pub(crate) cores: Vec<Machine>,
    pub(crate) edges: Vec<Machine>,
    pub(crate) controllers: Arc<[SocketAddr]>,
    pub(crate) fleet: Fleet,
    pub(crate) front: Arc<Front>,
    pub(crate) tally: Arc<Tally>,
    pub(crate) runs: Arc<Runs>,
}

impl Stage {
    /// Starts targets and processes.
    pub(crate) async fn set(program: PathBuf) -> Result<Stage, DemoError> {
        let narration = Narration::begin();
        let network = Network::of_process(std::process::id());
        let folder = tempfile::Builder::new()
            .prefix("plankhill-demo-")
            .tempdir()?;
        let cores = network.machines(Class::Core);
        let stores = network.machines(Class::Storage);
        let edges = network.machines(Class::Edge);
        let controllers: Arc<[SocketAddr]> = cores.iter().map(Machine::admin).collect();
        let runs = Arc::new(Runs::default());
        start_targets(network, &controllers, &runs).await?;
        let mut fleet = Fleet::new(program, folder.path().to_owned(), controllers.to_vec());
        fleet.bootstrap(&cores)?;
        fleet.bootstrap(&stores)?;
        fleet.bootstrap(&edges)?;
        narration
            .say("started 3 controllers, 3 stores, 3 agents and 3 proxies, and 6 stand-in targets");
        let front = Front::new(&edges);
        front.watch();
        let tally = Arc::new(Tally::default());
        Ok(Stage {
            narration,
            folder,
            cores,
            edges,
            controllers,
            fleet,
            front,
            tally,
            runs,
        })
    }

    /// A client of the tier.
    pub(crate) fn client(&self, place: usize) -> Client {
        Client {
            front: self.front.clone(),
            tally: self.tally.clone(),
            place,
        }
    }

    /// The error that something awaited did not happen; the logs are kept.
    pub(crate) fn too_late(&mut self, what: &'static str, seconds: u64) -> DemoError {
        self.keep_logs_unless(false);
        DemoError::TooLate {
            what,
            seconds,
            logs: self.folder.path().to_owned(),
        }
    }

    /// Keeps settings, data and logs unless all went well.
    pub(crate) fn keep_logs_unless(&mut self, all_went_well: bool) {
        if !all_went_well {
            self.folder.disable_cleanup(true);
            self.narration.say(&format!(
                "settings, data and logs are kept in {}",
                self.folder.path().display()
            ));
        }
    }
}

async fn start_targets(
    network: Network,
    controllers: &Arc<[SocketAddr]>,
    runs: &Arc<Runs>,
) -> Result<(), DemoError> {
    for (group, service) in (0..).zip([MODELS, TOOLS]) {
        for (place, zone) in (0..TARGETS_PER_SERVICE).zip(ZONES) {
            let address = network.target(group * TARGETS_PER_SERVICE + place);
            let id = format!("i-{service}-{place}");
            let target = Arc::new(Target {
                id,
                service,
                zone,
                address,
                runs: runs.clone(),
            });
            target::serve(target.clone()).await?;
            tokio::spawn(heartbeat::keep_up(target, controllers.clone()));
        }
    }
    Ok(())
}
