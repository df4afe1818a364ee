//! Starts the project's processes on loopback addresses, with the commands of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getpid() -> i32;
    fn prctl(option: i32, first: u64, second: u64, third: u64, fourth: u64) -> i32;
}

const ADMIN_PORT: u16 = 27001;
const HTTP_PORT: u16 = 28001;
const READINESS_PORT: u16 = 28002;
pub const ZONES: [&str; 3] = ["marka", "sweileh", "qweismeh"];

/// One process of the tier.
pub struct Process {
    pub name: String,
    role: &'static str,
    child: Option<Child>,
}

/// The tier: core, storage and edge machines, each at an address of its own.
pub struct Tier {
    binary: PathBuf,
    pub folder: PathBuf,
    network: String,
    pub processes: Mutex<Vec<Process>>,
    cores: usize,
}

impl Tier {
    /// Starts controllers, stores, and edges of one agent and one proxy each.
    pub fn start(root: &Path, cores: usize, stores: usize, edges: usize) -> io::Result<Tier> {
        let pid = unsafe { getpid() } as u32;
        let network = format!("127.{}.{}", 1 + (pid / 250) % 250, pid % 250);
        let folder = std::env::temp_dir().join(format!("plankhill-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let tier = Tier {
            binary: root.join("target/release/plankhill-tier"),
            folder,
            network,
            processes: Mutex::default(),
            cores,
        };
        for index in 0..cores {
            tier.add("controller", "core", index, 11, true)?;
        }
        for index in 0..stores {
            tier.add("store", "storage", index, 51, true)?;
        }
        for index in 0..edges {
            tier.add("agent", "edge", index, 101, true)?;
            tier.add("proxy", "edge", index, 101, true)?;
        }
        Ok(tier)
    }

    pub fn target_address(&self, index: usize) -> SocketAddr {
        self.address(151 + index, 29001)
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        (0..self.cores)
            .map(|index| self.address(11 + index, ADMIN_PORT))
            .collect()
    }

    pub fn proxy(&self, index: usize) -> SocketAddr {
        self.address(101 + index, HTTP_PORT)
    }

    fn address(&self, octet: usize, port: u16) -> SocketAddr {
        let text = format!("{}.{octet}:{port}", self.network);
        text.parse().expect("an address")
    }

    fn add(
        &self,
        role: &'static str,
        class: &str,
        index: usize,
        first_octet: usize,
        bootstrap: bool,
    ) -> io::Result<()> {
        let name = format!("{class}-{}-{}", ZONES[index % 3], 1 + index / 3);
        let process = Process {
            name: format!("{role} {name}"),
            role,
            child: None,
        };
        let data = self.folder.join(format!("data-{role}-{name}"));
        if class != "edge" {
            fs::create_dir_all(&data)?;
        }
        let text = self.settings(role, class, &name, index, first_octet + index, bootstrap, &data);
        fs::write(self.settings_file(&process.name), text)?;
        self.processes.lock().unwrap().push(process);
        self.spawn(&format!("{role} {name}"))
    }

    fn settings_file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{}.toml", name.replace(' ', "-")))
    }

    /// Starts the process called `name`, with its settings of before.
    pub fn spawn(&self, name: &str) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", name.replace(' ', "-"))))?;
        let mut processes = self.processes.lock().unwrap();
        let process = processes.iter_mut().find(|process| process.name == name);
        let process = process.expect("a known process");
        let mut command = Command::new(&self.binary);
        // PR_SET_PDEATHSIG: the process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command
            .arg(process.role)
            .env("PLANKHILL_SETTINGS", self.settings_file(name))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process called `name`.
    pub fn signal(&self, name: &str, signal: i32) {
        let mut processes = self.processes.lock().unwrap();
        let process = processes.iter_mut().find(|process| process.name == name);
        if let Some(child) = process.and_then(|process| process.child.as_mut()) {
            unsafe { kill(child.id() as i32, signal) };
            if signal == SIGKILL {
                let _ = child.wait();
            }
        }
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        let processes = self.processes.lock().unwrap();
        let process = processes.iter().find(|process| process.name == name)?;
        process.child.as_ref().map(Child::id)
    }

    /// Whether the process called `name` has ended.
    pub fn has_ended(&self, name: &str) -> bool {
        let mut processes = self.processes.lock().unwrap();
        let process = processes.iter_mut().find(|process| process.name == name);
        match process.and_then(|process| process.child.as_mut()) {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Empties the disk of the process called `name`, which must not run, and marks it as no first start.
    pub fn wipe(&self, name: &str) {
        let data = self.folder.join(format!("data-{}", name.replace(' ', "-")));
        let _ = fs::remove_dir_all(&data);
        let _ = fs::create_dir_all(&data);
        let file = self.settings_file(name);
        if let Ok(text) = fs::read_to_string(&file) {
            let _ = fs::write(file, text.replace("bootstrap = true", "bootstrap = false"));
        }
    }

    /// Delivers the operator's configuration, at any controller, until it is acknowledged.
    pub fn configure(&self, expected: u64, document: &str, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        let mut last = String::new();
        loop {
            for controller in self.controllers() {
                let headers = [
                    ("Host", controller.to_string()),
                    ("If-Match", expected.to_string()),
                    ("Content-Type", "application/json".to_string()),
                ];
                let wait = Duration::from_secs(1);
                let body = document.as_bytes();
                match http::call(controller, "PUT", "/-/config", &headers, body, wait) {
                    Ok(response) if response.status() == 200 => return Ok(()),
                    Ok(response) => {
                        let text = String::from_utf8_lossy(&response.body).into_owned();
                        last = format!("{} {text}", response.start);
                    }
                    Err(error) => last = error.to_string(),
                }
            }
            if Instant::now() > until {
                return Err(format!("the configuration is not acknowledged: {last}"));
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Waits until the proxies call themselves ready.
    pub fn wait_ready(&self, edges: usize, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        for index in 0..edges {
            while !self.is_ready(index) {
                if Instant::now() > until {
                    return Err(format!("proxy {index} does not get ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// The platform's question whether a proxy takes new connections.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.address(101 + index, READINESS_PORT);
        let headers = [("Host", address.to_string())];
        let wait = Duration::from_secs(1);
        http::call(address, "GET", "/-/ready", &headers, &[], wait)
            .is_ok_and(|response| response.status() == 200)
    }

    /// Ends all processes and removes the folder.
    pub fn stop(&self) {
        for process in self.processes.lock().unwrap().iter_mut() {
            if let Some(child) = &mut process.child {
                unsafe { kill(child.id() as i32, SIGCONT) };
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn settings(
        &self,
        role: &str,
        class: &str,
        name: &str,
        index: usize,
        octet: usize,
        bootstrap: bool,
        data: &Path,
    ) -> String {
        let ip = format!("{}.{octet}", self.network);
        let seeds: Vec<String> = self
            .controllers()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let (serves, listeners) = match role {
            "controller" => ("\"control_plane\"", format!("admin = \"{ip}:{ADMIN_PORT}\"\n")),
            "store" => ("\"storage\"", String::new()),
            "proxy" => (
                "\"edge\"",
                format!("http = \"{ip}:{HTTP_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n"),
            ),
            _ => ("", String::new()),
        };
        let limits = match class {
            "edge" => "cpu_quota = 0.25\ncpus = 1\nmemory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = 0\n",
            "storage" => "cpu_quota = 0.5\ncpus = 1\nmemory_mb = 270\nmax_fds = 8200\nbandwidth_mbps = 600.0\ndisk_mb = 370\n",
            _ => "cpu_quota = 0.6\ncpus = 1\nmemory_mb = 256\nmax_fds = 4096\nbandwidth_mbps = 1000.0\ndisk_mb = 128\n",
        };
        let data_path = match class {
            "edge" => String::new(),
            _ => format!("data_path = \"{}\"\n", data.display()),
        };
        let counts = class != "edge";
        let zone = ZONES[index % 3];
        let seeds = seeds.join(", ");
        format!(
            "node_id = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"amman\"\nport_range = [27380, 27395]\n\
             seed_nodes = [{seeds}]\nbootstrap = {bootstrap}\ncounts_for_quorum = {counts}\n{data_path}\
             heartbeat_ms = 1200\n\
             [zones]\nmarka = \"amman\"\nsweileh = \"amman\"\nqweismeh = \"amman\"\n\
             [listeners_map]\n{listeners}[limits]\n{limits}\
             [fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\npropagation_ms = 2000\nrevert_slack_ms = 250\n\
             max_skew_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\nsettle_ms = 1000\n"
        )
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.stop();
    }
}
