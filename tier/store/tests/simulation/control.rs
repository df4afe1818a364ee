//! The control plane as far as stores see it: one view after the other.

use std::rc::Rc;

use plankhill_protocol::ids::{NodeId, StoreEpoch};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::{milliseconds, Plant, World};

impl World {
    /// The first view: all machines that are there.
    pub fn found(self: &Rc<Self>) {
        let serving = self.wanted();
        let faults = if self.plant == Plant::NoSpareCopies {
            0
        } else {
            self.faults
        };
        *self.view.borrow_mut() = StoreView {
            epoch: StoreEpoch(1),
            serving,
            next: None,
            tolerated_faults: faults,
        };
        self.spread();
    }

    /// The stores that are to serve: all that are not to be retired, each as it is now.
    fn wanted(&self) -> Vec<StoreMember> {
        let retired = self.retired.borrow();
        let machines = self.machines.borrow();
        let members = machines.values().map(|machine| machine.member.clone());
        members
            .filter(|member| !retired.contains(&member.node))
            .collect()
    }

    /// Changes views as needed, for as long as the world goes on.
    pub async fn run_control(self: Rc<Self>) {
        while !self.ended.get() {
            tokio::time::sleep(milliseconds(20)).await;
            if let Some(view) = self.next_view() {
                *self.view.borrow_mut() = view;
                self.spread();
            }
            if self.chance(20) {
                self.spread();
            }
            self.remove_retired();
        }
    }

    fn next_view(&self) -> Option<StoreView> {
        let view = self.view.borrow().clone();
        let epoch = StoreEpoch(view.epoch.0 + 1);
        let wanted = self.wanted();
        match &view.next {
            Some(next) if *next == wanted => {
                let copied = next.iter().all(|member| self.has_copied(member, &view));
                let switches = copied || self.plant == Plant::SwitchesAtOnce;
                switches.then_some(StoreView {
                    epoch,
                    serving: wanted,
                    next: None,
                    ..view
                })
            }
            None if view.serving == wanted => None,
            _ => Some(StoreView {
                epoch,
                next: Some(wanted),
                ..view
            }),
        }
    }

    fn has_copied(&self, member: &StoreMember, view: &StoreView) -> bool {
        let machines = self.machines.borrow();
        let Some(machine) = machines.get(&member.node) else {
            return false;
        };
        let reached = !self.network.borrow().unheard.contains(&member.node);
        let copied = machine
            .node()
            .and_then(|node| *node.copied_epoch().borrow());
        reached && machine.member == *member && copied == Some(view.epoch)
    }

    /// Sends the view to all, each after a time of its own.
    pub fn spread(self: &Rc<Self>) {
        for node in self.nodes() {
            let (world, view) = (self.clone(), self.view.borrow().clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(milliseconds(world.within(2..80))).await;
                world.tell(&node, &view);
            });
        }
    }

    fn tell(self: &Rc<Self>, node: &NodeId, view: &StoreView) {
        let cut = {
            let network = self.network.borrow();
            network.deafened.contains(node) || network.deaf.contains(node)
        };
        let machines = self.machines.borrow();
        let Some(machine) = machines.get(node) else {
            return;
        };
        let frozen = machine
            .frozen_until
            .is_some_and(|until| until > tokio::time::Instant::now());
        if let Some(running) = machine.node().filter(|_| !cut && !frozen) {
            // Inside the machine's own life: what follows ends with it.
            let view = view.clone();
            machine.inside(async move { running.take_view(&view) });
        }
    }

    /// A retired machine that is in no set any more is taken away with its disk.
    fn remove_retired(&self) {
        if self.keeps_retired.get() {
            return;
        }
        let view = self.view.borrow().clone();
        let named = |node: &NodeId| {
            let mut members = view.serving.iter().chain(view.next.iter().flatten());
            members.any(|member| member.node == *node)
        };
        let gone: Vec<NodeId> = self
            .retired
            .borrow()
            .iter()
            .filter(|node| !named(node))
            .cloned()
            .collect();
        gone.iter().for_each(|node| self.remove(node));
    }
}
