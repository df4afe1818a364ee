//! Targets in turns: stands in for the dispatcher.

use std::collections::{HashMap, VecDeque};

use plankhill_dispatch::{Command, Ended, Fate, Ms, NewRequest, PingAnswer, RequestKey, UpstreamLoad};
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::{Target, TargetState};

use crate::decisions::Decisions;
use crate::snapshot::Snapshot;

/// Sends each request at once to the next target of its service.
#[derive(Debug, Default)]
pub struct RoundRobin {
    targets: Vec<Target>,
    requests: HashMap<RequestKey, (NewRequest, u32)>,
    next: usize,
    commands: VecDeque<Command>,
}

impl RoundRobin {
    fn send(&mut self, key: RequestKey) {
        let Some((request, _)) = self.requests.get(&key) else { return };
        let healthy =
            |target: &&Target| target.service == request.service && target.state == TargetState::Healthy;
        let targets: Vec<&Target> = self.targets.iter().filter(healthy).collect();
        self.next += 1;
        match targets.get(self.next % targets.len().max(1)) {
            Some(target) => self.commands.push_back(Command::Send {
                request: key,
                target: target.id.clone(),
                address: target.address,
                deadline: request.deadline,
                priority: request.priority,
            }),
            None => self.commands.push_back(Command::Refuse { request: key, retry_after: 200.0 }),
        }
    }
}

impl Decisions for RoundRobin {
    fn tables_changed(&mut self, _now: Ms, snapshot: &Snapshot) {
        self.targets.clone_from(&snapshot.tables.targets);
    }

    fn request(&mut self, _now: Ms, request: NewRequest) {
        let key = request.key;
        self.requests.insert(key, (request, 0));
        self.send(key);
    }

    fn withdrawn(&mut self, _now: Ms, request: RequestKey) {
        self.requests.remove(&request);
    }

    fn ended(&mut self, _now: Ms, key: RequestKey, ended: Ended) {
        let Some((request, attempts)) = self.requests.get_mut(&key) else { return };
        *attempts += 1;
        let done = matches!(ended.fate, Fate::Delivered | Fate::Cancelled);
        if done || *attempts >= request.max_attempts {
            self.requests.remove(&key);
            if !done {
                self.commands.push_back(Command::Fail { request: key, last: ended.fate });
            }
            return;
        }
        self.send(key);
    }

    fn pinged(&mut self, _now: Ms, _target: &InstanceId, _answer: PingAnswer) {}

    fn load_seen(&mut self, _now: Ms, _target: &InstanceId, _load: UpstreamLoad) {}

    fn commands(&mut self, _now: Ms) -> Vec<Command> {
        self.commands.drain(..).collect()
    }
}
