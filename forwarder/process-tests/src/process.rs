//! A process of the program with a data directory: starting, signalling and killing it. The process is killed on
//! drop.

use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use tempfile::TempDir;

use crate::{program, wait_until};

/// A process of the program and its data directory.
pub struct Process {
    pub name: String,
    directory: TempDir,
    env: Vec<(&'static str, String)>,
    child: Option<Child>,
    log: Arc<Mutex<String>>,
    /// The time at which the output of the process ended, once it has exited.
    log_ended_at: Arc<Mutex<Option<Instant>>>,
}

impl Process {
    /// Creates a process without starting it.
    pub fn new(name: &str) -> Process {
        let directory = tempfile::tempdir().expect("creates a temporary directory");
        std::fs::create_dir(directory.path().join("state")).expect("creates the directory");
        Process {
            name: name.to_owned(),
            directory,
            env: Vec::new(),
            child: None,
            log: Arc::default(),
            log_ended_at: Arc::default(),
        }
    }

    /// Sets an environment variable for subsequent starts.
    pub fn set_env(&mut self, name: &'static str, value: String) {
        self.env.push((name, value));
    }

    /// Writes a file into the directory of the process.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.directory().join(name), text).expect("writes the file");
    }

    /// The directory of the process, with its configuration and state.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// The directory of the persistent state.
    pub fn state_directory(&self) -> PathBuf {
        self.directory.path().join("state")
    }

    /// Starts the process.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.name);
        self.child = Some(self.spawn());
    }

    /// Starts a successor on the same directory, which takes over from the running process; returns the latter, to be
    /// waited for or killed.
    pub fn start_successor(&mut self) -> Predecessor {
        let successor = self.spawn();
        Predecessor(self.child.replace(successor).expect("is running"))
    }

    fn spawn(&self) -> Child {
        *self.log_ended_at.lock().unwrap() = None;
        // A write that exceeds the limit on file sizes must fail, but not kill the process.
        let mut command = Command::new("sh");
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\""])
            .arg(program::path());
        command
            .env("PROXY_STATE", self.state_directory())
            .envs(self.env.iter().map(|(k, v)| (*k, v)));
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        self.collect_log(child.stdout.take().expect("piped"));
        self.collect_log(child.stderr.take().expect("piped"));
        child
    }

    fn collect_log(&self, lines: impl std::io::Read + Send + 'static) {
        let (log, log_ended_at) = (self.log.clone(), self.log_ended_at.clone());
        thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                let mut log = log.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
            *log_ended_at.lock().unwrap() = Some(Instant::now());
        });
    }

    /// All output of the process so far.
    pub fn log(&self) -> String {
        self.log
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// How often the log has `what`.
    pub fn log_count(&self, what: &str) -> usize {
        self.log().matches(what).count()
    }

    /// Waits until the log has `what` more than `before` times.
    pub fn wait_for_log(&self, what: &str, before: usize) {
        wait_until(&format!("{} logs {what:?}", self.name), || {
            self.log_count(what) > before
        });
    }

    /// Whether the process has been started and not yet been found to have exited.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Pid {
        Pid::from_child(self.child.as_ref().expect("is running"))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the process is an unreaped child of the test");
    }

    /// Suspends the process with SIGSTOP, and waits until it is stopped.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.pid().as_raw_nonzero());
        wait_until("the process is stopped", || {
            std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "))
        });
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait_for_exit();
    }

    /// The time at which the kernel killed the process, if it did so without a request of the test: on a machine that
    /// is too busy, a process may stall for longer than its watchdog allows.
    pub fn take_kernel_kill_time(&mut self) -> Option<Instant> {
        let child = self.child.as_mut()?;
        child
            .try_wait()
            .expect("a child of the test")
            .filter(|status| status.signal() == Some(9))?;
        self.child = None;
        let mut ended_at = None;
        wait_until("the end of the log", || {
            ended_at = *self.log_ended_at.lock().unwrap();
            ended_at.is_some()
        });
        ended_at
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|child| child.try_wait().expect("a child of the test").is_some());
        if ended {
            self.child = None;
        }
        ended
    }

    /// Waits until the process exits; returns whether it exited successfully.
    pub fn wait_for_exit(&mut self) -> bool {
        let mut child = self.child.take().expect("is running");
        let mut ended = None;
        wait_until(&format!("{} exits", self.name), || {
            ended = child.try_wait().expect("a child of the test");
            ended.is_some()
        });
        ended.is_some_and(|status| status.success())
    }

    /// Limits the size of the files that the process writes, in bytes; `None` removes the limit.
    pub fn limit_file_size(&self, max_bytes: Option<u64>) {
        let limit = Rlimit {
            current: max_bytes,
            maximum: None,
        };
        prlimit(Some(self.pid()), Resource::Fsize, limit)
            .expect("the process is a child of the test");
    }

    /// Deletes the persistent state, as by the loss of the disk.
    pub fn delete_state(&mut self) {
        assert!(!self.is_running());
        std::fs::remove_dir_all(self.state_directory()).expect("the directory exists");
        std::fs::create_dir(self.state_directory()).expect("creates the directory");
    }

    /// Copies the current persistent state, to be restored later.
    pub fn copy_state(&self) -> TempDir {
        let copy = tempfile::tempdir().expect("creates a temporary directory");
        copy_all(&self.state_directory(), copy.path());
        copy
    }

    /// Replaces the persistent state by a copy.
    pub fn restore_state(&mut self, copy: &TempDir) {
        self.delete_state();
        copy_all(copy.path(), &self.state_directory());
    }
}

/// A process whose successor has been started. It is killed on drop.
pub struct Predecessor(Child);

impl Predecessor {
    /// Waits until the process exits by itself.
    pub fn wait_for_exit(mut self) {
        wait_until("the predecessor exits", || {
            self.0.try_wait().expect("a child of the test").is_some()
        });
    }
}

impl Drop for Predecessor {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn copy_all(from: &Path, to: &Path) {
    for entry in std::fs::read_dir(from).expect("the directory exists") {
        let entry = entry.expect("reads the directory");
        let (kind, to) = (
            entry.file_type().expect("has a file type"),
            to.join(entry.file_name()),
        );
        if kind.is_dir() {
            std::fs::create_dir(&to).expect("creates the directory");
            copy_all(&entry.path(), &to);
        } else if kind.is_file() {
            std::fs::copy(entry.path(), to).expect("copies the file");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            eprintln!("---- {} ----\n{}", self.name, self.log());
        }
    }
}
