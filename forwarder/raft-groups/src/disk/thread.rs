//! The disk's thread: a group's writes that came while it synced go into one frame and one sync. A disk that refuses
//! is tried again; what is not synced is not acknowledged. The groups' thread sends [`ToDisk`] and receives
//! [`FromDisk`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rtrb::Consumer;
use slog::{warn, Logger};

use super::group_files;
use super::group_log::{GroupLog, PersistError};
use super::identity::{self, Identity};
use super::known_starts::{self, KnownStarts};
use crate::replica::effects::PersistRequest;
use crate::replica::PersistedState;
use crate::ring::RingSender;
use crate::{GroupId, Purpose};

/// To the disk.
pub enum ToDisk {
    /// A write of one group.
    Persist {
        /// The group.
        group: GroupId,
        /// The write.
        request: PersistRequest,
    },
    /// Makes a new group's file.
    CreateGroup {
        /// The group.
        group: GroupId,
        /// What the group is for.
        purpose: Purpose,
        /// Its first state.
        state: PersistedState,
    },
    /// Removes a dissolved group's file.
    RemoveGroup {
        /// The group.
        group: GroupId,
    },
    /// Stores the identity.
    StoreIdentity {
        /// To be stored.
        identity: Identity,
        /// Comes back once it is.
        token: u64,
    },
    /// Stores the known starts.
    StoreKnownStarts {
        /// To be stored.
        known_starts: KnownStarts,
        /// Comes back once they are.
        token: u64,
    },
}

/// From the disk: what is synced.
#[derive(Debug)]
pub enum FromDisk {
    /// All of a group's writes up to a number.
    Persisted {
        /// The group.
        group: GroupId,
        /// The number.
        number: u64,
        /// The length of the group's file, in bytes.
        file_length: u64,
    },
    /// A new group's file.
    GroupCreated {
        /// The group.
        group: GroupId,
    },
    /// The identity or the known starts.
    Stored {
        /// As it came.
        token: u64,
    },
}

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the thread sleeps at most where nothing is to be retried.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The disk's thread, which owns the groups' files.
pub struct DiskThread {
    /// The instance's folder.
    pub folder: PathBuf,
    /// What to write.
    pub inbox: Consumer<ToDisk>,
    /// What is written.
    pub outbox: RingSender<FromDisk>,
    /// The groups' files.
    pub logs: BTreeMap<GroupId, GroupLog>,
    /// For lines about a disk that refuses.
    pub logger: Logger,
    /// Ends the thread.
    pub stop: Arc<AtomicBool>,
}

/// The writes that wait for one group's file, in their order.
#[derive(Default)]
struct GroupQueue {
    requests: VecDeque<PersistRequest>,
    retry_at: Option<Instant>,
}

/// What waits for the disk.
#[derive(Default)]
struct Queues {
    groups: BTreeMap<GroupId, GroupQueue>,
    /// What concerns no group's log, retried like the rest.
    others: VecDeque<ToDisk>,
    others_retry_at: Option<Instant>,
}

fn is_due(retry_at: Option<Instant>) -> bool {
    retry_at.is_none_or(|at| Instant::now() >= at)
}

impl DiskThread {
    /// Runs until the thread is stopped or the groups' thread has ended.
    pub fn run(mut self) {
        let mut queues = Queues::default();
        loop {
            self.receive(&mut queues);
            let is_retrying = self.write_all(&mut queues);
            self.outbox.flush();
            if !self.inbox.is_empty() {
                continue;
            }
            if self.stop.load(Ordering::Acquire) || self.inbox.is_abandoned() {
                return;
            }
            let is_waiting = is_retrying || self.outbox.is_clogged();
            std::thread::park_timeout(if is_waiting {
                RETRY_INTERVAL / 4
            } else {
                IDLE_INTERVAL
            });
        }
    }

    fn receive(&mut self, queues: &mut Queues) {
        while let Ok(request) = self.inbox.pop() {
            match request {
                ToDisk::Persist { group, request } => {
                    queues
                        .groups
                        .entry(group)
                        .or_default()
                        .requests
                        .push_back(request);
                }
                ToDisk::RemoveGroup { group } => {
                    queues.groups.remove(&group);
                    queues.others.push_back(request);
                }
                ToDisk::CreateGroup { .. }
                | ToDisk::StoreIdentity { .. }
                | ToDisk::StoreKnownStarts { .. } => queues.others.push_back(request),
            }
        }
    }

    /// Writes what is due. True where something has to be retried.
    fn write_all(&mut self, queues: &mut Queues) -> bool {
        if is_due(queues.others_retry_at) {
            queues.others_retry_at = match self.carry_out_others(&mut queues.others) {
                Ok(()) => None,
                Err(error) => Some(self.retry_after(&error)),
            };
        }
        let mut is_retrying = queues.others_retry_at.is_some();
        for (group, queue) in &mut queues.groups {
            if is_due(queue.retry_at) {
                self.persist(*group, queue);
            }
            is_retrying |= !queue.requests.is_empty();
        }
        queues.groups.retain(|_, queue| !queue.requests.is_empty());
        is_retrying
    }

    fn retry_after(&self, error: &io::Error) -> Instant {
        warn!(self.logger, "disk write failed, retrying"; "error" => %error);
        Instant::now() + RETRY_INTERVAL
    }

    fn persist(&mut self, group: GroupId, queue: &mut GroupQueue) {
        queue.retry_at = None;
        let Some(log) = self.logs.get_mut(&group) else {
            // Its file can't be made yet, or the group was dissolved.
            queue.retry_at = Some(Instant::now() + RETRY_INTERVAL);
            return;
        };
        let requests = queue.requests.make_contiguous();
        let result = log.persist(requests);
        let file_length = log.file_length();
        let persisted = match result {
            Ok(()) => requests.len(),
            Err(PersistError { persisted, error }) => {
                queue.retry_at = Some(self.retry_after(&error));
                persisted
            }
        };
        let newest = queue
            .requests
            .drain(..persisted)
            .map(|request| request.number)
            .max();
        match newest {
            // Nothing waits for a number of zero.
            None | Some(0) => {}
            Some(number) => self.outbox.send(FromDisk::Persisted {
                group,
                number,
                file_length,
            }),
        }
    }

    /// Carries out the requests in their order, up to one that fails.
    fn carry_out_others(&mut self, others: &mut VecDeque<ToDisk>) -> io::Result<()> {
        while let Some(request) = others.front() {
            if let Some(done) = self.carry_out(request)? {
                self.outbox.send(done);
            }
            others.pop_front();
        }
        Ok(())
    }

    fn carry_out(&mut self, request: &ToDisk) -> io::Result<Option<FromDisk>> {
        match request {
            ToDisk::CreateGroup {
                group,
                purpose,
                state,
            } => {
                let log = GroupLog::create(&self.folder, *group, *purpose, state)?;
                self.logs.insert(*group, log);
                Ok(Some(FromDisk::GroupCreated { group: *group }))
            }
            ToDisk::RemoveGroup { group } => {
                self.logs.remove(group);
                group_files::remove_dissolved(&self.folder, *group)?;
                Ok(None)
            }
            ToDisk::StoreIdentity { identity, token } => {
                identity::store(&self.folder, identity)?;
                Ok(Some(FromDisk::Stored { token: *token }))
            }
            ToDisk::StoreKnownStarts {
                known_starts,
                token,
            } => {
                known_starts::store(&self.folder, known_starts)?;
                Ok(Some(FromDisk::Stored { token: *token }))
            }
            // Waits in its group's queue instead.
            ToDisk::Persist { .. } => Ok(None),
        }
    }
}
