//! The run itself.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use plankhill_demo::configuration;
use plankhill_demo::control_plane::{send, Order};
use plankhill_demo::fleet::Fleet;
use plankhill_demo::layout::{Class, Machine, Network, PORT_RANGE};
use plankhill_protocol::ports::PortRange;
use plankhill_protocol::tables::Tables;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::agents::Agents;
use crate::measure::{measure, RealProcess};
use crate::report::{ScaleReport, Times};
use crate::targets::Targets;
use crate::{ScaleError, ScaleOptions};

/// Longest wait for anything, in seconds.
const LIMIT_SECONDS: u64 = 90;
const LIMIT: Duration = Duration::from_secs(LIMIT_SECONDS);
/// Until what was just started has come to rest; no longer than a phase is measured.
const REST: Duration = Duration::from_secs(3);

/// Plays the run. Must not be called inside a runtime.
///
/// # Errors
/// If the processes cannot be started, or something does not happen in time.
pub fn run(options: &ScaleOptions) -> Result<ScaleReport, ScaleError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(options))
}

async fn play(options: &ScaleOptions) -> Result<ScaleReport, ScaleError> {
    let network = Network::of_process(std::process::id());
    let folder = tempfile::Builder::new().prefix("plankhill-scale-").tempdir()?;
    let (cores, edges) = (network.machines(Class::Core), network.machines(Class::Edge));
    let admin: Vec<SocketAddr> = cores.iter().map(Machine::admin).collect();
    let mut fleet = Fleet::new(options.program.clone(), folder.path().to_owned(), admin.clone());
    fleet.bootstrap(&cores)?;
    fleet.bootstrap(&edges)?;
    let processes: Vec<RealProcess> =
        fleet.running_processes().into_iter().map(|(name, pid)| RealProcess { name, pid }).collect();
    put_configuration(&admin, 0, 1).await?;
    let ports = PortRange { first: PORT_RANGE.0 };
    let internal = cores.iter().map(|core| ports.controller(core.ip)).collect();
    let mut agents = Agents::start(options.agents, internal);
    let (all_edges, all_targets) = (options.agents + edges.len(), options.targets);
    let since = Instant::now();
    hold(&agents, since, "all forwarders", move |tables| tables.edges.len() >= all_edges).await?;
    tokio::time::sleep(REST.min(options.window)).await;
    let quiet = measure(&processes, options.window).await;
    let targets = Targets::start(options.targets, &admin);
    hold(&agents, since, "all targets", move |tables| tables.targets.len() >= all_targets).await?;
    tokio::time::sleep(REST.min(options.window)).await;
    let acknowledged = targets.acknowledged();
    let beating = measure(&processes, options.window).await;
    let heartbeats = (targets.acknowledged() - acknowledged) as f64 / options.window.as_secs_f64();
    let in_force = change_configurations(&admin, &agents, options.changes).await?;
    let since = Instant::now();
    agents.lose(options.lost);
    let left = all_edges - options.lost;
    let agents_lost =
        hold(&agents, since, "the loss of forwarders", move |tables| tables.edges.len() <= left).await?;
    let since = Instant::now();
    targets.lose(options.lost);
    let left = options.targets - options.lost;
    let targets_lost =
        hold(&agents, since, "the loss of targets", move |tables| tables.targets.len() <= left).await?;
    fleet.stop().await;
    Ok(ScaleReport {
        agents: options.agents,
        targets: options.targets,
        quiet,
        beating,
        heartbeats_a_second: heartbeats,
        in_force,
        lost: options.lost,
        agents_lost,
        targets_lost,
    })
}

async fn hold(
    agents: &Agents,
    since: Instant,
    what: &'static str,
    fits: impl Fn(&Tables) -> bool + Copy + 'static,
) -> Result<Times, ScaleError> {
    let times = agents.all_hold(since, LIMIT, fits).await;
    times.map(Times).ok_or(ScaleError::TooLate { what, seconds: LIMIT_SECONDS })
}

/// Changes the configuration so many times; how long each forwarder took to have each of them.
async fn change_configurations(
    admin: &[SocketAddr],
    agents: &Agents,
    changes: u64,
) -> Result<Times, ScaleError> {
    let mut all = Vec::new();
    for version in 2..2 + changes {
        put_configuration(admin, version - 1, version).await?;
        let since = Instant::now();
        let times = hold(agents, since, "a configuration in force", move |tables| {
            tables.configuration.as_ref().is_some_and(|current| current.version >= version)
        });
        all.extend(times.await?.0);
    }
    Ok(Times(all))
}

async fn put_configuration(admin: &[SocketAddr], base: u64, version: u64) -> Result<(), ScaleError> {
    let mut document = configuration::first();
    document["version"] = json!(version);
    let order = Order::configuration(base, &document);
    match send(admin, 0, &order, LIMIT).await {
        Some(answer) if answer.status == StatusCode::OK => Ok(()),
        _ => Err(ScaleError::TooLate {
            what: "the acknowledgement of a configuration",
            seconds: LIMIT_SECONDS,
        }),
    }
}
