//! Forwarders as processes, in one fleet or independent of each other.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

pub struct Fleet {
    processes: Vec<Process>,
    _folder: tempfile::TempDir,
}

struct Process {
    child: Child,
    listen: SocketAddr,
}

/// Addresses that were free a moment ago.
fn free_addresses(number: usize) -> Vec<SocketAddr> {
    let all = (0..number).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    all.collect::<Vec<_>>()
        .iter()
        .map(|listener| listener.local_addr().expect("bound"))
        .collect()
}

fn program() -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
    target.join("release/plankhill-forwarder")
}

impl Fleet {
    /// Starts the forwarders and returns once all accept events.
    pub fn start(number: usize, keepers: Option<usize>, target: SocketAddr, slots: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let links = free_addresses(number);
        let mut file = "fleet = \"bench\"\n".to_owned();
        for (at, address) in links.iter().enumerate() {
            file += &format!(
                "[[instances]]\nname = \"n{at}\"\naddress = \"{address}\"\nmachine = \"m{at}\"\n"
            );
        }
        if let Some(keepers) = keepers {
            file += &format!("[copies]\nkeepers = {keepers}\n");
        }
        let path = folder.path().join("fleet.toml");
        std::fs::write(&path, file).expect("written");
        let start = |at: usize| {
            let own = folder.path().join(format!("n{at}"));
            std::fs::create_dir_all(&own).expect("made");
            let config = config(at, number, target, slots).to_string();
            std::fs::write(own.join("config.json"), config).expect("written");
            let mut command = Command::new(program());
            command
                .env("PROXY_CONFIG", own.join("config.json"))
                .env("PROXY_STATE", &own);
            if keepers.is_some() {
                command.env("PROXY_FLEET", &path);
            }
            Process::start(command)
        };
        let processes: Vec<Process> = (0..number).map(start).collect();
        for process in &processes {
            process.wait_until_it_accepts();
        }
        Fleet {
            processes,
            _folder: folder,
        }
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.processes.iter().map(|process| process.listen)
    }

    /// CPU time of all processes so far, in microseconds.
    pub fn cpu_time(&self) -> f64 {
        let ticks = |process: &Process| {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id()))
                .unwrap_or_default();
            let fields = stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .split_whitespace();
            fields
                .skip(11)
                .take(2)
                .filter_map(|field| field.parse::<f64>().ok())
                .sum::<f64>()
        };
        // The clock runs at 100 ticks a second.
        self.processes.iter().map(ticks).sum::<f64>() * 10_000.0
    }

    /// Kills a forwarder with SIGKILL.
    pub fn kill(&mut self, at: usize) -> Instant {
        let now = Instant::now();
        self.processes[at].child.kill().expect("runs");
        now
    }
}

impl Process {
    fn start(mut command: Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("built: cargo build --release");
        let mut lines = BufReader::new(child.stdout.take().expect("piped"))
            .lines()
            .map_while(Result::ok);
        let listen = lines.find_map(|line| {
            let address = line
                .split("listen: ")
                .nth(1)?
                .split(',')
                .next()?
                .parse()
                .ok();
            address.filter(|_| line.contains("server started"))
        });
        let listen = listen.expect("the log has the listen address");
        thread::spawn(move || lines.count());
        Process { child, listen }
    }

    fn wait_until_it_accepts(&self) {
        let deadline = Instant::now() + Duration::from_secs(30);
        let mut number = 0;
        loop {
            number += 1;
            let mut stream = TcpStream::connect(self.listen).expect("listens");
            let _ = write!(
                stream,
                "POST /job HTTP/1.1\r\nHost: a\r\nReq-Id: first-{}-{number}\r\nReq-Deadline: 60\r\n\
                 X-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
                self.listen
            );
            let mut line = String::new();
            let _ = BufReader::new(stream).read_line(&mut line);
            if line.contains(" 202 ") {
                return;
            }
            assert!(Instant::now() < deadline, "accepts nothing: {line}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(at: usize, number: usize, target: SocketAddr, slots: usize) -> serde_json::Value {
    let member = json!({"id": "t", "host_port": target.to_string(), "locality": "z", "flavor": "k", "cell": 1, "phase": "up"});
    json!({"name": format!("n{at}"), "listen": "127.0.0.1:0", "discovery": free_addresses(1)[0].to_string(), "seed": "7",
        "limits": {"cores": 1, "memory_mb": 256, "sockets": 1024, "disk_mb": 64},
        "known": {"revision": 1, "complete": true, "members": [member]},
        "settings": {"me": at, "balancers": number, "shapes": ["k"], "zones": ["z"], "zone": "z",
            "allowed": {"attemptsCap": 6, "maxOpen": 2000, "probes": true},
            "familyInfo": {"slots": slots},
            "profiles": [{"name": "job", "semantics": "pure", "aimUs": 1000000, "deadlineUs": 60000000,
                "credit": 1, "lateWorth": 0.1}],
            "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}}})
}
