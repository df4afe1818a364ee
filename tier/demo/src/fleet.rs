//! The processes of the demo's tier.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::time::{sleep, Instant};

use crate::layout::{Machine, Role};
use crate::settings_file::{render_settings, SettingsContext};

/// Time between SIGTERM and SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All processes of the tier; those still running are killed when this is dropped.
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
}

struct Process {
    machine: Machine,
    role: Role,
    child: Child,
}

impl Fleet {
    /// A fleet that keeps settings, data and logs in `folder`.
    pub fn new(program: PathBuf, folder: PathBuf, seeds: Vec<SocketAddr>) -> Fleet {
        Fleet {
            program,
            folder,
            seeds,
            processes: Vec::new(),
        }
    }

    /// Starts every role of `machines`, for the first time.
    ///
    /// # Errors
    /// If a folder, a file or a process cannot be made.
    pub fn bootstrap(&mut self, machines: &[Machine]) -> io::Result<()> {
        for machine in machines {
            for role in machine.class.roles() {
                let child = self.spawn(machine, *role, true)?;
                self.processes.push(Process {
                    machine: machine.clone(),
                    role: *role,
                    child,
                });
            }
        }
        Ok(())
    }

    /// Kills `role` on `machine` (SIGKILL).
    ///
    /// # Errors
    /// If there is no such process, or it cannot be killed.
    pub fn kill(&mut self, machine: &Machine, role: Role) -> io::Result<()> {
        let process = self.find(machine, role)?;
        process.child.kill()?;
        process.child.wait().map(drop)
    }

    /// Starts a killed process again on the state of its disk.
    ///
    /// # Errors
    /// If there is no such process, or it cannot be started.
    pub fn restart(&mut self, machine: &Machine, role: Role) -> io::Result<()> {
        let child = self.spawn(machine, role, false)?;
        self.find(machine, role)?.child = child;
        Ok(())
    }

    /// Names of the processes that exited by themselves.
    pub fn exited(&mut self) -> Vec<String> {
        let has_ended = |process: &mut Process| !matches!(process.child.try_wait(), Ok(None));
        let ended = self
            .processes
            .iter_mut()
            .filter_map(|process| has_ended(process).then(|| process.name()));
        ended.collect()
    }

    /// Asks all processes to end and waits for them; kills those that do not within the grace
    /// period. Returns how many had to be killed.
    pub async fn stop(&mut self) -> usize {
        for process in &self.processes {
            // A process that has ended already needs no signal.
            let _ = kill_process(Pid::from_child(&process.child), Signal::TERM);
        }
        let until = Instant::now() + GRACE_PERIOD;
        while self.running() > 0 && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
        }
        self.running()
    }

    fn running(&mut self) -> usize {
        self.processes
            .iter_mut()
            .filter_map(|process| process.child.try_wait().ok())
            .filter(Option::is_none)
            .count()
    }

    fn find(&mut self, machine: &Machine, role: Role) -> io::Result<&mut Process> {
        let wanted =
            |process: &&mut Process| process.machine.name == machine.name && process.role == role;
        let found = self.processes.iter_mut().find(wanted);
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no such process"))
    }

    fn spawn(&self, machine: &Machine, role: Role, bootstrap: bool) -> io::Result<Child> {
        let name = format!("{}-{}", machine.name, role.name());
        let data = self.folder.join(&name);
        std::fs::create_dir_all(&data)?;
        let settings = self.folder.join(format!("{name}.toml"));
        let around = SettingsContext {
            seeds: &self.seeds,
            bootstrap,
            data: &data,
        };
        std::fs::write(&settings, render_settings(machine, role, &around))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        Command::new(&self.program)
            .arg(role.name())
            .env("PLANKHILL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }
}

impl Process {
    fn name(&self) -> String {
        format!("{} on {}", self.role.name(), self.machine.name)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Nothing is left to do about a process that cannot be killed.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
