//! Copies from one store the turns, retention times and account states that are missing here, program by
//! program.

use std::collections::BTreeSet;
use std::rc::Rc;

use plankhill_conversations::peer::{
    PeerRequest, PeerResponse, ProgramDigest, ProgramOutline, RetainedTurn, StoreSet, TurnUpdate,
};
use plankhill_conversations::placement::is_replica;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::retention::listed_turns;
use crate::clock::Clock;
use crate::limits::{MAX_PAGE_ENTRIES, PEER_TIMEOUT};
use crate::node::state::MissedUpdate;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// The copy failed because of the source or this store's disk, or because the view changed. The caller may
/// copy from the source again.
pub(in crate::node) struct CopyError;

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Copies from `source` all programs of which this store is a replica in a set of the view.
    ///
    /// # Errors
    /// [`CopyError`] if the copy is incomplete.
    pub(in crate::node) async fn copy_from(
        self: &Rc<Self>,
        view: &StoreView,
        set: StoreSet,
        source: &StoreMember,
    ) -> Result<(), CopyError> {
        let mut after: Option<ProgramId> = None;
        loop {
            let store = self.identity.clone();
            let request = PeerRequest::ListPrograms { set, store, after };
            let PeerResponse::Programs(page) = self.call_source(view, source, request).await?
            else {
                return Err(CopyError);
            };
            let Some(last) = page.last() else {
                return Ok(());
            };
            after = Some(last.program.clone());
            let is_last_page = page.len() < MAX_PAGE_ENTRIES;
            self.copy_page(view, source, page).await?;
            if is_last_page {
                return Ok(());
            }
        }
    }

    async fn copy_page(
        self: &Rc<Self>,
        view: &StoreView,
        source: &StoreMember,
        page: Vec<ProgramDigest>,
    ) -> Result<(), CopyError> {
        let programs = self.programs_to_compare(page);
        if programs.is_empty() {
            return Ok(());
        }
        let request = PeerRequest::OutlinePrograms { programs };
        let reply = self.call_source(view, source, request).await?;
        let PeerResponse::Outlines {
            programs: outlines,
            remaining_ms,
        } = reply
        else {
            return Err(CopyError);
        };
        self.hint_missing_at_source(view, source, &outlines);
        let listed = listed_turns(&outlines, remaining_ms.as_deref());
        self.merge_longer_retention(&listed).await?;
        let missing = self.missing_turns(&outlines);
        self.merge_copied(outlines.into_iter().flat_map(account_updates).collect())
            .await?;
        self.copy_turns(view, source, missing).await
    }

    async fn copy_turns(
        self: &Rc<Self>,
        view: &StoreView,
        source: &StoreMember,
        mut missing: BTreeSet<RequestId>,
    ) -> Result<(), CopyError> {
        while !missing.is_empty() {
            let turns: Vec<RequestId> = missing.iter().take(MAX_PAGE_ENTRIES).cloned().collect();
            let request = PeerRequest::FetchTurns {
                turns: turns.clone(),
            };
            let PeerResponse::Turns(found) = self.call_source(view, source, request).await? else {
                return Err(CopyError);
            };
            for turn in covered_turns(&turns, &found) {
                missing.remove(turn);
            }
            self.merge_copied(found.into_iter().map(turn_update).collect())
                .await?;
        }
        Ok(())
    }

    /// Returns the programs whose state at the source differs from the state at this store, and those with
    /// retained turns: their retention times, which the digest does not include, may differ.
    fn programs_to_compare(&self, page: Vec<ProgramDigest>) -> Vec<ProgramId> {
        let turns = self.turns.borrow();
        page.into_iter()
            .filter(|listed| {
                let program = &listed.program;
                turns.digest(program) != Some(listed.digest) || turns.has_turns(program)
            })
            .map(|listed| listed.program)
            .collect()
    }

    /// Records hints for updates that the source lacks: the hints that other stores had for the source may
    /// be lost.
    fn hint_missing_at_source(
        &self,
        view: &StoreView,
        source: &StoreMember,
        outlines: &[ProgramOutline],
    ) {
        for theirs in outlines {
            let program = &theirs.program;
            if !is_replica(&view.serving, program, view.tolerated_faults, source) {
                continue;
            }
            let Some(ours) = self.turns.borrow().outline(program) else {
                continue;
            };
            for turn in turns_missing_at_source(theirs, &ours) {
                self.add_hint(
                    &source.node,
                    MissedUpdate {
                        program: program.clone(),
                        turn,
                    },
                );
            }
        }
    }

    fn missing_turns(&self, outlines: &[ProgramOutline]) -> BTreeSet<RequestId> {
        let local = self.turns.borrow();
        let turns = outlines.iter().flat_map(|outline| &outline.turns);
        turns
            .filter(|turn| !local.contains(turn))
            .cloned()
            .collect()
    }

    async fn merge_copied(&self, updates: Vec<TurnUpdate>) -> Result<(), CopyError> {
        match self.merge_updates(updates).await {
            PeerResponse::Done => Ok(()),
            _ => Err(CopyError),
        }
    }

    /// Calls the source. Fails if the incarnation that replies is not the one in the view: another
    /// incarnation may have lost the requested data.
    async fn call_source(
        self: &Rc<Self>,
        view: &StoreView,
        source: &StoreMember,
        request: PeerRequest,
    ) -> Result<PeerResponse, CopyError> {
        match self.call(view, source, &request, PEER_TIMEOUT).await {
            Ok(reply) if reply.incarnation == source.incarnation => Ok(reply.body),
            Ok(_) | Err(_) => Err(CopyError),
        }
    }
}

fn account_updates(outline: ProgramOutline) -> Vec<TurnUpdate> {
    let program = outline.program;
    let updates = outline.account.turns().map(|(turn, state)| TurnUpdate {
        program: program.clone(),
        turn: turn.clone(),
        state: Some(state),
        retained: None,
    });
    updates.collect()
}

fn turn_update(retained: RetainedTurn) -> TurnUpdate {
    TurnUpdate {
        program: retained.record.program.clone(),
        turn: retained.record.turn.clone(),
        state: None,
        retained: Some(retained),
    }
}

/// Returns the requested turns up to the last one found; those among them that were not found are absent
/// at the source. If no turn was found, all of the requested turns are absent there.
fn covered_turns<'a>(requested: &'a [RequestId], found: &[RetainedTurn]) -> &'a [RequestId] {
    let last = found.last().map(|last| &last.record.turn);
    match requested.iter().position(|turn| Some(turn) == last) {
        Some(position) => &requested[..=position],
        None => requested,
    }
}

/// Returns the turns that are absent at the source, or whose account state is behind there.
fn turns_missing_at_source(theirs: &ProgramOutline, ours: &ProgramOutline) -> BTreeSet<RequestId> {
    let their_turns: BTreeSet<&RequestId> = theirs.turns.iter().collect();
    let mut missing = BTreeSet::new();
    for turn in &ours.turns {
        if !their_turns.contains(turn) {
            missing.insert(turn.clone());
        }
    }
    for (turn, state) in ours.account.turns() {
        if theirs.account.state(turn) < Some(state) {
            missing.insert(turn.clone());
        }
    }
    missing
}
