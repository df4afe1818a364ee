//! A test cluster: instances, targets and discovery, with a relay on every link between them.

mod faults;

use std::net::SocketAddr;

use crate::clients::{self, Answer, EventRequest};
use crate::load::Load;
use crate::process::Process;
use crate::reserved_address::ReservedAddress;
use crate::trace::{Idempotency, Trace, TraceRecord};
use crate::{find_violations, wait_until, ClusterOptions, Discovery, Relay, Target};

/// One instance: its process and its links.
pub struct Instance {
    pub process: Process,
    /// From clients to the instance.
    pub clients: Relay,
    /// From the instance to its discovery agent.
    pub discovery: Relay,
    /// From the instance to each target.
    pub targets: Vec<Relay>,
    /// From the instance to each other instance, in order; empty if the instances form no fleet.
    pub peers: Vec<Relay>,
    is_impaired: bool,
    /// Addresses at which the process listens for clients and for other instances.
    pub listen_addresses: [ReservedAddress; 2],
}

/// Instances, targets and discovery of a test, and the trace of what happened.
pub struct Cluster {
    pub trace: Trace,
    // Dropped before `discovery` and `targets`, so that the processes end before their peers.
    pub instances: Vec<Instance>,
    pub discovery: Discovery,
    pub targets: Vec<Target>,
    /// With replication: time after an impairment of a forwarder within which its events may end late, in
    /// milliseconds.
    pub takeover_timeout_ms: Option<f64>,
}

/// Time within which a successor has taken over the pending events of a lost forwarder, on a busy machine, in
/// milliseconds.
const TAKEOVER_TIMEOUT_MS: f64 = 20_000.0;

fn name(instance: usize) -> String {
    format!("n{instance}")
}

/// Writes the fleet file of an instance, with its own listen address and relays to the others; returns the relays.
fn write_fleet_file(
    process: &mut Process,
    options: &ClusterOptions,
    number: usize,
    peer_addresses: &[SocketAddr],
) -> Vec<Relay> {
    let (mut peers, mut addresses) = (Vec::new(), Vec::new());
    for (other, address) in peer_addresses.iter().enumerate() {
        if other == number {
            addresses.push(*address);
        } else {
            peers.push(Relay::to(*address));
            addresses.extend(peers.last().map(Relay::address));
        }
    }
    process.write_file("fleet.toml", &options.fleet_file(&addresses));
    if let Some(policy) = &options.quota_policy {
        process.write_file("pools.policy", policy);
        if number == 0 {
            process.set_env("PROXY_FLEET_FOUND", "yes".into());
        }
    }
    process.set_env(
        "PROXY_FLEET",
        process.directory().join("fleet.toml").display().to_string(),
    );
    if !options.fanout.is_empty() && number == 0 {
        process.set_env("PROXY_FLEET_FOUND", "yes".into());
    }
    peers
}

impl Instance {
    /// All links of the instance except those to other instances.
    pub fn links(&self) -> impl Iterator<Item = &Relay> {
        self.targets.iter().chain([&self.clients, &self.discovery])
    }
}

impl Cluster {
    /// Creates `instances` instances without starting them, and two targets that serve the same destination.
    pub fn new(instances: usize, options: &ClusterOptions) -> Cluster {
        let trace = Trace::default();
        let targets: Vec<Target> = (0..2)
            .map(|number| Target::new(number, instances, &trace))
            .collect();
        let links = |instance| {
            targets
                .iter()
                .map(|target| Relay::to(target.address_for(instance)))
                .collect()
        };
        let links: Vec<Vec<Relay>> = (0..instances).map(links).collect();
        let target_addresses =
            |target: usize| links.iter().map(|links| links[target].address()).collect();
        // With broadcasts, each target serves a separate destination.
        let destination = |target: usize| {
            if options.fanout.is_empty() {
                1
            } else {
                1 + target as u64
            }
        };
        let listed = (0..targets.len())
            .map(|target| (destination(target), target_addresses(target)))
            .collect();
        let discovery = Discovery::new(instances, listed, &trace);
        let listen_addresses: Vec<[ReservedAddress; 2]> = (0..instances)
            .map(|_| [ReservedAddress::reserve(), ReservedAddress::reserve()])
            .collect();
        let peer_addresses: Vec<SocketAddr> = listen_addresses
            .iter()
            .map(|[_, peer]| peer.address)
            .collect();
        let addresses = links.into_iter().zip(listen_addresses).enumerate();
        let instances = addresses.map(|(number, (targets, listen_addresses))| {
            let clients = Relay::to(listen_addresses[0].address);
            let to_discovery = Relay::to(discovery.address_for(number));
            let mut process = Process::new(&name(number));
            let known_targets = discovery.list_for(number);
            let config = options.config(
                &process.name,
                listen_addresses[0].address,
                to_discovery.address(),
                known_targets,
            );
            process.write_file("config.json", &config.to_string());
            process.set_env(
                "PROXY_CONFIG",
                process
                    .directory()
                    .join("config.json")
                    .display()
                    .to_string(),
            );
            let peers = if options.has_fleet_file() {
                write_fleet_file(&mut process, options, number, &peer_addresses)
            } else {
                Vec::new()
            };
            Instance {
                process,
                clients,
                discovery: to_discovery,
                targets,
                peers,
                is_impaired: false,
                listen_addresses,
            }
        });
        let takeover_timeout_ms = options.replication.then_some(TAKEOVER_TIMEOUT_MS);
        Cluster {
            trace,
            instances: instances.collect(),
            discovery,
            targets,
            takeover_timeout_ms,
        }
    }

    /// Starts a cluster with default options and waits until all instances are ready.
    pub fn started(instances: usize) -> Cluster {
        let mut cluster = Cluster::new(instances, &ClusterOptions::default());
        cluster.start_all();
        cluster
    }

    /// Starts all instances and waits until they are ready.
    pub fn start_all(&mut self) {
        let addresses: Vec<usize> = (0..self.instances.len()).collect();
        self.start_instances(&addresses);
    }

    /// Launches all of `instances` before waiting for any of them: a single one may lack a quorum of replicas.
    pub fn start_instances(&mut self, instances: &[usize]) {
        instances.iter().for_each(|instance| self.launch(*instance));
        instances
            .iter()
            .for_each(|instance| self.wait_until_ready(*instance));
    }

    /// Starts the process of an instance without waiting for it.
    pub fn launch(&mut self, instance: usize) {
        self.instances[instance].process.start();
    }

    /// Waits until the instance reports that it accepts events.
    pub fn wait_until_ready(&mut self, instance: usize) {
        let to = self.instances[instance].clients.address();
        wait_until(&format!("n{instance} is ready"), || {
            self.restart_if_killed_by_kernel(instance);
            clients::get(to, "/up") == Some(200)
        });
        self.mark_recovered(instance, true);
    }

    /// Restarts the instance if the kernel killed its process.
    pub fn restart_if_killed_by_kernel(&mut self, instance: usize) {
        let Some(killed_at) = self.instances[instance].process.take_kernel_kill_time() else {
            return;
        };
        if !std::mem::replace(&mut self.instances[instance].is_impaired, true) {
            self.trace.record_at(
                self.trace.time_of(killed_at),
                TraceRecord::Impaired { instance },
            );
        }
        self.launch(instance);
    }

    /// Starts an instance and waits until it is ready.
    pub fn start(&mut self, instance: usize) {
        self.launch(instance);
        self.wait_until_ready(instance);
    }

    /// The process of an instance.
    pub fn process(&self, instance: usize) -> &Process {
        &self.instances[instance].process
    }

    /// The address at which clients reach an instance.
    pub fn address(&self, instance: usize) -> SocketAddr {
        self.instances[instance].clients.address()
    }

    /// Submits an event to an instance.
    pub fn submit(&self, instance: usize, request: &EventRequest) -> Answer {
        clients::submit(&self.trace, instance, self.address(instance), request)
    }

    /// Submits an event, and fails the test unless the event is accepted.
    pub fn submit_accepted(&self, instance: usize, request: &EventRequest) {
        assert_eq!(
            self.submit(instance, request),
            Answer::Accepted,
            "{}",
            request.id
        );
    }

    /// Waits until the targets have received at least `times` complete calls of the event.
    pub fn wait_for_calls(&self, id: &str, times: usize) {
        wait_until(&format!("{times} calls of {id}"), || {
            self.trace.call_count(id) >= times
        });
    }

    /// Waits until discovery has received a notification of the event.
    pub fn wait_for_notification(&self, id: &str) {
        wait_until(&format!("a notification of {id}"), || {
            self.trace.has_notification(id)
        });
    }

    /// Submits a non-idempotent event `b`, a deduplicated one `f` and an idempotent one `r`, and waits until a call of
    /// each is in flight.
    pub fn submit_one_of_each_idempotency(&self, instance: usize) {
        for (idempotency, id) in [
            (Idempotency::NonIdempotent, "b"),
            (Idempotency::Deduplicated, "f"),
            (Idempotency::Idempotent, "r"),
        ] {
            self.submit_accepted(instance, &EventRequest::new(id, idempotency));
            self.wait_for_calls(id, 1);
        }
    }

    /// Checks the three events after a failure, when each may have been executed: the non-idempotent one has a
    /// notification and is not sent again, the others are.
    pub fn check_resends_by_idempotency(&mut self) {
        self.wait_for_notification("b");
        self.wait_for_calls("f", 2);
        self.wait_for_calls("r", 2);
        self.check_invariants();
        assert_eq!(self.trace.call_count("b"), 1);
    }

    /// Starts clients that submit events until the load is stopped.
    pub fn load(&self, seed: u64, clients: usize) -> Load {
        let addresses: Vec<SocketAddr> = (0..self.instances.len())
            .map(|instance| self.address(instance))
            .collect();
        Load::start(&self.trace, &addresses, seed, clients)
    }

    /// Waits until all accepted events are completed, and fails the test if an invariant is violated.
    pub fn check_invariants(&mut self) {
        wait_until("all accepted events are completed", || {
            (0..self.instances.len())
                .for_each(|instance| self.restart_if_killed_by_kernel(instance));
            self.trace.pending_events().is_empty()
        });
        let violations = find_violations(&self.trace, self.takeover_timeout_ms);
        assert!(
            violations.is_empty(),
            "{} invariant violations",
            violations.len()
        );
    }
}
