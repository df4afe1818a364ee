//! The records that this forwarder leads, and what waits until their groups have committed it. What is
//! decided about waiting stands in `plankhill_replication`.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use async_channel::Sender;
use plankhill_decisions::interface::*;
use plankhill_event_log::{EventLog, EventTable};
use plankhill_hot_restart::Verdict;
use plankhill_raft_groups::{GroupId, GroupRequest};
use plankhill_replication::proposals::MAX_COMMAND_BYTES;
use plankhill_replication::{CommitPipeline, GroupRoles, ProposalQueue};

use crate::ground::Ground;
use crate::mail::{Notice, ToTarget};

/// What leaves by a round once its marks count.
pub(super) struct Effects {
    pub(super) answers: Vec<Answer>,
    pub(super) outbox: Vec<(TargetId, ToTarget)>,
    /// With the groups that are to have the mark.
    pub(super) notices: Vec<(Vec<GroupId>, Notice)>,
}

/// Who handed in an event that was taken waits for a word; dropped, his connection is closed without one.
pub(super) struct Answer {
    pub(super) group: GroupId,
    pub(super) to: Sender<Verdict>,
}

pub(super) struct Copies {
    pub(super) ground: Rc<Ground>,
    pub(super) roles: GroupRoles,
    /// Of the groups that are led, ahead of what is committed.
    pub(super) books: BTreeMap<GroupId, EventTable>,
    proposals: ProposalQueue,
    pub(super) pipeline: CommitPipeline<Effects>,
    /// Those who wait to hear what becomes of a proposal whose group is led no more.
    limbo: HashMap<(GroupId, u64), Vec<Answer>>,
    /// What a process without copies left in the folder, until it is committed under those numbers.
    pub(super) file: Option<(EventLog, Vec<(GroupId, u64)>)>,
}

impl Copies {
    pub(super) fn new(ground: Rc<Ground>, ledger: EventLog) -> Self {
        let roles = GroupRoles::new(ground.incarnation());
        let file = (!ledger.is_empty()).then(|| (ledger, Vec::new()));
        Copies {
            ground,
            roles,
            books: BTreeMap::new(),
            proposals: ProposalQueue::default(),
            pipeline: CommitPipeline::default(),
            limbo: HashMap::new(),
            file,
        }
    }

    pub(super) fn order(&mut self, order: Option<GroupRequest>) {
        order
            .into_iter()
            .for_each(|order| self.proposals.enqueue(order));
    }

    pub(super) fn holders(&self, event: &EventId) -> Vec<GroupId> {
        self.books
            .iter()
            .filter(|(_, book)| book.contains(&event.0))
            .map(|(group, _)| *group)
            .collect()
    }

    pub(super) fn own_book(&mut self) -> Option<&mut EventTable> {
        self.roles
            .own_group()
            .and_then(|own| self.books.get_mut(&own))
    }

    /// Whether an event of that key is owed by a group that lost its owner and has not ended yet.
    pub(super) fn is_behind(&self, key: OrderKey) -> bool {
        self.ground.kept.any(key.0, |group, owner, holds| {
            self.roles.blocks_order_key(group, owner, holds)
        })
    }

    /// A round's marks are one proposal for each group: it is cut off before it would be two.
    pub(super) fn has_room_for(&self, body: usize) -> bool {
        let Some(book) = self.roles.own_group().and_then(|own| self.books.get(&own)) else {
            return false;
        };
        let more = book.unwritten_frames().len() + EventTable::max_growth(body);
        self.ground.takes() && more < MAX_COMMAND_BYTES && !self.pipeline.is_full(more)
    }

    /// Proposes what the round marked; `effects` leave once it counts.
    pub(super) fn propose(&mut self, effects: Effects) {
        let (mut waits, mut bytes) = (Vec::new(), 0);
        for (group, book) in &mut self.books {
            let marks = book.take_unwritten_frames();
            if !marks.is_empty() {
                bytes += marks.len();
                waits.push((*group, self.proposals.propose(*group, &marks)));
            }
        }
        self.pipeline.push(waits, bytes, effects);
    }

    /// What an earlier process left in the file, as proposals of their own ahead of the round's.
    pub(super) fn propose_file(&mut self, group: GroupId) {
        let Some((ledger, numbers)) = &mut self.file else {
            return;
        };
        let mut frames = Vec::new();
        ledger.write_frames(&mut frames);
        if let Some(book) = self.books.get_mut(&group) {
            book.apply_frames(&frames);
        }
        numbers.clear();
        numbers.extend(
            self.proposals
                .propose_split(group, &frames)
                .into_iter()
                .map(|number| (group, number)),
        );
        let none = Effects {
            answers: Vec::new(),
            outbox: Vec::new(),
            notices: Vec::new(),
        };
        self.pipeline
            .push(numbers.iter().copied(), frames.len(), none);
    }

    /// Hands over what waits to be; false while there is no room for all of it.
    pub(super) fn offer(&mut self) -> bool {
        let ground = &self.ground;
        self.proposals.submit(|order| ground.order(order))
    }

    /// A proposal of any group, led or not, is decided.
    pub(super) fn decided(
        &mut self,
        group: GroupId,
        number: u64,
        counts: bool,
    ) -> std::io::Result<()> {
        for Answer { to, .. } in self.limbo.remove(&(group, number)).into_iter().flatten() {
            let _ = to.try_send(if counts {
                Verdict::TakenOn
            } else {
                Verdict::Refused(None)
            });
        }
        match counts {
            true => self.pipeline.committed(group, number),
            false => self.pipeline.discarded(group, number),
        }
        let Some((ledger, numbers)) = &mut self.file else {
            return Ok(());
        };
        let waited = numbers.len();
        numbers.retain(|it| !counts || *it != (group, number));
        if waited > 0 && numbers.is_empty() {
            let emptied = ledger.clear();
            self.file = None;
            return emptied;
        }
        Ok(())
    }

    /// The group is led no more. Who handed in what is not decided yet still hears of it; the rest of what
    /// hung on it never leaves. Returns what its record held.
    pub(super) fn lose(&mut self, group: GroupId) -> Option<EventTable> {
        let book = self.books.remove(&group)?;
        let limbo = &mut self.limbo;
        // Those whose clients have gone meanwhile are not kept.
        limbo.retain(|_, answers| answers.iter().any(|answer| !answer.to.is_closed()));
        self.pipeline.abandon_group(group, |number, effects| {
            let lost = effects
                .answers
                .extract_if(.., |answer| answer.group == group);
            limbo.entry((group, number)).or_default().extend(lost);
        });
        if let Some((_, numbers)) = &mut self.file {
            numbers.retain(|(of, _)| *of != group);
        }
        for number in self.proposals.withdraw(group) {
            let _ = self.decided(group, number, false);
        }
        let found = self.roles.on_deposed(group);
        self.ground.own.set(self.roles.own_group());
        self.order(found);
        Some(book)
    }

    /// Adopted groups in which nothing is left go.
    pub(super) fn dissolve_empty(&mut self) -> Vec<GroupId> {
        let own = self.roles.own_group();
        let done = |group: &GroupId, book: &EventTable| {
            Some(*group) != own && book.is_empty() && book.unwritten_frames().is_empty()
        };
        let empty = self
            .books
            .iter()
            .filter(|(group, book)| done(group, book))
            .map(|(group, _)| *group);
        let empty: Vec<GroupId> = empty
            .filter(|group| !self.pipeline.awaits_group(*group))
            .collect();
        for group in &empty {
            self.books.remove(group);
            let order = self.roles.on_group_emptied(*group);
            self.order(order);
        }
        empty
    }
}
