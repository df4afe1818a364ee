//! Stand-ins for a forwarder's peers, and the forwarder itself as a process.
#![allow(dead_code)] // each file of stories uses its part

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub const LONG: Duration = Duration::from_secs(30);
pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
pub const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";

/// Ends a reply after which the connection breaks off.
pub const BREAK: char = '\0';

/// A request as a stand-in got it. What is sent to `reply` is written back.
pub struct Asked {
    pub head: String,
    pub body: Vec<u8>,
    reply: Sender<String>,
}

impl Asked {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
    pub fn id(&self) -> &str {
        self.field("Req-Id").expect("every call has one")
    }
    pub fn answer(self, text: &str) {
        self.reply.send(text.to_owned()).expect("the connection stands");
    }
}

pub fn read_message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Listens, and hands over each request that comes in.
pub fn stand_in() -> (SocketAddr, Receiver<Asked>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (asked, all) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, asked) = (stream.expect("accepts"), asked.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(stream);
                while let Some((head, body)) = read_message(&mut from) {
                    let (reply, replies) = channel();
                    let _ = asked.send(Asked { head, body, reply });
                    match replies.recv() {
                        Ok(text) => {
                            let _ = from.get_mut().write_all(text.trim_end_matches(BREAK).as_bytes());
                            if text.ends_with(BREAK) {
                                return;
                            }
                        }
                        Err(_) => return,
                    }
                }
            });
        }
    });
    (address, all)
}

/// Discovery: the watches are the story's; notices are heard at once, but for the first `deaf` of them.
pub fn discovery(deaf: usize) -> (SocketAddr, Receiver<Asked>, Receiver<Value>) {
    let (address, asked) = stand_in();
    let (watch, watches) = channel();
    let (notice, notices) = channel();
    let left = AtomicUsize::new(deaf);
    thread::spawn(move || {
        for request in asked {
            if request.head.starts_with("GET /discovery/hosts ") {
                request.answer(ERROR); // the whole list cannot be had
                continue;
            }
            if request.head.starts_with("GET /discovery/hosts?") {
                let _ = watch.send(request);
                continue;
            }
            assert!(request.head.starts_with("POST /status "));
            for line in String::from_utf8_lossy(&request.body).lines() {
                let _ = notice.send(serde_json::from_str(line).expect("one JSON value a line"));
            }
            let dull = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
            let odd = String::from_utf8_lossy(&request.body).contains("unreadable");
            request.answer(match (dull, odd) {
                (true, _) => ERROR,
                (_, true) => "HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n",
                _ => "HTTP/1.1 204 Fine\r\n\r\n",
            });
        }
    });
    (address, watches, notices)
}

/// Changes of the list, as a watch answers them.
pub fn page(members: &[Value]) -> String {
    let text = json!({"revision": 42, "complete": false, "members": members}).to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

pub struct Forwarder {
    pub child: Child,
    pub address: SocketAddr,
    /// Where operators call.
    pub mgmt: SocketAddr,
    pub folder: PathBuf,
    pub log: Log,
}

pub type Log = Arc<Mutex<String>>;

pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "z", "flavor": "k", "cell": 1, "phase": phase})
}

pub fn config(discovery: SocketAddr, target: SocketAddr) -> Value {
    let traffic = |name, semantics, ordered| {
        json!({"name": name, "semantics": semantics, "aimUs": 1000000, "deadlineUs": 60000000, "credit": 1,
            "lateWorth": 0.1, "dedupScope": "all", "windowUs": 30000000, "serialByKey": ordered})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"revision": 41, "complete": true, "members": [member("t", target, "up")]},
        "settings": {"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
            "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true, "retryAfter": true,
                "maxRetryAfterUs": 2000000},
            "familyInfo": {"slots": 4},
            "profiles": [traffic("job", "pure", false), traffic("order", "token", false),
                traffic("charge", "side_effect", true)],
            "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}}})
}

impl Forwarder {
    pub fn start(config: &Value) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("plankhill-sockets-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        Self::over(folder)
    }

    /// Over a folder that is there, with its configuration in it.
    pub fn over(folder: PathBuf) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_plankhill-forwarder"))
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("PROXY_STATE", &folder)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut told = |key: &str| -> SocketAddr {
            let line = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains(key)));
            let line = line.expect("tells where it listens").expect("UTF-8");
            let address = line.split(key).nth(1).expect("there").split(',').next().unwrap().parse();
            address.expect("an address")
        };
        let (address, mgmt) = (told("listen: "), told("mgmt: "));
        let log = Arc::new(Mutex::new(String::new()));
        let kept = log.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| *kept.lock().unwrap() += &(l + "\n")));
        Forwarder { child, address, mgmt, folder, log }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("runs").success());
    }

    /// Stands still once this returns.
    pub fn stop(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).expect("runs").contains(") T ") {
            thread::yield_now();
        }
    }

    pub fn restart(&mut self, signal: &str) {
        self.signal(signal);
        self.child.wait().expect("ends");
        // The folder stays for the next.
        let folder = std::mem::take(&mut self.folder);
        *self = Self::over(folder);
    }

    pub fn ask(&self, request: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("listens");
        stream.write_all(request).expect("takes it");
        answer(&mut stream)
    }

    /// Returns once it serves.
    pub fn until_ready(&self) {
        let by = Instant::now() + LONG;
        while self.call("GET", "/-/ready") != 200 {
            assert!(Instant::now() < by, "is not ready");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// What operators are answered.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        let mut stream = TcpStream::connect(self.mgmt).expect("listens");
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").expect("takes it");
        answer(&mut stream).0
    }

    pub fn take(&self, id: &str, traffic: &str, more: &str) {
        assert_eq!(self.ask(&event(id, traffic, more)).0, 202);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("{}", self.log.lock().unwrap());
        }
        if !self.folder.as_os_str().is_empty() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// What a start says that has to end with one plain line.
pub fn refused_start(config: &Path, state: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plankhill-forwarder"));
    let ended = command.env("PROXY_CONFIG", config).env("PROXY_STATE", state).output().expect("runs");
    let said = String::from_utf8(ended.stderr).expect("UTF-8");
    assert!(!ended.status.success() && said.lines().count() == 1, "{said}");
    said
}

pub fn answer(stream: &mut TcpStream) -> (u16, String) {
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let (head, _) = read_message(&mut BufReader::new(stream)).expect("an answer");
    (head[9..12].parse().expect("a status"), head)
}

pub fn event(id: &str, traffic: &str, more: &str) -> Vec<u8> {
    format!(
        "POST /{traffic} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 60\r\n\
         X-Envelope: dest=1\r\nIdempotency-Key: f-{id}\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
    .into_bytes()
}

/// Target, discovery's notices and watches, and a forwarder between them.
pub fn all(
    deaf: usize,
    change: impl FnOnce(&mut Value),
) -> (Forwarder, Receiver<Asked>, Receiver<Value>, Receiver<Asked>) {
    let (target, calls) = stand_in();
    let (discovery, watches, notices) = discovery(deaf);
    let mut config = config(discovery, target);
    change(&mut config);
    (Forwarder::start(&config), calls, notices, watches)
}

pub fn next<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(LONG).expect("comes in time")
}

pub fn given_up(id: &str) -> Value {
    json!({"message": id, "outcome": "given_up"})
}
