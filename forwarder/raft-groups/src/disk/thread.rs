//! The disk's thread: a group's changes that came while it synced go into one frame and one sync. A disk that
//! refuses is tried again; what it has not synced is not acknowledged.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rtrb::Consumer;
use slog::{warn, Logger};

use super::folder::{self, Identity, Met};
use super::log::Log;
use crate::core::effects::Persist;
use crate::core::Kept;
use crate::ring::Sender;
use crate::{GroupId, Purpose};

/// To the disk.
pub enum ToDisk {
    Group {
        group: GroupId,
        persist: Persist,
    },
    /// A new group.
    Make {
        group: GroupId,
        purpose: Purpose,
        kept: Kept,
    },
    /// A dissolved one.
    Bury {
        group: GroupId,
    },
    Identity {
        identity: Identity,
        token: u64,
    },
    Met {
        met: Met,
        token: u64,
    },
}

/// From the disk: what is synced.
#[derive(Debug)]
pub enum FromDisk {
    Group {
        group: GroupId,
        number: u64,
        bytes: u64,
    },
    Made {
        group: GroupId,
    },
    Noted {
        token: u64,
    },
}

const AGAIN_AFTER: Duration = Duration::from_millis(100);

pub struct Disk {
    pub folder: PathBuf,
    pub inbox: Consumer<ToDisk>,
    pub outbox: Sender<FromDisk>,
    pub logs: BTreeMap<GroupId, Log>,
    pub log: Logger,
    pub stop: Arc<AtomicBool>,
}

/// What waits for one group, in its order.
#[derive(Default)]
struct Queue {
    all: VecDeque<Persist>,
    again_at: Option<Instant>,
}

impl Disk {
    pub fn run(mut self) {
        let mut queues: BTreeMap<GroupId, Queue> = BTreeMap::new();
        // Those that concern no log, tried again like the rest.
        let mut others: VecDeque<ToDisk> = VecDeque::new();
        let mut again_at: Option<Instant> = None;
        loop {
            while let Ok(order) = self.inbox.pop() {
                match order {
                    ToDisk::Group { group, persist } => {
                        queues.entry(group).or_default().all.push_back(persist)
                    }
                    other => {
                        if let ToDisk::Bury { group } = &other {
                            queues.remove(group);
                        }
                        others.push_back(other);
                    }
                }
            }
            if again_at.is_none_or(|at| Instant::now() >= at) {
                again_at = self
                    .notes(&mut others)
                    .then(|| Instant::now() + AGAIN_AFTER);
            }
            let mut late = again_at.is_some();
            for (group, queue) in &mut queues {
                if queue.again_at.is_none_or(|at| Instant::now() >= at) {
                    self.write(*group, queue);
                }
                late |= !queue.all.is_empty();
            }
            queues.retain(|_, queue| !queue.all.is_empty());
            self.outbox.flush();
            if !self.inbox.is_empty() {
                continue;
            }
            if self.stop.load(Ordering::Acquire) || self.inbox.is_abandoned() {
                return;
            }
            let clogged = late || self.outbox.is_clogged();
            std::thread::park_timeout(if clogged {
                AGAIN_AFTER / 4
            } else {
                Duration::from_secs(1)
            });
        }
    }

    fn write(&mut self, group: GroupId, queue: &mut Queue) {
        queue.again_at = None;
        let Some(log) = self.logs.get_mut(&group) else {
            // Its file can't be made yet, or it was dissolved.
            queue.again_at = Some(Instant::now() + AGAIN_AFTER);
            return;
        };
        let all = queue.all.make_contiguous();
        let done = match log.take(all) {
            Ok(()) => all.len(),
            Err((done, error)) => {
                warn!(self.log, "disk refuses, tried again"; "error" => %error);
                queue.again_at = Some(Instant::now() + AGAIN_AFTER);
                done
            }
        };
        let number = queue.all.drain(..done).map(|p| p.number).max();
        if let Some(number) = number.filter(|n| *n > 0) {
            self.outbox.send(FromDisk::Group {
                group,
                number,
                bytes: log.bytes(),
            });
        }
    }

    /// True if one of them failed and has to be tried again.
    fn notes(&mut self, others: &mut VecDeque<ToDisk>) -> bool {
        while let Some(order) = others.pop_front() {
            match self.note(&order) {
                Ok(Some(done)) => self.outbox.send(done),
                Ok(None) => {}
                Err(error) => {
                    warn!(self.log, "disk refuses, tried again"; "error" => %error);
                    others.push_front(order);
                    return true;
                }
            }
        }
        false
    }

    fn note(&mut self, order: &ToDisk) -> io::Result<Option<FromDisk>> {
        Ok(match order {
            ToDisk::Make {
                group,
                purpose,
                kept,
            } => {
                let log = Log::make(&self.folder, *group, *purpose, kept)?;
                self.logs.insert(*group, log);
                Some(FromDisk::Made { group: *group })
            }
            ToDisk::Bury { group } => {
                self.logs.remove(group);
                folder::bury(&self.folder, *group)?;
                None
            }
            ToDisk::Identity { identity, token } => {
                folder::note_identity(&self.folder, identity)?;
                Some(FromDisk::Noted { token: *token })
            }
            ToDisk::Met { met, token } => {
                folder::note_met(&self.folder, met)?;
                Some(FromDisk::Noted { token: *token })
            }
            ToDisk::Group { .. } => None,
        })
    }
}
