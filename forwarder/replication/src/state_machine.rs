//! What each instance of a record's group keeps: the record itself, told by the ledger's frames, and whose it
//! is. All that are kept here can be looked into by whoever takes events.

use std::sync::{Arc, Mutex, MutexGuard, Weak};

use plankhill_event_log::EventTable;
use plankhill_raft_groups::{CorruptSnapshot, GroupId, Incarnation, StateMachine, Term};

/// Ahead of a snapshot.
const MAGIC: &[u8] = b"plankhill record 1\n";
/// Ahead of a command's frames: the founder and the number of the group that it is for.
const HEAD: usize = 12;

#[derive(Default)]
struct Kept {
    /// None until the first command.
    group: Option<GroupId>,
    /// Who proposed last: the owner, or one that was.
    owner: Option<Incarnation>,
    record: EventTable,
}

type Shared = Arc<Mutex<Kept>>;

/// The records that this instance keeps, its own and others'.
#[derive(Clone, Default)]
pub struct LocalReplicas(Arc<Mutex<Vec<Weak<Mutex<Kept>>>>>);

impl LocalReplicas {
    /// The empty machine of a new group.
    pub fn new_state_machine(&self) -> EventLogStateMachine {
        let kept = Shared::default();
        let mut all = locked(&self.0);
        all.retain(|kept| kept.strong_count() > 0);
        all.push(Arc::downgrade(&kept));
        EventLogStateMachine(kept)
    }

    /// Whether any record kept here is such: told its group, who proposed in it last, and whether it holds an
    /// event of that key.
    pub fn any(
        &self,
        key: u64,
        mut is_such: impl FnMut(GroupId, Incarnation, bool) -> bool,
    ) -> bool {
        locked(&self.0)
            .iter()
            .filter_map(Weak::upgrade)
            .any(|kept| {
                let kept = locked(&kept);
                let of = kept.group.zip(kept.owner);
                of.is_some_and(|(group, owner)| {
                    is_such(group, owner, kept.record.contains_order_key(key))
                })
            })
    }
}

/// A thread that panicked left what is whole: nothing is changed half.
fn locked<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Commands are the frames that one round of the owner marked. Frames that make no sense change nothing, and
/// what follows a torn one in its command is not read: each instance reads the same.
pub struct EventLogStateMachine(Shared);

/// A command for the group, of these frames.
pub fn encode_command(group: GroupId, frames: &[u8]) -> Vec<u8> {
    let mut command = Vec::with_capacity(HEAD + frames.len());
    command.extend_from_slice(&group.founder.0.to_le_bytes());
    command.extend_from_slice(&group.number.to_le_bytes());
    command.extend_from_slice(frames);
    command
}

/// The group and the frames of a command.
pub fn decode_command(command: &[u8]) -> Option<(GroupId, &[u8])> {
    let (head, frames) = command.split_at_checked(HEAD)?;
    let founder = Incarnation(u64::from_le_bytes(head[..8].try_into().ok()?));
    Some((
        GroupId {
            founder,
            number: u32::from_le_bytes(head[8..].try_into().ok()?),
        },
        frames,
    ))
}

impl StateMachine for EventLogStateMachine {
    fn apply(&mut self, proposer: Incarnation, _term: Term, command: &[u8]) {
        let Some((group, frames)) = decode_command(command) else {
            return;
        };
        let mut kept = locked(&self.0);
        if *kept.group.get_or_insert(group) == group {
            kept.owner = Some(proposer);
            kept.record.apply_frames(frames);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let kept = locked(&self.0);
        let mut bytes = MAGIC.to_vec();
        let group = kept.group.unwrap_or(GroupId {
            founder: Incarnation(0),
            number: 0,
        });
        bytes.extend_from_slice(&encode_command(
            group,
            &kept.owner.unwrap_or(Incarnation(0)).0.to_le_bytes(),
        ));
        kept.record.write_frames(&mut bytes);
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), CorruptSnapshot> {
        let kept = read_all(snapshot)?;
        *locked(&self.0) = kept;
        Ok(())
    }

    fn size(&self) -> usize {
        locked(&self.0).record.reserved_bytes()
    }
}

fn read_all(snapshot: &[u8]) -> Result<Kept, CorruptSnapshot> {
    let rest = snapshot.strip_prefix(MAGIC).ok_or(CorruptSnapshot)?;
    let (group, rest) = decode_command(rest).ok_or(CorruptSnapshot)?;
    let (owner, frames) = rest.split_at_checked(8).ok_or(CorruptSnapshot)?;
    let owner = Incarnation(u64::from_le_bytes(
        owner.try_into().map_err(|_| CorruptSnapshot)?,
    ));
    let mut record = EventTable::default();
    if record.apply_frames(frames) != frames.len() {
        return Err(CorruptSnapshot);
    }
    // An incarnation is never zero.
    let there = |who: Incarnation| who.0 != 0;
    Ok(Kept {
        group: Some(group).filter(|g| there(g.founder)),
        owner: Some(owner).filter(|o| there(*o)),
        record,
    })
}

/// The record out of a snapshot, as an heir is told it.
pub fn decode_snapshot(snapshot: &[u8]) -> Result<EventTable, CorruptSnapshot> {
    read_all(snapshot).map(|kept| kept.record)
}
