//! A cluster of three controller processes, with relays in front of their listeners.

use std::fs::{self, File};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use plankhill_protocol::transport::{decode, Hello};
use plankhill_test_relay::{LoopbackNetwork, Relay, SharedRelay};
use rustix::process::{kill_process, Pid, Signal};
use tempfile::TempDir;

use crate::http::{exchange, Request};

pub const MACHINES: usize = 3;
/// First port of the range for internal traffic, at which a controller listens for other processes.
const INTERNAL_PORT: u16 = 27_400;
const LAST_INTERNAL_PORT: u16 = 27_415;
const ADMIN_PORT: u16 = 27_001;
/// Time until all machines are in service, generous for a busy host.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(60);
/// `CONFIRMATION_TTL` of the chain, plus time for a busy host to query the machine.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Three controllers that form one system.
pub struct Cluster {
    network: LoopbackNetwork,
    folder: TempDir,
    processes: Vec<Option<Child>>,
    /// One relay per machine, for traffic from other processes of the tier.
    internal: Vec<SharedRelay>,
    /// One relay per machine, in front of its admin listener.
    admin: Vec<Relay>,
}

fn name(index: usize) -> String {
    format!("core-{}", index + 1)
}

/// The address at which other machines reach a machine.
fn advertised(network: &LoopbackNetwork, index: usize) -> Ipv4Addr {
    network.host(11 + index as u8)
}

/// The address at which the machine listens.
fn bound(network: &LoopbackNetwork, index: usize) -> Ipv4Addr {
    network.host(31 + index as u8)
}

/// The sender's name, from the first frame of a connection.
fn sender_of(bytes: &[u8]) -> Option<String> {
    let length: [u8; LENGTH_BYTES] = *bytes.first_chunk()?;
    let end = LENGTH_BYTES + u32::from_le_bytes(length) as usize;
    let hello: Hello = decode(bytes.get(LENGTH_BYTES..end)?).ok()?;
    Some(hello.node.to_string())
}

impl Cluster {
    /// Starts three machines for the first time and waits until they are in service.
    pub fn bootstrap() -> Self {
        let network = LoopbackNetwork::reserve();
        let internal = (0..MACHINES).map(|index| {
            let at = SocketAddr::from((advertised(&network, index), INTERNAL_PORT));
            let to = SocketAddr::from((bound(&network, index), INTERNAL_PORT));
            SharedRelay::bind(at, to, sender_of).expect("an address of this test's network")
        });
        let internal = internal.collect();
        let admin = (0..MACHINES)
            .map(|index| Relay::to((bound(&network, index), ADMIN_PORT).into()))
            .collect();
        let mut cluster = Self {
            network,
            folder: TempDir::new().expect("a folder"),
            processes: (0..MACHINES).map(|_| None).collect(),
            internal,
            admin,
        };
        for index in 0..MACHINES {
            cluster.spawn(index, true);
        }
        cluster.wait_for_chain(MACHINES);
        cluster
    }

    /// The address at which operators call a machine.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.admin[index].address()
    }

    fn data(&self, index: usize) -> PathBuf {
        self.folder.path().join(name(index))
    }

    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let seeds: Vec<String> = (0..MACHINES)
            .map(|seed| format!("\"{}:{INTERNAL_PORT}\"", advertised(&self.network, seed)))
            .collect();
        format!(
            "node_id = \"{}\"\nrole = \"controller\"\nmachine_class = \"core\"\n\
             serves = [\"control_plane\"]\nip = \"{}\"\nbind_ip = \"{}\"\nzone = \"north\"\n\
             region = \"inland\"\nport_range = [{INTERNAL_PORT}, {LAST_INTERNAL_PORT}]\n\
             seed_nodes = [{}]\nbootstrap = {bootstrap}\ncounts_for_quorum = true\n\
             data_path = {:?}\nheartbeat_ms = 1000\n\
             [zones]\nnorth = \"inland\"\n[listeners_map]\nadmin = \"{}:{ADMIN_PORT}\"\n\
             [limits]\ncpu_quota = 1.0\ncpus = 1\nmemory_mb = 256\nmax_fds = 1024\n\
             disk_mb = 256\n[fault_tolerance]\nnodes = 1\nzones = 1\nregions = 0\n",
            name(index),
            advertised(&self.network, index),
            bound(&self.network, index),
            seeds.join(", "),
            self.data(index).display().to_string(),
            bound(&self.network, index),
        )
    }

    fn spawn(&mut self, index: usize, bootstrap: bool) {
        let folder = self.folder.path();
        fs::create_dir_all(self.data(index)).expect("a folder");
        let settings = folder.join(format!("{}.toml", name(index)));
        fs::write(&settings, self.settings(index, bootstrap)).expect("writes the settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", name(index))))
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_plankhill-tier"))
            .arg("controller")
            .env("PLANKHILL_SETTINGS", &settings)
            .env_remove("PLANKHILL_LOG")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("starts the command");
        self.processes[index] = Some(child);
    }

    /// Starts a machine with its existing data.
    pub fn start(&mut self, index: usize) {
        self.spawn(index, false);
    }

    /// Kills a machine with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            child.kill().expect("the process is a child of this test");
            child.wait().expect("the process is a child of this test");
        }
    }

    /// Removes the data directory of a machine that is not running.
    pub fn remove_disk(&mut self, index: usize) {
        match fs::remove_dir_all(self.data(index)) {
            Err(error) if error.kind() != ErrorKind::NotFound => panic!("{error}"),
            _ => {}
        }
    }

    /// Suspends a machine with SIGSTOP.
    pub fn suspend(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Resumes a machine with SIGCONT.
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    fn signal(&self, index: usize, signal: Signal) {
        let child = self.processes[index].as_ref().expect("a running machine");
        kill_process(Pid::from_child(child), signal).expect("the process is a child of this test");
    }

    /// Stalls all links between a machine and the others; operators still reach the machine.
    pub fn partition(&self, index: usize) {
        for other in (0..MACHINES).filter(|other| *other != index) {
            self.internal[index].link(&name(other)).stall();
            self.internal[other].link(&name(index)).stall();
        }
    }

    /// Removes all faults from the links between machines.
    pub fn heal(&self) {
        for link in self.internal.iter().flat_map(SharedRelay::links) {
            link.heal();
        }
    }

    /// Resets all connections, both between machines and from operators.
    pub fn reset_all(&self) {
        for link in self.internal.iter().flat_map(SharedRelay::links) {
            link.reset();
        }
        for relay in &self.admin {
            relay.reset();
        }
    }

    /// The chain as reported by a machine, or `None` unless the machine reports itself as current.
    fn chain(&self, index: usize) -> Option<Vec<String>> {
        let request = Request {
            method: "GET",
            path: "/-/status",
            expected: None,
            body: "",
        };
        let answer = exchange(self.admin(index), &request, || {}).ok()?;
        let status: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
        if status["current"] != true {
            return None;
        }
        let chain = status["chain"].as_array()?;
        let names = chain.iter().map(|member| {
            let named = member.as_str().or_else(|| member["node"].as_str());
            named.map(str::to_owned)
        });
        names.collect()
    }

    /// Waits until an isolated machine no longer reports itself as current: its last confirmation is
    /// valid for one second.
    pub fn wait_until_not_current(&self, index: usize) {
        let began = Instant::now();
        while self.chain(index).is_some() {
            assert!(began.elapsed() < CONFIRMATION_TIMEOUT, "{}", name(index));
            sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all machines report a chain of this length.
    pub fn wait_for_chain(&self, length: usize) {
        for index in 0..MACHINES {
            self.wait_for_chain_seen_by(index, length);
        }
    }

    /// Waits until a given machine reports a chain of this length.
    pub fn wait_for_chain_seen_by(&self, index: usize, length: usize) {
        let began = Instant::now();
        loop {
            let chain = self.chain(index);
            if chain.as_ref().map(Vec::len) == Some(length) {
                return;
            }
            assert!(
                began.elapsed() < SERVICE_TIMEOUT,
                "{}: {chain:?}, not {length}; logs in {}",
                name(index),
                self.folder.path().display()
            );
            sleep(POLL_INTERVAL);
        }
    }

    /// The index of the chain's head, as reported by the first machine.
    pub fn head(&self) -> usize {
        self.head_seen_by(0)
    }

    /// The index of the chain's head, as reported by a given machine.
    pub fn head_seen_by(&self, index: usize) -> usize {
        let began = Instant::now();
        while began.elapsed() < SERVICE_TIMEOUT {
            let chain = self.chain(index).unwrap_or_default();
            let head = (0..MACHINES).find(|index| chain.first() == Some(&name(*index)));
            if let Some(head) = head {
                return head;
            }
            sleep(POLL_INTERVAL);
        }
        panic!("no chain head reported");
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..MACHINES {
            self.kill(index);
        }
    }
}
