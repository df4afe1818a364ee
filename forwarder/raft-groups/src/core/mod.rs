//! One group on one instance, without I/O: handed messages, ticks, acknowledgements of the disk and proposals;
//! hands back [`Effects`]. Around raft's node it keeps what raft does not promise: a voter votes for nobody
//! within an election span after it heard its leader or was started, whatever else it hears; an owner holds
//! only as long as that promise of a majority surely lasts.

mod apply;
pub mod effects;
mod inputs;
mod kept;
mod open;
mod pace;
mod ready;
pub mod stamp;
pub mod store;
mod voters;

use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

use raft::eraftpb::{HardState, Message};
use raft::{RawNode, StateRole};

use crate::{GroupId, Incarnation, Purpose, StateMachine, Term};
use effects::{Effects, Hard};
pub use kept::Kept;
use open::Open;
pub use pace::Pace;
use stamp::{Counted, Whole};
use store::Store;

/// Why a group can't go on here. It says nothing more to anyone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its leader knows of more than is here: what was acknowledged has gone, as with an older copy.
    Forgot,
    /// A snapshot or a log that can't be read.
    Torn,
}

pub struct Core {
    pub group: GroupId,
    pub purpose: Purpose,
    me: Incarnation,
    node: RawNode<Store>,
    machine: Box<dyn StateMachine>,
    counted: Counted,
    pace: Pace,
    /// Ticks since its leader was heard, or it led itself.
    heard: u32,
    led: bool,
    /// Told that it leads, since this term.
    leads: Option<Term>,
    lease: f64,
    /// Heartbeats under way whose acknowledgement extends the lease: their number and the time of sending.
    beats: VecDeque<(u64, f64)>,
    beat: u64,
    ticks: u32,
    open: Open,
    /// Messages that wait for the disk, by the number they wait for and whether it was handed anything.
    waiting: VecDeque<(u64, bool, Vec<Message>)>,
    /// The last number that the disk has acknowledged.
    synced: u64,
    hard: Hard,
    applied: u64,
    /// The last change of voters that was applied.
    changed: u64,
    dissolved: bool,
    fault: Option<Fault>,
    /// Voters that were being sent a state when last looked at.
    sent_a_state: Vec<u64>,
    draws: u64,
    drawn_for: (u64, StateRole, u64),
}

impl Core {
    pub fn new(
        group: GroupId,
        purpose: Purpose,
        me: Incarnation,
        kept: Kept,
        mut machine: Box<dyn StateMachine>,
        pace: Pace,
    ) -> Result<Self, Fault> {
        let Kept {
            base,
            hard,
            entries,
            restarted,
        } = kept;
        let mut whole = Whole {
            counted: Counted::default(),
            dissolved: false,
            machine: Vec::new(),
        };
        if base.index > 0 {
            whole = postcard::from_bytes(&base.whole).map_err(|_| Fault::Torn)?;
            machine.restore(&whole.machine).map_err(|_| Fault::Torn)?;
        }
        let last = base.index + entries.len() as u64;
        let commit = hard.commit.clamp(base.index, last);
        let raft_hard = HardState {
            term: hard.term,
            vote: hard.vote,
            commit,
            ..HardState::default()
        };
        let store = Store::new(
            (base.index, base.term),
            raft_hard,
            base.voters.into(),
            entries,
        );
        let raft = raft::Config {
            id: me.0,
            election_tick: pace.election as usize,
            // Half a span apart at most: an heir is there sooner, and two still rarely meet.
            max_election_tick: (pace.election + pace.election / 2) as usize,
            heartbeat_tick: pace.heartbeat as usize,
            applied: base.index,
            max_size_per_msg: 256 << 10,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: open::MOST_BYTES,
            max_committed_size_per_ready: 4 << 20,
            ..Default::default()
        };
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let node = catch_unwind(AssertUnwindSafe(|| RawNode::new(&raft, store, &silent)));
        let node = node.ok().and_then(Result::ok).ok_or(Fault::Torn)?;
        let mut core = Core {
            group,
            purpose,
            me,
            node,
            machine,
            counted: whole.counted,
            pace,
            heard: if restarted { 0 } else { pace.election },
            led: false,
            leads: None,
            lease: 0.0,
            beats: VecDeque::new(),
            beat: 0,
            ticks: 0,
            open: Open::default(),
            waiting: VecDeque::new(),
            synced: 0,
            hard,
            applied: base.index,
            changed: base.index,
            dissolved: whole.dissolved,
            fault: None,
            sent_a_state: Vec::new(),
            draws: 0,
            drawn_for: (0, StateRole::Follower, 0),
        };
        core.draw_span();
        Ok(core)
    }

    /// Raft ends in a panic where its log contradicts its leader's. Only this group ends, and says no more.
    fn guarded(&mut self, out: &mut Effects, step: impl FnOnce(&mut Core)) {
        if self.fault.is_some() {
            return;
        }
        let stepped = catch_unwind(AssertUnwindSafe(|| {
            step(self);
            self.draw_span();
            self.release(out);
            self.drain(out);
        }));
        if stepped.is_err() {
            self.fault = Some(Fault::Forgot);
        }
        if self.fault.is_some() {
            self.step_down(out);
        }
    }

    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    pub fn leads(&self) -> Option<Term> {
        self.leads
    }

    /// Until when it holds, on the clock of `tick`. Zero: not at all.
    pub fn lease(&self) -> f64 {
        self.lease
    }

    /// All that it stood for is over: its members may forget it.
    pub fn dissolved(&self) -> bool {
        self.dissolved
    }

    /// Bytes of memory that it takes, about.
    pub fn size(&self) -> usize {
        self.machine.size() + self.node.store().held().1
    }
}
