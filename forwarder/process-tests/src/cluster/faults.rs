//! Fault injection on instances and their links.

use super::{Cluster, Instance};
use crate::trace::TraceRecord;
use crate::Relay;

impl Cluster {
    /// Records that the instance may miss messages from now on; called before each fault on its process or links.
    pub fn mark_impaired(&mut self, instance: usize) {
        if !std::mem::replace(&mut self.instances[instance].is_impaired, true) {
            self.trace.record(TraceRecord::Impaired { instance });
        }
    }

    /// Records that the instance is no longer impaired; `is_new_process` if its process was restarted.
    pub fn mark_recovered(&mut self, instance: usize, is_new_process: bool) {
        if std::mem::replace(&mut self.instances[instance].is_impaired, false) {
            self.trace.record(TraceRecord::Recovered {
                instance,
                is_new_process,
            });
        }
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, instance: usize) {
        self.mark_impaired(instance);
        self.instances[instance].process.kill();
    }

    /// Suspends the process of an instance.
    pub fn suspend(&mut self, instance: usize) {
        self.mark_impaired(instance);
        self.instances[instance].process.suspend();
    }

    /// Resumes an instance, or restarts it if its process has exited, as a process does that was suspended for too
    /// long.
    pub fn resume(&mut self, instance: usize) {
        if self.instances[instance].process.has_exited() {
            return self.start(instance);
        }
        self.instances[instance].process.resume();
        self.mark_recovered(instance, false);
    }

    /// Injects a fault into links of the instance, which counts as impaired from now on.
    pub fn inject_link_fault(&mut self, instance: usize, fault: impl FnOnce(&Instance)) {
        self.mark_impaired(instance);
        fault(&self.instances[instance]);
    }

    /// Removes the faults from all links of the instance. Connections that were reset stay closed.
    pub fn heal(&mut self, instance: usize) {
        let healed = &self.instances[instance];
        healed
            .links()
            .chain(&healed.peers)
            .for_each(|link: &Relay| link.heal());
        for other in 0..self.instances.len() {
            if other != instance {
                self.instances[other].peers[..]
                    .get(peer_index(other, instance))
                    .into_iter()
                    .for_each(|link: &Relay| link.heal());
            }
        }
        if !self.instances[instance].process.has_exited() {
            return self.mark_recovered(instance, false);
        }
        // The process was killed because it was isolated or suspended for too long.
        self.start(instance);
    }

    /// Injects a fault into all links between the instance and the others, in both directions.
    pub fn inject_peer_link_fault(&mut self, instance: usize, fault: impl Fn(&Relay)) {
        self.inject_link_fault(instance, |instance| instance.peers.iter().for_each(&fault));
        for other in (0..self.instances.len()).filter(|other| *other != instance) {
            self.instances[other]
                .peers
                .get(peer_index(other, instance))
                .into_iter()
                .for_each(&fault);
        }
    }
}

/// The index of the link to `instance` in the peers of `other`.
fn peer_index(other: usize, instance: usize) -> usize {
    if instance < other {
        instance
    } else {
        instance - 1
    }
}
