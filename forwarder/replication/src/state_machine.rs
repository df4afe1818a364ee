//! The state machine of an event log's group: each replica keeps the [`EventTable`] that results from the
//! owner's records, and the owner. Only the groups thread (`plankhill-raft-groups`) changes a replica; the
//! forwarder's event loop reads all replicas of its process through [`LocalReplicas`].

use std::sync::{Arc, Mutex, MutexGuard, Weak};

use plankhill_event_log::EventTable;
use plankhill_raft_groups::{CorruptSnapshot, GroupId, Incarnation, StateMachine, Term};

/// The first bytes of a snapshot: its format and version.
const SNAPSHOT_HEADER: &[u8] = b"plankhill record 1\n";
/// Bytes of the group's id ahead of a command's frames: its founder, then its number, little-endian.
const GROUP_ID_LEN: usize = 12;
/// Placeholder for the group and the owner in a snapshot that has none yet: an incarnation is never zero.
const NO_INCARNATION: Incarnation = Incarnation(0);

/// The state of one replica.
#[derive(Default)]
struct Replica {
    /// `None` until the first command.
    group: Option<GroupId>,
    /// The last proposer: the current owner, or an earlier one.
    owner: Option<Incarnation>,
    table: EventTable,
}

type SharedReplica = Arc<Mutex<Replica>>;

/// The replicas of this process, of its own event log and of those of other instances.
#[derive(Clone, Default)]
pub struct LocalReplicas(Arc<Mutex<Vec<Weak<Mutex<Replica>>>>>);

impl LocalReplicas {
    /// The empty state machine of a new group.
    pub fn new_state_machine(&self) -> EventLogStateMachine {
        let replica = SharedReplica::default();
        let mut replicas = lock(&self.0);
        replicas.retain(|replica| replica.strong_count() > 0);
        replicas.push(Arc::downgrade(&replica));
        EventLogStateMachine(replica)
    }

    /// Whether `matches` is true of any replica that has a command. The arguments are its group, the last
    /// proposer in it, and whether an event of the order key `key` is pending in it.
    pub fn any(
        &self,
        key: u64,
        mut matches: impl FnMut(GroupId, Incarnation, bool) -> bool,
    ) -> bool {
        let replicas = lock(&self.0);
        replicas.iter().filter_map(Weak::upgrade).any(|replica| {
            let replica = lock(&replica);
            match (replica.group, replica.owner) {
                (Some(group), Some(owner)) => {
                    matches(group, owner, replica.table.contains_order_key(key))
                }
                _ => false,
            }
        })
    }
}

/// A poisoned lock is safe to use: no change here is visible in part, so a thread that panicked left a
/// complete state.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// One replica, as driven by its Raft group. A command is the frames that one event loop iteration of the
/// owner recorded. Frames that do not fit the state change nothing, and the rest of a command after a torn
/// frame is not read, on every replica alike.
pub struct EventLogStateMachine(SharedReplica);

/// Encodes the command for `group` with these frames.
pub fn encode_command(group: GroupId, frames: &[u8]) -> Vec<u8> {
    let mut command = Vec::with_capacity(GROUP_ID_LEN + frames.len());
    command.extend_from_slice(&group.founder.0.to_le_bytes());
    command.extend_from_slice(&group.number.to_le_bytes());
    command.extend_from_slice(frames);
    command
}

/// Decodes the group and the frames of a command; `None` if the bytes are too short for one.
pub fn decode_command(command: &[u8]) -> Option<(GroupId, &[u8])> {
    let (id, frames) = command.split_at_checked(GROUP_ID_LEN)?;
    let founder = Incarnation(u64::from_le_bytes(id[..8].try_into().ok()?));
    let number = u32::from_le_bytes(id[8..].try_into().ok()?);
    Some((GroupId { founder, number }, frames))
}

impl StateMachine for EventLogStateMachine {
    fn apply(&mut self, proposer: Incarnation, _term: Term, command: &[u8]) {
        let Some((group, frames)) = decode_command(command) else {
            return;
        };
        let mut replica = lock(&self.0);
        if *replica.group.get_or_insert(group) == group {
            replica.owner = Some(proposer);
            replica.table.apply_frames(frames);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let replica = lock(&self.0);
        let group = replica.group.unwrap_or(GroupId {
            founder: NO_INCARNATION,
            number: 0,
        });
        let owner = replica.owner.unwrap_or(NO_INCARNATION);
        let mut bytes = SNAPSHOT_HEADER.to_vec();
        bytes.extend_from_slice(&encode_command(group, &owner.0.to_le_bytes()));
        replica.table.write_frames(&mut bytes);
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        let replica = decode_replica(snapshot)?;
        *lock(&self.0) = replica;
        Ok(())
    }

    fn size(&self) -> usize {
        lock(&self.0).table.reserved_bytes()
    }
}

fn decode_replica(snapshot: &[u8]) -> Result<Replica, CorruptSnapshot> {
    let rest = snapshot
        .strip_prefix(SNAPSHOT_HEADER)
        .ok_or(CorruptSnapshot)?;
    let (group, rest) = decode_command(rest).ok_or(CorruptSnapshot)?;
    let (owner, frames) = rest.split_first_chunk::<8>().ok_or(CorruptSnapshot)?;
    let owner = Incarnation(u64::from_le_bytes(*owner));
    let mut table = EventTable::default();
    if table.apply_frames(frames) != frames.len() {
        return Err(CorruptSnapshot);
    }
    Ok(Replica {
        group: Some(group).filter(|group| group.founder != NO_INCARNATION),
        owner: Some(owner).filter(|owner| *owner != NO_INCARNATION),
        table,
    })
}

/// Decodes the event table of a snapshot, which a successor resumes.
///
/// # Errors
/// The bytes are not a snapshot of an [`EventLogStateMachine`].
pub fn decode_snapshot(snapshot: &[u8]) -> Result<EventTable, CorruptSnapshot> {
    decode_replica(snapshot).map(|replica| replica.table)
}
