//! The forwarder as a child process.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{event_request, read_message, TIMEOUT};

pub struct Forwarder {
    pub child: Child,
    pub address: SocketAddr,
    /// The admin address.
    pub mgmt: SocketAddr,
    pub folder: PathBuf,
    pub log: Log,
}

pub type Log = Arc<Mutex<String>>;

impl Forwarder {
    pub fn start(config: &Value) -> Self {
        Self::start_prepared(config, |_| ())
    }

    /// Starts a forwarder after `prepare` has added files to its folder.
    pub fn start_prepared(config: &Value, prepare: impl FnOnce(&Path)) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("plankhill-sockets-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        prepare(&folder);
        Self::start_in(folder)
    }

    /// Starts a forwarder under a limit of the system on open descriptors (`ulimit -n`).
    pub fn start_with_descriptor_limit(config: &Value, descriptors: usize) -> Self {
        let mut forwarder = Self::start(config);
        forwarder.signal("-KILL");
        forwarder.child.wait().expect("process exits");
        let program = env!("CARGO_BIN_EXE_plankhill-forwarder");
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("ulimit -n {descriptors} && exec \"$0\""),
            program,
        ]);
        Self::run(command, std::mem::take(&mut forwarder.folder))
    }

    /// Starts a forwarder in an existing folder that holds its configuration.
    pub fn start_in(folder: PathBuf) -> Self {
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
            .expect("process starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut output = String::new();
        let mut read_address = |key: &str| -> SocketAddr {
            let mut next = || {
                lines
                    .next()
                    .expect("log names the listen addresses")
                    .expect("UTF-8")
            };
            let line =
                std::iter::repeat_with(&mut next).inspect(|line| output.extend([line, "\n"]));
            let line = line
                .into_iter()
                .find(|line| line.contains(key))
                .expect("iterator is endless");
            let address = line
                .split(key)
                .nth(1)
                .expect("address follows the key")
                .split(',')
                .next()
                .unwrap()
                .parse();
            address.expect("an address")
        };
        let (address, mgmt) = (read_address("listen: "), read_address("mgmt: "));
        let log = Arc::new(Mutex::new(output));
        let shared_log = log.clone();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|l| *shared_log.lock().unwrap() += &(l + "\n"))
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
            .expect("kill starts")
            .success());
    }

    /// Returns once the log contains the text.
    pub fn wait_for_log(&self, text: &str) {
        let by = Instant::now() + TIMEOUT;
        while !self.log.lock().unwrap().contains(text) {
            assert!(Instant::now() < by, "{text:?} is not logged");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Suspends the process; returns once it is stopped.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat)
            .expect("process is running")
            .contains(") T ")
        {
            thread::yield_now();
        }
    }

    pub fn restart(&mut self, signal: &str) {
        self.signal(signal);
        self.child.wait().expect("process exits");
        // The folder is kept for the next process.
        let folder = std::mem::take(&mut self.folder);
        *self = Self::start_in(folder);
    }

    pub fn exchange(&self, request: &[u8]) -> (u16, String) {
        let mut stream = TcpStream::connect(self.address).expect("connects");
        stream.write_all(request).expect("write succeeds");
        read_response(&mut stream)
    }

    /// Returns once the forwarder reports that it is ready.
    pub fn wait_until_ready(&self) {
        let by = Instant::now() + TIMEOUT;
        while self.call_admin("GET", "/-/ready") != 200 {
            assert!(Instant::now() < by, "the forwarder is not ready");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends a request to the admin address; returns the status.
    pub fn call_admin(&self, method: &str, path: &str) -> u16 {
        let mut stream = TcpStream::connect(self.mgmt).expect("connects");
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").expect("write succeeds");
        read_response(&mut stream).0
    }

    pub fn submit(&self, id: &str, traffic: &str, extra_headers: &str) {
        assert_eq!(
            self.exchange(&event_request(id, traffic, extra_headers)).0,
            202
        );
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

/// Runs a start that has to fail with one line on standard error; returns that line.
pub fn expect_start_error(config: &Path, state: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plankhill-forwarder"));
    command
        .env("PROXY_CONFIG", config)
        .env("PROXY_STATE", state)
        .stdout(Stdio::null());
    let mut child = command
        .stderr(Stdio::piped())
        .spawn()
        .expect("process starts");
    let by = Instant::now() + TIMEOUT;
    while child.try_wait().expect("a child process").is_none() {
        if Instant::now() > by {
            let _ = child.kill();
            panic!("the process keeps running");
        }
        thread::sleep(Duration::from_millis(5));
    }
    let ended = child.wait_with_output().expect("process exits");
    let output = String::from_utf8(ended.stderr).expect("UTF-8");
    assert!(
        !ended.status.success() && output.lines().count() == 1,
        "{output}"
    );
    output
}

pub fn read_response(stream: &mut TcpStream) -> (u16, String) {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let (head, _) = read_message(&mut BufReader::new(stream)).expect("an answer");
    (head[9..12].parse().expect("a status"), head)
}
