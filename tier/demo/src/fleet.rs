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

/// Longest time between SIGTERM and SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time between two checks whether all processes have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All processes of the tier. Dropping the fleet kills the processes that are still running.
pub struct Fleet {
    executable: PathBuf,
    work_dir: PathBuf,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
}

struct Process {
    machine: Machine,
    role: Role,
    child: Child,
}

impl Fleet {
    /// Creates a fleet without processes; settings, data and logs are written to `work_dir`.
    pub fn new(executable: PathBuf, work_dir: PathBuf, seeds: Vec<SocketAddr>) -> Fleet {
        Fleet {
            executable,
            work_dir,
            seeds,
            processes: Vec::new(),
        }
    }

    /// Starts every role of `machines` for the first time.
    ///
    /// # Errors
    /// If a directory or a file cannot be created, or a process cannot be started.
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

    /// Kills the process of `role` on `machine` (SIGKILL).
    ///
    /// # Errors
    /// If there is no such process, or it cannot be killed.
    pub fn kill(&mut self, machine: &Machine, role: Role) -> io::Result<()> {
        let process = self.find(machine, role)?;
        process.child.kill()?;
        process.child.wait().map(drop)
    }

    /// Restarts a killed process on its existing data.
    ///
    /// # Errors
    /// If there is no such process, or it cannot be started.
    pub fn restart(&mut self, machine: &Machine, role: Role) -> io::Result<()> {
        let child = self.spawn(machine, role, false)?;
        self.find(machine, role)?.child = child;
        Ok(())
    }

    /// Names of the processes that have exited; before [`Fleet::stop`], an exit is unexpected.
    pub fn exited(&mut self) -> Vec<String> {
        let has_exited = |process: &mut Process| !matches!(process.child.try_wait(), Ok(None));
        let exited = self
            .processes
            .iter_mut()
            .filter_map(|process| has_exited(process).then(|| process.name()));
        exited.collect()
    }

    /// Sends SIGTERM to all processes and waits for their exit, at most for the grace period.
    /// Returns the number of processes that are still running; dropping the fleet kills them.
    pub async fn stop(&mut self) -> usize {
        for process in &self.processes {
            // A process that has already exited needs no signal.
            let _ = kill_process(Pid::from_child(&process.child), Signal::TERM);
        }
        let deadline = Instant::now() + GRACE_PERIOD;
        while self.running_count() > 0 && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        self.running_count()
    }

    fn running_count(&mut self) -> usize {
        self.processes
            .iter_mut()
            .filter_map(|process| process.child.try_wait().ok())
            .filter(Option::is_none)
            .count()
    }

    fn find(&mut self, machine: &Machine, role: Role) -> io::Result<&mut Process> {
        let matches =
            |process: &&mut Process| process.machine.name == machine.name && process.role == role;
        let found = self.processes.iter_mut().find(matches);
        found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no such process in the fleet"))
    }

    fn spawn(&self, machine: &Machine, role: Role, bootstrap: bool) -> io::Result<Child> {
        let name = format!("{}-{}", machine.name, role.name());
        let data_path = self.work_dir.join(&name);
        std::fs::create_dir_all(&data_path)?;
        let settings = self.work_dir.join(format!("{name}.toml"));
        let context = SettingsContext {
            seeds: &self.seeds,
            bootstrap,
            data_path: &data_path,
        };
        std::fs::write(&settings, render_settings(machine, role, &context))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.work_dir.join(format!("{name}.log")))?;
        Command::new(&self.executable)
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
            // A failure to kill a process cannot be handled in a destructor.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
