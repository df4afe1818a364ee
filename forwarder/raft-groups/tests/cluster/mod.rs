//! Several instances in one process, each with its threads, folder and address on the loopback. None feeds its
//! watchdog, so that the kernel's timer never runs: it would end the test with them (`child_process.rs` has its test).

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

/// Keeps the bytes of all commands, in their order, up to one that ends them all.
#[derive(Default)]
pub struct Bytes(Vec<u8>);

impl StateMachine for Bytes {
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

/// What an instance heard.
#[derive(Default)]
pub struct Heard {
    pub leads: BTreeMap<GroupId, (Purpose, Vec<u8>)>,
    pub committed: Vec<(GroupId, u64)>,
    pub void: Vec<(GroupId, u64)>,
    pub applied: Vec<Vec<u8>>,
    pub replaced: Option<Vec<u8>>,
    pub reports: Vec<Vec<u8>>,
    pub up: BTreeMap<String, Incarnation>,
}

/// Keeps the log's lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl slog::Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Line(record.msg().to_string());
        slog::KV::serialize(&record.kv(), record, &mut line).unwrap();
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

struct Line(String);

impl slog::Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments) -> slog::Result {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

pub struct Running {
    lines: Lines,
    pub handle: RaftGroups,
    news: GroupEventStream,
    pub heard: Heard,
}

pub struct Cluster {
    pub fleet: FleetConfig,
    pub folders: Vec<TempDir>,
    pub running: Vec<Option<Running>>,
}

/// Free addresses: bound once, so that the system gives other ports to others meanwhile.
fn addresses(count: usize) -> Vec<String> {
    let all: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    all.iter()
        .map(|l| l.local_addr().unwrap().to_string())
        .collect()
}

impl Running {
    /// How often a line was logged.
    pub fn lines(&self, line: &str) -> usize {
        self.lines
            .0
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains(line))
            .count()
    }
}

impl Cluster {
    pub fn new(count: usize, more: &str) -> Self {
        Cluster::timed(
            count,
            "heartbeat_ms = 50\nelection_ms = 1500\nstall_ms = 1200\nreplace_ms = 3000\n",
            more,
        )
    }

    pub fn timed(count: usize, timing: &str, more: &str) -> Self {
        let mut text = "fleet = \"t\"\n".to_owned();
        for (at, address) in addresses(count).iter().enumerate() {
            text += &format!(
                "[[instances]]\nname = \"i{at}\"\naddress = \"{address}\"\nmachine = \"m{at}\"\n"
            );
        }
        text += &format!("[timing]\n{timing}{more}");
        let mut fleet = read(&text).unwrap();
        fleet.found = true;
        let folders = (0..count).map(|_| TempDir::new().unwrap()).collect();
        let mut all = Cluster {
            fleet,
            folders,
            running: (0..count).map(|_| None).collect(),
        };
        for at in 0..count {
            all.start(at);
        }
        all
    }

    pub fn start(&mut self, at: usize) {
        self.running[at] = Some(self.started(at).unwrap());
    }

    /// While it was down, the system may have lent its port to a call of another test: it comes back soon.
    pub fn started(&self, at: usize) -> std::io::Result<Running> {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            match self.started_once(at) {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                started => return started,
            }
        }
    }

    fn started_once(&self, at: usize) -> std::io::Result<Running> {
        let lines = Lines::default();
        let (handle, news) = start(StartOptions {
            fleet: self.fleet.clone(),
            name: format!("i{at}"),
            folder: self.folders[at].path().join("fleet"),
            log: slog::Logger::root(lines.clone(), slog::o!()),
            state_machines: Box::new(|_| Box::<Bytes>::default()),
        })?;
        Ok(Running {
            lines,
            handle,
            news,
            heard: Heard::default(),
        })
    }

    /// Ends it: its threads at once, as far as the others can tell.
    pub fn stop(&mut self, at: usize) {
        self.running[at] = None;
    }

    /// Ends it and loses its folder.
    pub fn lose(&mut self, at: usize) {
        self.stop(at);
        self.folders[at] = TempDir::new().unwrap();
    }

    /// Waits until it is so.
    pub fn until(&mut self, what: &str, mut so: impl FnMut(&mut Cluster) -> bool) {
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            self.pump();
            if so(self) {
                return;
            }
            let lines = || {
                self.running
                    .iter()
                    .flatten()
                    .map(|r| r.lines.0.lock().unwrap().clone())
            };
            assert!(
                Instant::now() < end,
                "waited in vain until {what}: {:#?}",
                lines().collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn pump(&mut self) {
        for running in self.running.iter_mut().flatten() {
            while let Some(news) = running.news.try_next() {
                let heard = &mut running.heard;
                match news {
                    GroupEvent::Elected {
                        group,
                        purpose,
                        state,
                        ..
                    } => drop(heard.leads.insert(group, (purpose, state))),
                    GroupEvent::Deposed { group } => drop(heard.leads.remove(&group)),
                    GroupEvent::Committed { group, number } => {
                        heard.committed.push((group, number))
                    }
                    GroupEvent::Discarded { group, number } => heard.void.push((group, number)),
                    GroupEvent::Applied { command, .. } => heard.applied.push(command),
                    GroupEvent::SnapshotInstalled { state } => heard.replaced = Some(state),
                    GroupEvent::ReportReceived { body, .. } => heard.reports.push(body),
                    GroupEvent::PeerChanged {
                        name,
                        incarnation,
                        reachable: true,
                    } => {
                        heard.up.insert(name.0.to_string(), incarnation);
                    }
                    GroupEvent::PeerChanged { name, .. } => drop(heard.up.remove(&*name.0)),
                }
            }
        }
    }

    pub fn at(&mut self, at: usize) -> &mut Running {
        self.running[at].as_mut().unwrap()
    }

    /// Founds a record on an instance.
    pub fn record(&mut self, at: usize) -> GroupId {
        let before: Vec<GroupId> = self.at(at).heard.leads.keys().copied().collect();
        self.at(at)
            .handle
            .try_request(GroupRequest::Create {
                purpose: Purpose::EventLog,
            })
            .unwrap();
        self.until("a record is led", |all| {
            all.new_record(at, &before).is_some()
        });
        self.new_record(at, &before).unwrap()
    }

    fn new_record(&mut self, at: usize, before: &[GroupId]) -> Option<GroupId> {
        let leads = &self.at(at).heard.leads;
        let new = leads
            .iter()
            .find(|(g, (purpose, _))| *purpose == Purpose::EventLog && !before.contains(g));
        new.map(|(group, _)| *group)
    }

    pub fn propose(&mut self, at: usize, group: GroupId, number: u64, command: Vec<u8>) {
        self.at(at)
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
        self.until("it counts", |all| {
            all.at(at).heard.committed.contains(&(group, number))
        });
    }
}

/// Who leads the group, as far as it was told.
pub fn leader(all: &mut Cluster, group: GroupId) -> Option<usize> {
    (0..all.running.len()).find(|at| {
        let running = all.running[*at].as_ref();
        running.is_some_and(|r| r.heard.leads.contains_key(&group))
    })
}
