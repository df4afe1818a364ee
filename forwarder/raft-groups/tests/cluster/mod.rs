//! Several instances in one process, each with its own threads, folder and loopback address. No instance feeds its
//! watchdog, so the kernel timer never runs; it would kill the test process (`child_process.rs` tests the watchdog).

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use plankhill_forwarder_config::fleet::{read, FleetConfig};
use plankhill_raft_groups::{
    start, GroupEvent, GroupEventStream, GroupId, GroupRequest, Incarnation, Purpose, RaftGroups,
    StartOptions, StateMachine,
};
use plankhill_raft_groups::{CorruptSnapshot, Term};
use tempfile::TempDir;

/// A state machine that concatenates the bytes of all commands, until the command `end` clears them.
#[derive(Default)]
pub struct ByteLog(Vec<u8>);

impl StateMachine for ByteLog {
    fn apply(&mut self, _: Incarnation, _: Term, command: &[u8]) {
        match command {
            b"end" => self.0.clear(),
            _ => self.0.extend_from_slice(command),
        }
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
    fn size(&self) -> usize {
        self.0.len()
    }
}

/// The events that an instance has received.
#[derive(Default)]
pub struct ObservedEvents {
    pub led_groups: BTreeMap<GroupId, (Purpose, Vec<u8>)>,
    pub committed: Vec<(GroupId, u64)>,
    pub discarded: Vec<(GroupId, u64)>,
    pub applied: Vec<Vec<u8>>,
    pub snapshot: Option<Vec<u8>>,
    pub reports: Vec<Vec<u8>>,
    pub peers: BTreeMap<String, Incarnation>,
}

/// Captures the log lines of an instance.
#[derive(Clone, Default)]
struct LogCapture(Arc<Mutex<Vec<String>>>);

impl slog::Drain for LogCapture {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut line = LogLine(record.msg().to_string());
        slog::KV::serialize(&record.kv(), record, &mut line).unwrap();
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

struct LogLine(String);

impl slog::Serializer for LogLine {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments) -> slog::Result {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

pub struct RunningInstance {
    log: LogCapture,
    pub handle: RaftGroups,
    events: GroupEventStream,
    pub observed: ObservedEvents,
}

pub struct Cluster {
    pub fleet: FleetConfig,
    pub folders: Vec<TempDir>,
    pub running: Vec<Option<RunningInstance>>,
}

/// Returns free addresses. All ports are bound at the same time, so that they differ.
fn free_addresses(count: usize) -> Vec<String> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    listeners
        .iter()
        .map(|l| l.local_addr().unwrap().to_string())
        .collect()
}

impl RunningInstance {
    /// Counts the log lines that contain the text.
    pub fn log_count(&self, line: &str) -> usize {
        self.log
            .0
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains(line))
            .count()
    }
}

impl Cluster {
    pub fn new(count: usize, extra_config: &str) -> Self {
        Cluster::with_timing(
            count,
            "heartbeat_ms = 50\nelection_ms = 1500\nstall_ms = 1200\nreplace_ms = 3000\n",
            extra_config,
        )
    }

    pub fn with_timing(count: usize, timing: &str, extra_config: &str) -> Self {
        let mut text = "fleet = \"t\"\n".to_owned();
        for (at, address) in free_addresses(count).iter().enumerate() {
            text += &format!(
                "[[instances]]\nname = \"i{at}\"\naddress = \"{address}\"\nmachine = \"m{at}\"\n"
            );
        }
        text += &format!("[timing]\n{timing}{extra_config}");
        let mut fleet = read(&text).unwrap();
        fleet.may_create_control_group = true;
        let folders = (0..count).map(|_| TempDir::new().unwrap()).collect();
        let mut cluster = Cluster {
            fleet,
            folders,
            running: (0..count).map(|_| None).collect(),
        };
        for at in 0..count {
            cluster.start(at);
        }
        cluster
    }

    pub fn start(&mut self, at: usize) {
        self.running[at] = Some(self.try_start(at).unwrap());
    }

    /// Starts an instance, with retries while its port is in use: a connection of another test may have been assigned
    /// the port while the instance was down.
    pub fn try_start(&self, at: usize) -> std::io::Result<RunningInstance> {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            match self.try_start_once(at) {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                result => return result,
            }
        }
    }

    fn try_start_once(&self, at: usize) -> std::io::Result<RunningInstance> {
        let log = LogCapture::default();
        let (handle, events) = start(StartOptions {
            fleet: self.fleet.clone(),
            name: format!("i{at}"),
            folder: self.folders[at].path().join("fleet"),
            logger: slog::Logger::root(log.clone(), slog::o!()),
            state_machines: Box::new(|_| Box::<ByteLog>::default()),
        })?;
        Ok(RunningInstance {
            log,
            handle,
            events,
            observed: ObservedEvents::default(),
        })
    }

    /// Stops an instance abruptly from the point of view of the others.
    pub fn stop(&mut self, at: usize) {
        self.running[at] = None;
    }

    /// Stops an instance and replaces its folder by an empty one.
    pub fn stop_and_lose_folder(&mut self, at: usize) {
        self.stop(at);
        self.folders[at] = TempDir::new().unwrap();
    }

    /// Receives events until the condition is true.
    pub fn wait_until(
        &mut self,
        description: &str,
        mut condition: impl FnMut(&mut Cluster) -> bool,
    ) {
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            self.receive_events();
            if condition(self) {
                return;
            }
            let logs = || {
                self.running
                    .iter()
                    .flatten()
                    .map(|r| r.log.0.lock().unwrap().clone())
            };
            assert!(
                Instant::now() < end,
                "timed out waiting until {description}: {:#?}",
                logs().collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn receive_events(&mut self) {
        for running in self.running.iter_mut().flatten() {
            while let Some(event) = running.events.try_next() {
                let observed = &mut running.observed;
                match event {
                    GroupEvent::Elected {
                        group,
                        purpose,
                        state,
                        ..
                    } => drop(observed.led_groups.insert(group, (purpose, state))),
                    GroupEvent::Deposed { group } => drop(observed.led_groups.remove(&group)),
                    GroupEvent::Committed { group, number } => {
                        observed.committed.push((group, number))
                    }
                    GroupEvent::Discarded { group, number } => {
                        observed.discarded.push((group, number))
                    }
                    GroupEvent::Applied { command, .. } => observed.applied.push(command),
                    GroupEvent::SnapshotInstalled { state } => observed.snapshot = Some(state),
                    GroupEvent::ReportReceived { body, .. } => observed.reports.push(body),
                    GroupEvent::PeerChanged {
                        name,
                        incarnation,
                        reachable: true,
                    } => {
                        observed.peers.insert(name.0.to_string(), incarnation);
                    }
                    GroupEvent::PeerChanged { name, .. } => drop(observed.peers.remove(&*name.0)),
                }
            }
        }
    }

    pub fn instance(&mut self, at: usize) -> &mut RunningInstance {
        self.running[at].as_mut().unwrap()
    }

    /// Founds an event log on an instance.
    pub fn found_event_log(&mut self, at: usize) -> GroupId {
        let before: Vec<GroupId> = self
            .instance(at)
            .observed
            .led_groups
            .keys()
            .copied()
            .collect();
        self.instance(at)
            .handle
            .try_request(GroupRequest::Create {
                purpose: Purpose::EventLog,
            })
            .unwrap();
        self.wait_until("the event log has a leader", |cluster| {
            cluster.find_new_event_log(at, &before).is_some()
        });
        self.find_new_event_log(at, &before).unwrap()
    }

    fn find_new_event_log(&mut self, at: usize, before: &[GroupId]) -> Option<GroupId> {
        let leads = &self.instance(at).observed.led_groups;
        let new = leads
            .iter()
            .find(|(g, (purpose, _))| *purpose == Purpose::EventLog && !before.contains(g));
        new.map(|(group, _)| *group)
    }

    pub fn propose(&mut self, at: usize, group: GroupId, number: u64, command: Vec<u8>) {
        self.instance(at)
            .handle
            .try_request(GroupRequest::Propose {
                group,
                number,
                command,
            })
            .unwrap();
    }

    pub fn commit(&mut self, at: usize, group: GroupId, number: u64, command: Vec<u8>) {
        self.propose(at, group, number, command);
        self.wait_until("the command is committed", |cluster| {
            cluster
                .instance(at)
                .observed
                .committed
                .contains(&(group, number))
        });
    }
}

/// Returns the instance that leads the group, according to the received events.
pub fn leader(cluster: &mut Cluster, group: GroupId) -> Option<usize> {
    (0..cluster.running.len()).find(|at| {
        let running = cluster.running[*at].as_ref();
        running.is_some_and(|r| r.observed.led_groups.contains_key(&group))
    })
}
