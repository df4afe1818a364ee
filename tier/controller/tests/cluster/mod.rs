//! Controllers with their disks, each on a thread of its own, that can be killed at any moment.
#![allow(dead_code)]

mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use plankhill_protocol::feed::Subscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_TIMEOUT};
use plankhill_protocol::transport::{Channel, Hello};
use plankhill_replica::ReplicaSettings;
use tempfile::TempDir;
use tokio::sync::{oneshot, watch};

use process::{exchange, free_address, run};

/// Longest wait for one answer, and for a controller to be current, on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Most rounds of calls to the machines without a clear answer: a controller may be current and
/// lose that again.
const MAX_ATTEMPTS: usize = 20;

/// Three controllers of one system.
pub struct Cluster {
    machines: Vec<Machine>,
    runtime: tokio::runtime::Runtime,
}

struct Machine {
    node: String,
    admin: SocketAddr,
    internal: SocketAddr,
    disk: TempDir,
    running: Option<Running>,
}

struct Running {
    kill: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// One call about the configuration.
pub struct Call {
    pub machine: usize,
    pub method: &'static str,
    pub expected: Option<u64>,
    pub body: String,
}

/// What came back: status and body.
pub type Answered = (StatusCode, String);

impl Cluster {
    /// Three machines at their very first start.
    pub fn bootstrap() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let machine = |number: usize| Machine {
            node: format!("core-{number}"),
            admin: free_address(),
            internal: free_address(),
            disk: TempDir::new().unwrap(),
            running: None,
        };
        let machines = (1..=3).map(machine).collect();
        let mut cluster = Cluster { machines, runtime };
        for index in 0..3 {
            cluster.start(index, true);
        }
        cluster
    }

    /// Starts a machine with the disk that it has.
    pub fn start(&mut self, index: usize, bootstrap: bool) {
        let machine = &self.machines[index];
        let settings = ReplicaSettings {
            node: NodeId::from(machine.node.as_str()),
            address: machine.internal,
            folder: PathBuf::from(machine.disk.path()),
            seeds: self
                .machines
                .iter()
                .map(|machine| machine.internal)
                .collect(),
            bootstrap,
            tolerated_faults: 1,
        };
        let admin = machine.admin;
        let (kill, killed) = oneshot::channel();
        let thread = std::thread::spawn(move || run(settings, admin, killed));
        self.machines[index].running = Some(Running { kill, thread });
    }

    /// Kills a machine; what it has not synced may be lost.
    pub fn kill(&mut self, index: usize) {
        let running = self.machines[index].running.take().unwrap();
        // A thread that has ended already needs no signal.
        let _ = running.kill.send(());
        running.thread.join().unwrap();
    }

    /// Gives a machine an empty disk.
    pub fn wipe(&mut self, index: usize) {
        self.machines[index].disk = TempDir::new().unwrap();
    }

    /// The index of the machine that heads the chain, as one of the others sees it.
    pub fn head(&self, seen_from: usize) -> usize {
        let (_, status) = self.call(seen_from, "GET", "/-/status", None, "").unwrap();
        let named = |machine: &Machine| status.find(&format!("\"{}\"", machine.node));
        let chain = status.find("\"chain\":[").unwrap();
        let head = &status[chain..];
        let first = |machine: &Machine| head.find(&format!("\"{}\"", machine.node));
        assert!(self.machines.iter().any(|machine| named(machine).is_some()));
        (0..3)
            .min_by_key(|index| first(&self.machines[*index]).unwrap_or(usize::MAX))
            .unwrap()
    }

    /// Waits until so many machines are in the chain, as one of them sees it.
    pub fn wait_for_links(&self, seen_from: usize, wanted: usize) {
        let asked = std::time::Instant::now();
        loop {
            let status = self
                .call(seen_from, "GET", "/-/status", None, "")
                .map(|(_, status)| status);
            let status: Option<serde_json::Value> =
                status.and_then(|status| serde_json::from_str(&status).ok());
            let links = status.and_then(|status| status["chain"].as_array().map(Vec::len));
            if links == Some(wanted) {
                return;
            }
            assert!(asked.elapsed() < ANSWER_TIMEOUT, "{links:?} links");
        }
    }

    /// One call; `None` if no answer came.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        expected: Option<u64>,
        body: &str,
    ) -> Option<Answered> {
        let address = self.machines[index].admin;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", "controller");
        if let Some(expected) = expected {
            request = request.header("If-Match", expected.to_string());
        }
        let request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let exchange = async {
            tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, request))
                .await
                .ok()?
        };
        self.runtime.block_on(exchange)
    }

    /// Calls at the same moment, each at one machine; `answered` is called for each with its index
    /// in the list, in the order in which the answers come.
    pub fn call_together(&self, calls: &[Call], mut answered: impl FnMut(usize, Option<Answered>)) {
        let mut waiting = tokio::task::JoinSet::new();
        for (number, call) in calls.iter().enumerate() {
            let address = self.machines[call.machine].admin;
            let mut request = Request::builder()
                .method(call.method)
                .uri("/-/config")
                .header("Host", "controller");
            if let Some(expected) = call.expected {
                request = request.header("If-Match", expected.to_string());
            }
            let request = request
                .body(Full::new(Bytes::from(call.body.clone())))
                .unwrap();
            let exchange = async move {
                tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, request))
                    .await
                    .ok()?
            };
            waiting.spawn_on(
                async move { (number, exchange.await) },
                self.runtime.handle(),
            );
        }
        self.runtime.block_on(async {
            while let Some(ended) = waiting.join_next().await {
                let (number, answer) = ended.unwrap();
                answered(number, answer);
            }
        });
    }

    /// Calls the machines in turn, as the operator does, until one gives a clear answer.
    pub fn call_until_clear(
        &self,
        indices: &[usize],
        method: &str,
        path: &str,
        expected: Option<u64>,
        body: &str,
    ) -> Answered {
        for _ in 0..MAX_ATTEMPTS {
            let mut answers = indices
                .iter()
                .filter_map(|index| self.call(*index, method, path, expected, body));
            let clear = answers.find(|(status, _)| *status != StatusCode::SERVICE_UNAVAILABLE);
            if let Some(clear) = clear {
                return clear;
            }
            self.wait_until_current(indices);
        }
        panic!("no clear answer");
    }

    /// Waits until one of the machines says that it is current.
    fn wait_until_current(&self, indices: &[usize]) {
        let addresses = indices
            .iter()
            .map(|index| self.machines[*index].internal)
            .collect();
        let waiting = async {
            let (_keep, candidates) = watch::channel(addresses);
            let subscription = Subscription::start(SubscriptionOptions {
                hello: Hello::new(Channel::Feed, NodeId::from("operator")),
                subscriber: Subscriber::Proxy,
                candidates,
                feeder_timeout: CONTROLLER_TIMEOUT,
            });
            let mut standing = subscription.status();
            let current = standing.wait_for(|standing| standing.current);
            let in_time = tokio::time::timeout(ANSWER_TIMEOUT, current).await.is_ok();
            assert!(in_time, "no controller is current");
        };
        tokio::task::LocalSet::new().block_on(&self.runtime, waiting);
    }

    /// Sends a configuration until there is a clear answer.
    pub fn put(&self, indices: &[usize], expected: u64, document: &str) -> StatusCode {
        self.call_until_clear(indices, "PUT", "/-/config", Some(expected), document)
            .0
    }

    /// Reads the configuration until there is a clear answer.
    pub fn get(&self, index: usize) -> String {
        self.call_until_clear(&[index], "GET", "/-/config", None, "")
            .1
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            if self.machines[index].running.is_some() {
                self.kill(index);
            }
        }
    }
}
