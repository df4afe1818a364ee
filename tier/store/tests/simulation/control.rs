//! A simulated control plane, which publishes a sequence of views.

use std::rc::Rc;

use plankhill_protocol::ids::{NodeId, StoreEpoch};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::{milliseconds, SeededBug, World};

impl World {
    /// Publishes the first view, which contains all machines.
    pub fn publish_first_view(self: &Rc<Self>) {
        let serving = self.desired_members();
        let faults = if self.bug == SeededBug::NoSpareReplicas {
            0
        } else {
            self.tolerated_faults
        };
        *self.view.borrow_mut() = StoreView {
            epoch: StoreEpoch(1),
            serving,
            next: None,
            tolerated_faults: faults,
        };
        self.publish_view();
    }

    /// The desired set of stores: the current entries of all machines that are not being retired.
    fn desired_members(&self) -> Vec<StoreMember> {
        let retired = self.retired.borrow();
        let machines = self.machines.borrow();
        let members = machines.values().map(|machine| machine.member.clone());
        members
            .filter(|member| !retired.contains(&member.node))
            .collect()
    }

    /// Changes the view as needed until the simulation ends.
    pub async fn run_control_plane(self: Rc<Self>) {
        while !self.ended.get() {
            tokio::time::sleep(milliseconds(20)).await;
            if let Some(view) = self.next_view() {
                *self.view.borrow_mut() = view;
                self.publish_view();
            }
            if self.random_bool(20) {
                self.publish_view();
            }
            self.remove_retired();
        }
    }

    fn next_view(&self) -> Option<StoreView> {
        let view = self.view.borrow().clone();
        let epoch = StoreEpoch(view.epoch.0 + 1);
        let desired = self.desired_members();
        match &view.next {
            Some(next) if *next == desired => {
                let copied = next.iter().all(|member| self.has_copied(member, &view));
                let switches = copied || self.bug == SeededBug::SwitchesBeforeTransfer;
                switches.then_some(StoreView {
                    epoch,
                    serving: desired,
                    next: None,
                    ..view
                })
            }
            None if view.serving == desired => None,
            _ => Some(StoreView {
                epoch,
                next: Some(desired),
                ..view
            }),
        }
    }

    fn has_copied(&self, member: &StoreMember, view: &StoreView) -> bool {
        let machines = self.machines.borrow();
        let Some(machine) = machines.get(&member.node) else {
            return false;
        };
        let reached = !self
            .network
            .borrow()
            .outbound_blocked
            .contains(&member.node);
        let copied = machine
            .node()
            .and_then(|node| *node.transferred_epoch().borrow());
        reached && machine.member == *member && copied == Some(view.epoch)
    }

    /// Sends the view to all stores, each after a random delay.
    pub fn publish_view(self: &Rc<Self>) {
        for node in self.nodes() {
            let (world, view) = (self.clone(), self.view.borrow().clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(milliseconds(world.random_range(2..80))).await;
                world.deliver_view(&node, &view);
            });
        }
    }

    fn deliver_view(self: &Rc<Self>, node: &NodeId, view: &StoreView) {
        let is_blocked = {
            let network = self.network.borrow();
            network.inbound_blocked.contains(node) || network.control_blocked.contains(node)
        };
        let machines = self.machines.borrow();
        let Some(machine) = machines.get(node) else {
            return;
        };
        let frozen = machine
            .frozen_until
            .is_some_and(|until| until > tokio::time::Instant::now());
        if let Some(running) = machine.node().filter(|_| !is_blocked && !frozen) {
            // Run inside the machine's process, so that the tasks of the view end with the process.
            let view = view.clone();
            machine.spawn_in_process(async move { running.install_view(&view) });
        }
    }

    /// Removes, with their disks, the retired machines that are no longer in a set of the view.
    fn remove_retired(&self) {
        if self.retains_retired.get() {
            return;
        }
        let view = self.view.borrow().clone();
        let is_in_view = |node: &NodeId| {
            let mut members = view.serving.iter().chain(view.next.iter().flatten());
            members.any(|member| member.node == *node)
        };
        let removable: Vec<NodeId> = self
            .retired
            .borrow()
            .iter()
            .filter(|node| !is_in_view(node))
            .cloned()
            .collect();
        for node in &removable {
            self.remove(node);
        }
    }
}
