//! A cluster of controllers with persistent disks, each on its own thread, that can be killed at
//! any time.
#![allow(dead_code)]

mod process;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

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

use process::{free_address, run_controller, send_request};

/// Timeout for one response and for a controller to become current; sufficient on a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two rounds of calls without a definite response. A partitioned controller rejects
/// calls at once, but may report that it is current for up to a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A cluster of three controllers.
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

/// One call to `/-/config`.
pub struct Call {
    pub machine: usize,
    pub method: &'static str,
    pub expected: Option<u64>,
    pub body: String,
}

/// The status and the body of a response.
pub type HttpResponse = (StatusCode, String);

impl Cluster {
    /// Creates three machines with empty disks and starts them for the first time.
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

    /// Starts a machine with its existing disk.
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
        let thread = std::thread::spawn(move || run_controller(settings, admin, killed));
        self.machines[index].running = Some(Running { kill, thread });
    }

    /// Kills a machine; data that it has not synced may be lost.
    pub fn kill(&mut self, index: usize) {
        let running = self.machines[index].running.take().unwrap();
        // The send fails if the thread has already ended, which is fine.
        let _ = running.kill.send(());
        running.thread.join().unwrap();
    }

    /// Replaces the disk of a machine by an empty one.
    pub fn replace_disk(&mut self, index: usize) {
        self.machines[index].disk = TempDir::new().unwrap();
    }

    /// Returns the index of the head of the chain according to the status of machine `seen_from`.
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

    /// Waits until the chain has `expected` members according to the status of machine `seen_from`.
    pub fn wait_for_chain_length(&self, seen_from: usize, expected: usize) {
        let started_at = std::time::Instant::now();
        loop {
            let status = self
                .call(seen_from, "GET", "/-/status", None, "")
                .map(|(_, status)| status);
            let status: Option<serde_json::Value> =
                status.and_then(|status| serde_json::from_str(&status).ok());
            let chain_length = status.and_then(|status| status["chain"].as_array().map(Vec::len));
            if chain_length == Some(expected) {
                return;
            }
            assert!(
                started_at.elapsed() < RESPONSE_TIMEOUT,
                "chain length {chain_length:?}"
            );
        }
    }

    /// Sends one call; `None` if no response was received.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        expected: Option<u64>,
        body: &str,
    ) -> Option<HttpResponse> {
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
            tokio::time::timeout(RESPONSE_TIMEOUT, send_request(address, request))
                .await
                .ok()?
        };
        self.runtime.block_on(exchange)
    }

    /// Sends calls concurrently, each to its machine. Invokes `on_response` for each call with its
    /// index in `calls`, in the order in which the responses are received.
    pub fn call_concurrently(
        &self,
        calls: &[Call],
        mut on_response: impl FnMut(usize, Option<HttpResponse>),
    ) {
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
                tokio::time::timeout(RESPONSE_TIMEOUT, send_request(address, request))
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
                let (number, response) = ended.unwrap();
                on_response(number, response);
            }
        });
    }

    /// Calls the machines in turn, like an operator, until one returns a definite response, for at
    /// most [`RESPONSE_TIMEOUT`].
    pub fn call_until_definite(
        &self,
        indices: &[usize],
        method: &str,
        path: &str,
        expected: Option<u64>,
        body: &str,
    ) -> HttpResponse {
        let started_at = Instant::now();
        while started_at.elapsed() < RESPONSE_TIMEOUT {
            let mut responses = indices
                .iter()
                .filter_map(|index| self.call(*index, method, path, expected, body));
            let definite = responses.find(|(status, _)| *status != StatusCode::SERVICE_UNAVAILABLE);
            if let Some(definite) = definite {
                return definite;
            }
            self.wait_until_current(indices);
            std::thread::sleep(RETRY_INTERVAL);
        }
        panic!("no definite response");
    }

    /// Waits until one of the machines reports that it is current.
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
            let mut status = subscription.status();
            let current = status.wait_for(|status| status.current);
            let in_time = tokio::time::timeout(RESPONSE_TIMEOUT, current)
                .await
                .is_ok();
            assert!(in_time, "no controller is current");
        };
        tokio::task::LocalSet::new().block_on(&self.runtime, waiting);
    }

    /// Sends a configuration until the response is definite.
    pub fn put(&self, indices: &[usize], expected: u64, document: &str) -> StatusCode {
        self.call_until_definite(indices, "PUT", "/-/config", Some(expected), document)
            .0
    }

    /// Reads the configuration until the response is definite.
    pub fn get(&self, index: usize) -> String {
        self.call_until_definite(&[index], "GET", "/-/config", None, "")
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
