//! The forwarder as a process.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{event, read_message, LONG};

pub struct Forwarder {
    pub child: Child,
    pub address: SocketAddr,
    /// Where operators call.
    pub mgmt: SocketAddr,
    pub folder: PathBuf,
    pub log: Log,
}

pub type Log = Arc<Mutex<String>>;

impl Forwarder {
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, |_| ())
    }

    /// With more in its folder.
    pub fn start_with(config: &Value, prepare: impl FnOnce(&Path)) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("plankhill-sockets-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        prepare(&folder);
        Self::over(folder)
    }

    /// With so many descriptors, as the system has it.
    pub fn limited(config: &Value, descriptors: usize) -> Self {
        let mut unlimited = Self::start(config);
        unlimited.signal("-KILL");
        unlimited.child.wait().expect("ends");
        let program = env!("CARGO_BIN_EXE_plankhill-forwarder");
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("ulimit -n {descriptors} && exec \"$0\""),
            program,
        ]);
        Self::run(command, std::mem::take(&mut unlimited.folder))
    }

    /// Over a folder that is there, with its configuration in it.
    pub fn over(folder: PathBuf) -> Self {
        Self::run(
            Command::new(env!("CARGO_BIN_EXE_plankhill-forwarder")),
            folder,
        )
    }

    fn run(mut command: Command, folder: PathBuf) -> Self {
        let mut child = command
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("PROXY_STATE", &folder)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut said = String::new();
        let mut told = |key: &str| -> SocketAddr {
            let mut next = || {
                lines
                    .next()
                    .expect("tells where it listens")
                    .expect("UTF-8")
            };
            let line = std::iter::repeat_with(&mut next).inspect(|line| said.extend([line, "\n"]));
            let line = line
                .into_iter()
                .find(|line| line.contains(key))
                .expect("endless");
            let address = line
                .split(key)
                .nth(1)
                .expect("there")
                .split(',')
                .next()
                .unwrap()
                .parse();
            address.expect("an address")
        };
        let (address, mgmt) = (told("listen: "), told("mgmt: "));
        let log = Arc::new(Mutex::new(said));
        let kept = log.clone();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|l| *kept.lock().unwrap() += &(l + "\n"))
        });
        Forwarder {
            child,
            address,
            mgmt,
            folder,
            log,
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("runs")
            .success());
    }

    /// Returns once the log says so.
    pub fn logged(&self, what: &str) {
        let by = Instant::now() + LONG;
        while !self.log.lock().unwrap().contains(what) {
            assert!(Instant::now() < by, "{what:?} is not logged");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stands still once this returns.
    pub fn stop(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat)
            .expect("runs")
            .contains(") T ")
        {
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
    command
        .env("PROXY_CONFIG", config)
        .env("PROXY_STATE", state)
        .stdout(Stdio::null());
    let mut child = command.stderr(Stdio::piped()).spawn().expect("starts");
    let by = Instant::now() + LONG;
    while child.try_wait().expect("a child").is_none() {
        if Instant::now() > by {
            let _ = child.kill();
            panic!("it runs");
        }
        thread::sleep(Duration::from_millis(5));
    }
    let ended = child.wait_with_output().expect("ends");
    let said = String::from_utf8(ended.stderr).expect("UTF-8");
    assert!(
        !ended.status.success() && said.lines().count() == 1,
        "{said}"
    );
    said
}

pub fn answer(stream: &mut TcpStream) -> (u16, String) {
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let (head, _) = read_message(&mut BufReader::new(stream)).expect("an answer");
    (head[9..12].parse().expect("a status"), head)
}
