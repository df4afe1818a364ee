//! Copies from one store what it knows more than this one.

use std::collections::BTreeSet;
use std::rc::Rc;

use plankhill_conversations::peer::{
    EndedTurn, PeerRequest, PeerResponse, ProgramDigest, ProgramOutline, StoreSet,
};
use plankhill_conversations::placement::holds;
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::{StoreMember, StoreView};

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{PAGE_PROGRAMS, PEER_TIMEOUT};
use crate::peers::Peers;

/// A source failed, or the view has changed.
pub(super) struct Interrupted;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Copies all that belongs to this store in a set of the view; ends early where that fails.
    pub(super) async fn copy_from(
        self: &Rc<Self>,
        view: &StoreView,
        set: StoreSet,
        source: &StoreMember,
    ) -> Result<(), Interrupted> {
        let mut after: Option<ProgramId> = None;
        loop {
            let store = self.parts.me.clone();
            let request = PeerRequest::ListPrograms {
                set,
                store,
                after: after.clone(),
            };
            let PeerResponse::Programs(page) = self.ask_source(view, source, request).await? else {
                return Err(Interrupted);
            };
            let Some(last) = page.last() else {
                return Ok(());
            };
            after = Some(last.program.clone());
            let is_last = page.len() < PAGE_PROGRAMS;
            self.copy_page(view, source, page).await?;
            if is_last {
                return Ok(());
            }
        }
    }

    async fn copy_page(
        self: &Rc<Self>,
        view: &StoreView,
        source: &StoreMember,
        page: Vec<ProgramDigest>,
    ) -> Result<(), Interrupted> {
        let programs = self.differing(page);
        if programs.is_empty() {
            return Ok(());
        }
        let request = PeerRequest::OutlinePrograms { programs };
        let PeerResponse::Outlines(outlines) = self.ask_source(view, source, request).await? else {
            return Err(Interrupted);
        };
        self.hint_what_it_lacks(view, source, &outlines);
        let mut missing = self.missing_turns(&outlines);
        self.take(outlines.into_iter().flat_map(account_states).collect())
            .await?;
        while !missing.is_empty() {
            let turns: Vec<RequestId> = missing.iter().take(PAGE_PROGRAMS).cloned().collect();
            let request = PeerRequest::FetchTurns {
                turns: turns.clone(),
            };
            let PeerResponse::Turns(found) = self.ask_source(view, source, request).await? else {
                return Err(Interrupted);
            };
            // Those before the last one found that are not among them are gone at the source.
            let asked = found
                .last()
                .map_or(turns.as_slice(), |last| up_to(&turns, &last.record.turn));
            asked.iter().for_each(|turn| {
                missing.remove(turn);
            });
            let ended = found.into_iter().map(|kept| EndedTurn {
                program: kept.record.program.clone(),
                turn: kept.record.turn.clone(),
                state: None,
                kept: Some(kept),
            });
            self.take(ended.collect()).await?;
        }
        Ok(())
    }

    /// Programs of which the source knows something else than this store.
    fn differing(&self, page: Vec<ProgramDigest>) -> Vec<ProgramId> {
        let state = self.state.borrow();
        let differing = page
            .into_iter()
            .filter(|listed| state.index.digest(&listed.program) != Some(listed.digest));
        differing.map(|listed| listed.program).collect()
    }

    /// The source may have missed what its hints were lost of: this store delivers it.
    fn hint_what_it_lacks(
        &self,
        view: &StoreView,
        source: &StoreMember,
        outlines: &[ProgramOutline],
    ) {
        for theirs in outlines {
            if !holds(
                &view.serving,
                &theirs.program,
                view.tolerated_faults,
                source,
            ) {
                continue;
            }
            let lacking = {
                let state = self.state.borrow();
                state
                    .index
                    .outline(&theirs.program)
                    .map_or_else(Vec::new, |ours| lacking(theirs, &ours))
            };
            lacking
                .iter()
                .for_each(|turn| self.add_hint(&source.node, &theirs.program, turn));
        }
    }

    fn missing_turns(&self, outlines: &[ProgramOutline]) -> BTreeSet<RequestId> {
        let state = self.state.borrow();
        let turns = outlines.iter().flat_map(|outline| &outline.turns);
        turns
            .filter(|turn| state.index.turn(turn).is_none())
            .cloned()
            .collect()
    }

    async fn take(&self, ended: Vec<EndedTurn>) -> Result<(), Interrupted> {
        match self.take_ended(ended).await {
            PeerResponse::Done => Ok(()),
            _ => Err(Interrupted),
        }
    }

    /// Asks exactly the life of the store that the view names.
    async fn ask_source(
        self: &Rc<Self>,
        view: &StoreView,
        source: &StoreMember,
        request: PeerRequest,
    ) -> Result<PeerResponse, Interrupted> {
        let reply = self
            .ask(view, source, &request, PEER_TIMEOUT)
            .await
            .map_err(|_| Interrupted)?;
        if reply.incarnation == source.incarnation {
            Ok(reply.body)
        } else {
            Err(Interrupted)
        }
    }
}

fn account_states(outline: ProgramOutline) -> Vec<EndedTurn> {
    let program = outline.program;
    let states = outline.account.turns().map(|(turn, state)| EndedTurn {
        program: program.clone(),
        turn: turn.clone(),
        state: Some(state),
        kept: None,
    });
    states.collect()
}

/// The names up to and with this one.
fn up_to<'a>(turns: &'a [RequestId], last: &RequestId) -> &'a [RequestId] {
    let end = turns
        .iter()
        .position(|turn| turn == last)
        .map_or(turns.len(), |at| at + 1);
    &turns[..end]
}

/// Turns that one store knows and the other does not, or knows less of.
fn lacking(theirs: &ProgramOutline, ours: &ProgramOutline) -> Vec<RequestId> {
    let held: BTreeSet<&RequestId> = theirs.turns.iter().collect();
    let turns = ours.turns.iter().filter(|turn| !held.contains(turn));
    let states = ours
        .account
        .turns()
        .filter(|(turn, state)| theirs.account.state(turn) < Some(*state));
    let lacking: BTreeSet<&RequestId> = turns.chain(states.map(|(turn, _)| turn)).collect();
    lacking.into_iter().cloned().collect()
}
