//! The disk thread, which writes all requests of a group that arrived during a sync in one frame with one sync. A
//! failed write is retried; only synced writes are acknowledged. The groups thread sends [`ToDisk`] and receives
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

/// A request to the disk thread.
pub enum ToDisk {
    /// A write of one group.
    Persist {
        /// The group.
        group: GroupId,
        /// The write.
        request: PersistRequest,
    },
    /// Creates the file of a new group.
    CreateGroup {
        /// The group.
        group: GroupId,
        /// The purpose of the group.
        purpose: Purpose,
        /// The initial state of the group.
        state: PersistedState,
    },
    /// Removes a dissolved group's file.
    RemoveGroup {
        /// The group.
        group: GroupId,
    },
    /// Stores the identity.
    StoreIdentity {
        /// The identity to store.
        identity: Identity,
        /// The token returned by [`FromDisk::Stored`].
        token: u64,
    },
    /// Stores the known starts.
    StoreKnownStarts {
        /// The known starts to store.
        known_starts: KnownStarts,
        /// The token returned by [`FromDisk::Stored`].
        token: u64,
    },
}

/// An acknowledgement of synced data from the disk thread.
#[derive(Debug)]
pub enum FromDisk {
    /// All writes of a group up to a number are synced.
    Persisted {
        /// The group.
        group: GroupId,
        /// The number of the last synced write.
        number: u64,
        /// The length of the group's file, in bytes.
        file_length: u64,
    },
    /// The file of a new group is synced.
    GroupCreated {
        /// The group.
        group: GroupId,
    },
    /// The identity or the known starts are synced.
    Stored {
        /// The token of the request.
        token: u64,
    },
}

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum sleep of the thread when no write awaits a retry.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The disk thread, which owns the groups' files.
pub struct DiskThread {
    /// The instance's folder.
    pub folder: PathBuf,
    /// The requests to process.
    pub inbox: Consumer<ToDisk>,
    /// The acknowledgements of synced data.
    pub outbox: RingSender<FromDisk>,
    /// The open logs of the groups.
    pub logs: BTreeMap<GroupId, GroupLog>,
    /// The logger for failed writes.
    pub logger: Logger,
    /// Stops the thread.
    pub stop: Arc<AtomicBool>,
}

/// The pending writes to one group's file, in order.
#[derive(Default)]
struct GroupQueue {
    requests: VecDeque<PersistRequest>,
    retry_at: Option<Instant>,
}

/// The pending requests.
#[derive(Default)]
struct Queues {
    groups: BTreeMap<GroupId, GroupQueue>,
    /// The requests that do not append to a group's log, retried likewise.
    folder_requests: VecDeque<ToDisk>,
    folder_retry_at: Option<Instant>,
}

fn is_due(retry_at: Option<Instant>) -> bool {
    retry_at.is_none_or(|at| Instant::now() >= at)
}

impl DiskThread {
    /// Runs until the thread is stopped or the groups thread has ended.
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
            let is_waiting = is_retrying || self.outbox.is_backlogged();
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
                    queues.folder_requests.push_back(request);
                }
                ToDisk::CreateGroup { .. }
                | ToDisk::StoreIdentity { .. }
                | ToDisk::StoreKnownStarts { .. } => queues.folder_requests.push_back(request),
            }
        }
    }

    /// Processes the requests that are due. Returns whether any request awaits a retry.
    fn write_all(&mut self, queues: &mut Queues) -> bool {
        if is_due(queues.folder_retry_at) {
            queues.folder_retry_at = match self.execute_folder_requests(&mut queues.folder_requests)
            {
                Ok(()) => None,
                Err(error) => Some(self.retry_after(&error)),
            };
        }
        let mut is_retrying = queues.folder_retry_at.is_some();
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
            // The file of the group could not be created yet, or the group was removed.
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
            // Number zero needs no acknowledgement.
            None | Some(0) => {}
            Some(number) => self.outbox.send(FromDisk::Persisted {
                group,
                number,
                file_length,
            }),
        }
    }

    /// Executes the requests in order, up to the first failure.
    fn execute_folder_requests(&mut self, requests: &mut VecDeque<ToDisk>) -> io::Result<()> {
        while let Some(request) = requests.front() {
            if let Some(done) = self.execute(request)? {
                self.outbox.send(done);
            }
            requests.pop_front();
        }
        Ok(())
    }

    fn execute(&mut self, request: &ToDisk) -> io::Result<Option<FromDisk>> {
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
            // `Persist` requests are queued per group instead.
            ToDisk::Persist { .. } => Ok(None),
        }
    }
}
