//! Helpers for tests of instances that replicate each other's event logs.

use std::time::Duration;

use crate::{
    wait_until, Answer, Cluster, ClusterOptions, EventRequest, Idempotency, Relay, TargetBehavior,
    TraceRecord,
};

/// Log text of an instance that became the leader of an event log group, and the field that marks a group founded by
/// another instance.
const LED: &str = "event log group led,";
const NOT_OWN: &str = "own: false";

/// Log text of an owner once other replicas have replaced lost ones.
const VOTERS_CHANGED: &str = "event log voters changed";

impl Cluster {
    /// Starts `instances` instances with replication, and waits until all of them accept events.
    pub fn replicated(instances: usize) -> Cluster {
        let mut cluster = Cluster::new(instances, &ClusterOptions::with_replication());
        cluster.start_all();
        (0..instances).for_each(|instance| cluster.wait_until_accepting(instance));
        // A forwarder backs off for a long time after a rejection by a target.
        wait_until("all probe events are completed", || {
            cluster.trace.pending_events().is_empty()
        });
        cluster
    }

    /// Waits until the instance accepts an event.
    pub fn wait_until_accepting(&mut self, instance: usize) {
        let mut number = 0;
        wait_until(&format!("n{instance} accepts events"), || {
            self.restart_if_killed_by_kernel(instance);
            number += 1;
            let id = format!("probe-{instance}-{:.0}-{number}", self.trace.now());
            let probe = EventRequest::new(&id, Idempotency::Idempotent)
                .response_timeout(Duration::from_secs(2));
            self.submit(instance, &probe) == Answer::Accepted
        });
    }

    /// Number of times that the instance logged that it adopted another instance's event log.
    pub fn adoption_count(&self, instance: usize) -> usize {
        let log = self.process(instance).log();
        log.lines()
            .filter(|line| line.contains(LED) && line.contains(NOT_OWN))
            .count()
    }

    /// Waits until another instance has adopted the event log of `lost`, and returns that instance. `before`: the
    /// number of adoptions of each instance before the loss.
    pub fn wait_for_successor(&self, lost: usize, before: &[usize]) -> usize {
        let mut successor = None;
        wait_until(&format!("n{lost} has a successor"), || {
            let others = (0..self.instances.len()).filter(|other| *other != lost);
            successor = others
                .into_iter()
                .find(|other| self.adoption_count(*other) > before[*other]);
            successor.is_some()
        });
        successor.expect("found by the wait")
    }

    /// Waits until the successor has logged a change of the voters of the event log that it adopted last: other
    /// replicas have then replaced the lost ones.
    pub fn wait_for_new_replicas(&self, successor: usize) {
        wait_until(
            &format!("the event log adopted by n{successor} is fully replicated"),
            || {
                let log = self.process(successor).log();
                let mut lines = log.lines().rev();
                let mut voter_changes = Vec::new();
                let adopted = lines.find(|line| {
                    voter_changes.extend(line.contains(VOTERS_CHANGED).then(|| line.to_string()));
                    line.contains(LED) && line.contains(NOT_OWN)
                });
                let group =
                    adopted.and_then(|line| line.split("group: ").nth(1)?.split(',').next());
                let group = group.expect("a successor logs the group").replace('/', "-");
                voter_changes.iter().any(|line| line.contains(&group))
            },
        );
    }

    /// For each instance: how often it has logged a change of the voters of its own event log.
    pub fn replication_counts(&self) -> Vec<usize> {
        let count = |instance: usize| {
            let log = self.process(instance).log();
            let incarnation = log
                .rsplit("incarnation: ")
                .next()
                .and_then(|rest| rest.split(',').next());
            let founder: u64 = incarnation
                .and_then(|digits| digits.parse().ok())
                .expect("the incarnation is logged at the start");
            let own = format!("group: {founder:016x}-");
            log.lines()
                .filter(|line| line.contains(VOTERS_CHANGED) && line.contains(&own))
                .count()
        };
        (0..self.instances.len()).map(count).collect()
    }

    /// Waits until the event logs of all instances except `lost` have new replicas in place of those on `lost`.
    pub fn wait_until_replicas_restored(&self, lost: usize, before: &[usize]) {
        wait_until(
            &format!("replicas are restored after the loss of n{lost}"),
            || {
                let now = self.replication_counts();
                (0..now.len()).all(|instance| instance == lost || now[instance] > before[instance])
            },
        );
    }

    /// Number of adoptions of each instance.
    pub fn adoption_counts(&self) -> Vec<usize> {
        (0..self.instances.len())
            .map(|instance| self.adoption_count(instance))
            .collect()
    }

    /// Sets the behavior of all targets.
    pub fn set_target_behavior(&self, behavior: TargetBehavior) {
        self.targets
            .iter()
            .for_each(|target| target.set_behavior(behavior));
    }

    /// Stalls all links between the instance and the others.
    pub fn isolate(&mut self, instance: usize) {
        self.inject_peer_link_fault(instance, |link: &Relay| link.stall());
    }

    /// Kills the process of an instance and deletes its state, as by the loss of a machine with its disk.
    pub fn lose_machine(&mut self, instance: usize) {
        self.kill(instance);
        self.instances[instance].process.delete_state();
        self.trace.record(TraceRecord::StateLost { instance });
    }
}
