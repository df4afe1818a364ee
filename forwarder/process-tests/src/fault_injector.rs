//! Random fault injection; the same seed produces the same faults.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::{Cluster, Delivery, Direction, Instance, Relay, TargetBehavior};

/// A fault of an instance, which stays active until it is reverted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Killed with SIGKILL.
    Killed,
    /// Killed, with its state deleted. Only with replication.
    MachineLost,
    /// Terminated with SIGTERM.
    Terminated,
    /// Suspended with SIGSTOP.
    Suspended,
    /// The links are stalled.
    Stalled(LinkSet),
    /// The links are stalled in one direction.
    OneWay(LinkSet, Direction),
    /// Connections on the links are reset and refused.
    Reset(LinkSet),
    /// The links are delayed.
    Delayed(LinkSet),
    /// The next chunk on the links is truncated after this number of bytes.
    Truncated(LinkSet, Direction, usize),
    /// Files cannot grow.
    DiskFull,
}

/// The links of an instance that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSet {
    All,
    Clients,
    Targets,
    Discovery,
    Peers,
}

/// Injects random faults into a cluster.
pub struct FaultInjector {
    rng: ChaCha8Rng,
    /// Maximum number of instances with an active fault.
    max_faulty: usize,
    replication: bool,
    faults: Vec<Option<Fault>>,
    /// The replication counts of the instances before the last loss of a machine.
    replication_counts: Vec<usize>,
}

impl FaultInjector {
    /// Creates a fault injector, and prints its seed.
    pub fn new(seed: u64, instances: usize, max_faulty: usize, replication: bool) -> FaultInjector {
        eprintln!("seed {seed}");
        let (rng, faults) = (ChaCha8Rng::seed_from_u64(seed), vec![None; instances]);
        FaultInjector {
            rng,
            max_faulty,
            replication,
            faults,
            replication_counts: Vec::new(),
        }
    }

    /// Injects a fault into a random instance, or reverts its active fault; sometimes changes the behavior of a target.
    pub fn step(&mut self, cluster: &mut Cluster) {
        if self.rng.random_bool(0.4) {
            self.change_target_behavior(cluster);
        }
        let instance = self.rng.random_range(0..self.faults.len());
        let active = self.faults.iter().flatten().count();
        match self.faults[instance] {
            Some(fault) => self.revert(cluster, instance, fault),
            None if active < self.max_faulty => {
                let fault = self.random_fault();
                eprintln!("    n{instance}: {fault:?}");
                if fault == Fault::MachineLost {
                    self.replication_counts = cluster.replication_counts();
                }
                apply(cluster, instance, fault);
                self.faults[instance] = Some(fault);
            }
            None => (),
        }
    }

    /// Reverts all faults, and makes the targets answer again.
    pub fn revert_all(&mut self, cluster: &mut Cluster) {
        for instance in 0..self.faults.len() {
            if let Some(fault) = self.faults[instance] {
                self.revert(cluster, instance, fault);
            }
        }
        cluster.set_target_behavior(TargetBehavior::Respond(Duration::ZERO));
    }

    fn revert(&mut self, cluster: &mut Cluster, instance: usize, fault: Fault) {
        eprintln!("    n{instance}: reverting {fault:?}");
        revert(cluster, instance, fault);
        self.faults[instance] = None;
        if self.replication {
            cluster.wait_until_accepting(instance);
        }
        if fault == Fault::MachineLost {
            // Replicas must be restored before the next machine is lost.
            cluster.wait_until_replicas_restored(instance, &self.replication_counts);
        }
    }

    fn change_target_behavior(&mut self, cluster: &Cluster) {
        let fast = TargetBehavior::Respond(Duration::from_millis(3));
        let slow = TargetBehavior::Respond(Duration::from_millis(150));
        let all = [
            fast,
            fast,
            fast,
            slow,
            TargetBehavior::Reject,
            TargetBehavior::Fail,
            TargetBehavior::Hang,
            TargetBehavior::TruncateResponse,
        ];
        let behavior = *all.choose(&mut self.rng).expect("not empty");
        let target = self.rng.random_range(0..cluster.targets.len());
        eprintln!("    target {target}: {behavior:?}");
        cluster.targets[target].set_behavior(behavior);
    }

    fn random_fault(&mut self) -> Fault {
        let mut links = vec![
            LinkSet::All,
            LinkSet::Clients,
            LinkSet::Targets,
            LinkSet::Discovery,
        ];
        if self.replication {
            // Peer links get more weight than other links.
            links.extend([LinkSet::Peers; 3]);
        }
        let links = *links.choose(&mut self.rng).expect("not empty");
        let direction = if self.rng.random() {
            Direction::Forward
        } else {
            Direction::Back
        };
        let after = self.rng.random_range(0..200);
        let mut all = vec![
            Fault::Killed,
            Fault::Killed,
            Fault::Terminated,
            Fault::Suspended,
            Fault::Suspended,
            Fault::Stalled(links),
            Fault::OneWay(links, direction),
            Fault::Reset(links),
            Fault::Delayed(links),
            Fault::Truncated(links, direction, after),
            Fault::DiskFull,
        ];
        if self.replication {
            all.extend([Fault::MachineLost; 2]);
        }
        *all.choose(&mut self.rng).expect("not empty")
    }
}

fn for_each_link(instance: &Instance, links: LinkSet, fault: impl Fn(&Relay)) {
    match links {
        LinkSet::All => instance.links().chain(&instance.peers).for_each(fault),
        LinkSet::Clients => fault(&instance.clients),
        LinkSet::Targets => instance.targets.iter().for_each(fault),
        LinkSet::Discovery => fault(&instance.discovery),
        LinkSet::Peers => instance.peers.iter().for_each(fault),
    }
}

fn apply(cluster: &mut Cluster, at: usize, fault: Fault) {
    match fault {
        Fault::Killed => cluster.kill(at),
        Fault::MachineLost => cluster.lose_machine(at),
        Fault::Terminated => {
            cluster.mark_impaired(at);
            cluster.process(at).signal(Signal::TERM);
        }
        Fault::Suspended => cluster.suspend(at),
        Fault::Stalled(links) => {
            cluster.inject_link_fault(at, |i| for_each_link(i, links, |link: &Relay| link.stall()))
        }
        Fault::OneWay(links, direction) => cluster.inject_link_fault(at, |i| {
            for_each_link(i, links, |link| {
                link.set_delivery(direction, Delivery::Stalled)
            })
        }),
        Fault::Reset(links) => cluster.inject_link_fault(at, |i| {
            for_each_link(i, links, |link: &Relay| link.reset_and_refuse())
        }),
        Fault::Delayed(links) => cluster.inject_link_fault(at, |i| {
            for_each_link(i, links, |link| link.delay(Duration::from_millis(30)))
        }),
        Fault::Truncated(links, direction, after) => {
            cluster.inject_link_fault(at, |i| {
                for_each_link(i, links, |link| link.truncate_next(direction, after))
            });
        }
        Fault::DiskFull => {
            cluster.mark_impaired(at);
            cluster.process(at).limit_file_size(Some(4_096));
        }
    }
}

fn revert(cluster: &mut Cluster, at: usize, fault: Fault) {
    match fault {
        Fault::Killed | Fault::MachineLost => cluster.start(at),
        Fault::Terminated => {
            cluster.instances[at].process.wait_for_exit();
            cluster.start(at);
        }
        Fault::Suspended => cluster.resume(at),
        Fault::DiskFull => {
            if cluster.instances[at].process.has_exited() {
                cluster.start(at);
            } else {
                cluster.process(at).limit_file_size(None);
                cluster.mark_recovered(at, false);
            }
        }
        Fault::Stalled(_)
        | Fault::OneWay(..)
        | Fault::Reset(_)
        | Fault::Delayed(_)
        | Fault::Truncated(..) => cluster.heal(at),
    }
}
