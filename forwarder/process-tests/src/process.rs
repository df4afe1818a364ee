//! One process of the program over a folder: started, signalled, ended. It ends with its owner.

use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use tempfile::TempDir;

use crate::{program, until};

pub struct Process {
    pub name: String,
    folder: TempDir,
    variables: Vec<(&'static str, String)>,
    child: Option<Child>,
    log: Arc<Mutex<String>>,
    /// When the last line of the process was read, once it has ended.
    silent_since: Arc<Mutex<Option<Instant>>>,
}

impl Process {
    /// Not started yet.
    pub fn new(name: &str) -> Process {
        let folder = tempfile::tempdir().expect("a folder for the test");
        std::fs::create_dir(folder.path().join("state")).expect("made");
        Process {
            name: name.to_owned(),
            folder,
            variables: Vec::new(),
            child: None,
            log: Arc::default(),
            silent_since: Arc::default(),
        }
    }

    /// A variable of its next starts.
    pub fn set(&mut self, variable: &'static str, value: String) {
        self.variables.push((variable, value));
    }

    /// A file beside its state.
    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder().join(name), text).expect("written");
    }

    /// What the test keeps for the process, its state among it.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// What outlasts the process.
    pub fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs already", self.name);
        self.child = Some(self.begin());
    }

    /// Another process on the same folder, which is to take over; the one before is handed out, to be waited
    /// for or killed.
    pub fn start_another(&mut self) -> Elder {
        let heir = self.begin();
        Elder(self.child.replace(heir).expect("runs"))
    }

    fn begin(&self) -> Child {
        *self.silent_since.lock().unwrap() = None;
        // A write past a limit on files is to fail, not to end the process.
        let mut command = Command::new("sh");
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\""])
            .arg(program::path());
        command
            .env("PROXY_STATE", self.state())
            .envs(self.variables.iter().map(|(k, v)| (*k, v)));
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        self.follow(child.stdout.take().expect("piped"));
        self.follow(child.stderr.take().expect("piped"));
        child
    }

    fn follow(&self, lines: impl std::io::Read + Send + 'static) {
        let (log, silent) = (self.log.clone(), self.silent_since.clone());
        thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                let mut log = log.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
            *silent.lock().unwrap() = Some(Instant::now());
        });
    }

    pub fn log(&self) -> String {
        self.log
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
            .clone()
    }

    pub fn said(&self, what: &str) -> usize {
        self.log().matches(what).count()
    }

    /// Returns once the line was logged more often than `before`.
    pub fn until_said(&self, what: &str, before: usize) {
        until(&format!("{} says {what:?}", self.name), || {
            self.said(what) > before
        });
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Pid {
        Pid::from_child(self.child.as_ref().expect("runs"))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("it is ours and not waited for");
    }

    /// Stands still once this returns.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.pid().as_raw_nonzero());
        until("it stands still", || {
            std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "))
        });
    }

    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.waited();
    }

    /// When the kernel ended it, if it did and no story: a machine that is too busy lets a process stand still.
    pub fn ended_by_kernel(&mut self) -> Option<Instant> {
        let child = self.child.as_mut()?;
        child
            .try_wait()
            .expect("ours")
            .filter(|status| status.signal() == Some(9))?;
        self.child = None;
        let mut since = None;
        until("its log ends", || {
            since = *self.silent_since.lock().unwrap();
            since.is_some()
        });
        since
    }

    /// Whether it has ended; one that the kernel ended does not.
    pub fn has_ended(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|child| child.try_wait().expect("ours").is_some());
        if ended {
            self.child = None;
        }
        ended
    }

    /// Returns once it has ended by itself, with whether it says that all is well.
    pub fn waited(&mut self) -> bool {
        let mut child = self.child.take().expect("runs");
        let mut ended = None;
        until(&format!("{} ends", self.name), || {
            ended = child.try_wait().expect("ours");
            ended.is_some()
        });
        ended.is_some_and(|status| status.success())
    }

    /// Files that it writes can't grow past so many bytes; `None`: as they like.
    pub fn limit_files(&self, most: Option<u64>) {
        let limit = Rlimit {
            current: most,
            maximum: None,
        };
        prlimit(Some(self.pid()), Resource::Fsize, limit).expect("it is ours");
    }

    /// The folder is gone, as with its disk.
    pub fn lose_folder(&mut self) {
        assert!(!self.runs());
        std::fs::remove_dir_all(self.state()).expect("there");
        std::fs::create_dir(self.state()).expect("made");
    }

    /// A copy of the folder as it is now, to be put back later.
    pub fn copy_folder(&self) -> TempDir {
        let copy = tempfile::tempdir().expect("a folder for the copy");
        copy_all(&self.state(), copy.path());
        copy
    }

    pub fn put_back(&mut self, copy: &TempDir) {
        self.lose_folder();
        copy_all(copy.path(), &self.state());
    }
}

/// A process that another is to take over from. It ends with this.
pub struct Elder(Child);

impl Elder {
    /// Returns once it has ended by itself.
    pub fn waited(mut self) {
        until("the earlier process ends", || {
            self.0.try_wait().expect("ours").is_some()
        });
    }
}

impl Drop for Elder {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn copy_all(from: &Path, to: &Path) {
    for entry in std::fs::read_dir(from).expect("there") {
        let entry = entry.expect("read");
        let (kind, to) = (
            entry.file_type().expect("known"),
            to.join(entry.file_name()),
        );
        if kind.is_dir() {
            std::fs::create_dir(&to).expect("made");
            copy_all(&entry.path(), &to);
        } else if kind.is_file() {
            std::fs::copy(entry.path(), to).expect("copied");
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
