//! Test fixture: chain members on loopback, each with its own data folder.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use plankhill_protocol::ids::{NodeId, Revision};
use plankhill_protocol::transport::{accept, Channel, Hello};
use plankhill_replica::{
    start, CommittedState, ReplicaHandle, ReplicaSettings, ReplicaStatus, ReplicatedState,
};
use plankhill_test_relay::LoopbackNetwork;
use serde::{Deserialize, Serialize};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Timeout of each step: longer than any view change takes, and short enough that a hanging test
/// fails soon.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two attempts of a call that a partitioned member rejects at once.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A word with this prefix replaces all others; see [`WordList::apply`].
pub const REPLACE_PREFIX: &str = "only ";

/// The replicated state of these tests: a list of words.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WordList(pub Vec<String>);

impl ReplicatedState for WordList {
    type Operation = String;
    type Outcome = usize;

    /// A word that begins with [`REPLACE_PREFIX`] replaces all others.
    fn apply(&mut self, _: Revision, operation: &String) -> usize {
        if operation.starts_with(REPLACE_PREFIX) {
            self.0.clear();
        }
        self.0.push(operation.clone());
        self.0.len()
    }
}

/// A simulated machine: a data folder and, while it runs, a replica.
pub struct Machine {
    pub settings: ReplicaSettings,
    folder: TempDir,
    running: Option<Running>,
}

struct Running {
    handle: ReplicaHandle<WordList>,
    serving: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// Returns a loopback address that no other test process uses.
pub fn free_address() -> SocketAddr {
    static NETWORK: LazyLock<LoopbackNetwork> = LazyLock::new(LoopbackNetwork::reserve);
    NETWORK.next_address()
}

impl Machine {
    pub fn new(name: &str, address: SocketAddr, seeds: Vec<SocketAddr>, bootstrap: bool) -> Self {
        let folder = TempDir::new().unwrap();
        let settings = ReplicaSettings {
            node: NodeId::from(name),
            address,
            folder: folder.path().to_path_buf(),
            seeds,
            bootstrap,
            tolerated_faults: 1,
        };
        Self {
            settings,
            folder,
            running: None,
        }
    }

    pub fn start(&mut self) {
        let listener = plankhill_protocol::transport::listen(self.settings.address).unwrap();
        let handle = start::<WordList>(self.settings.clone()).unwrap();
        let serving = tokio::spawn(serve(listener, self.settings.node.clone(), handle.clone()));
        self.running = Some(Running { handle, serving });
    }

    /// Kills the process and keeps the disk. Returns once the files are closed.
    pub async fn kill(&mut self) {
        let Some(mut running) = self.running.take() else {
            return;
        };
        running.handle.abort();
        running.handle.ended().await;
        running.serving.abort();
        // The result is an error because the task was aborted.
        let _ = (&mut running.serving).await;
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self) {
        self.folder = TempDir::new().unwrap();
        self.settings.folder = PathBuf::from(self.folder.path());
        self.settings.bootstrap = false;
    }

    /// Returns the number of bytes that the files occupy on the disk.
    pub fn bytes_on_disk(&self) -> u64 {
        let mut folders = vec![self.settings.folder.clone()];
        let mut bytes = 0;
        while let Some(folder) = folders.pop() {
            for entry in std::fs::read_dir(folder).unwrap().map(Result::unwrap) {
                let Ok(metadata) = entry.metadata() else {
                    continue;
                };
                // Files are preallocated and sparse, so that only allocated blocks count.
                bytes += metadata.blocks() * 512;
                if metadata.is_dir() {
                    folders.push(entry.path());
                }
            }
        }
        bytes
    }

    pub fn handle(&self) -> &ReplicaHandle<WordList> {
        &self.running.as_ref().unwrap().handle
    }

    /// Waits for a status that satisfies the condition.
    pub async fn wait_for_status(
        &self,
        wanted: impl FnMut(&ReplicaStatus) -> bool,
    ) -> ReplicaStatus {
        let mut status = self.handle().watch_status();
        let found = tokio::time::timeout(TEST_TIMEOUT, status.wait_for(wanted)).await;
        assert!(found.expect("in time").is_ok(), "the member has ended");
        self.handle().status()
    }

    /// Waits until the member is current.
    pub async fn wait_until_current(&self) {
        self.wait_for_current(true).await;
    }

    /// Waits until the member is not current.
    pub async fn wait_until_not_current(&self) {
        self.wait_for_current(false).await;
    }

    async fn wait_for_current(&self, wanted: bool) {
        let mut current = self.handle().watch_current();
        let found = tokio::time::timeout(
            TEST_TIMEOUT,
            current.wait_for(|is_current| *is_current == wanted),
        )
        .await;
        found.expect("in time").unwrap();
    }

    /// Performs a linearizable read, and repeats it while the member is partitioned: on a busy
    /// machine a member may miss heartbeats for a moment.
    pub async fn read(&self) -> Arc<CommittedState<WordList>> {
        let reading = async {
            loop {
                if let Ok(state) = self.handle().read(TEST_TIMEOUT).await {
                    return state;
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, reading)
            .await
            .expect("in time")
    }

    /// Proposes a word once the member is current, and returns the number of words after it was
    /// applied.
    pub async fn propose(&self, word: &str) -> usize {
        self.wait_until_current().await;
        self.handle()
            .propose(word.to_owned(), TEST_TIMEOUT)
            .await
            .unwrap()
    }
}

async fn serve(listener: TcpListener, node: NodeId, handle: ReplicaHandle<WordList>) {
    let hello = Hello::new(Channel::Chain, node);
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let (stream, address) = listener.accept().await.unwrap();
        let (hello, handle) = (hello.clone(), handle.clone());
        connections.spawn(async move {
            if let Ok(connection) = accept(stream, address, &hello).await {
                handle.serve(connection).await;
            }
        });
    }
}

/// Starts three machines and waits until all of them are part of the chain.
pub async fn start_three_machines() -> Vec<Machine> {
    let addresses = [free_address(), free_address(), free_address()];
    let names = ["a", "b", "c"];
    let mut machines: Vec<_> = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| Machine::new(name, address, addresses.to_vec(), true))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    for machine in &machines {
        machine
            .wait_for_status(|status| status.chain.len() == 3)
            .await;
    }
    machines
}
