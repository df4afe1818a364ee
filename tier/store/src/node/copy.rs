//! Copies all that belongs to this store in the next set from the serving stores.

use std::collections::BTreeSet;
use std::rc::Rc;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_turns::peer::{EndedTurn, PeerRequest, PeerResponse, ProgramDigest, ProgramOutline};
use plankhill_turns::placement::{is_same, is_serving, Quorum};

use super::Node;
use crate::clock::Clock;
use crate::disk::Disk;
use crate::figures::{COPY_PAUSE, PAGE_PROGRAMS, PEER_TIMEOUT};
use crate::peers::Peers;

/// Rounds in which stores that do not answer are tried again though enough others have answered.
const PATIENT_ROUNDS: u32 = 2;

/// A source failed, or the view has changed.
struct Interrupted;

impl<P: Peers, D: Disk, C: Clock> Node<P, D, C> {
    /// Copies for this view, whose fence is on disk here; ends when done, or when a newer view has come.
    pub(super) async fn copy_for(self: &Rc<Self>, view: &StoreView) {
        let me = &self.parts.me;
        let Some(next) = &view.next else { return };
        if !next.iter().any(|member| is_same(member, me)) {
            return;
        }
        let enough = Quorum::of(view.serving.len(), view.faults).read;
        let own = usize::from(is_serving(view, me));
        let others = view.serving.iter().filter(|member| member.node != me.node);
        let mut left: Vec<StoreMember> = others.cloned().collect();
        let mut copied = own;
        let mut rounds = 0;
        while self.is_current(view) {
            let mut failed = Vec::new();
            for source in std::mem::take(&mut left) {
                match self.copy_from(view, &source).await {
                    Ok(()) => copied += 1,
                    Err(Interrupted) => failed.push(source),
                }
            }
            left = failed;
            rounds += 1;
            if left.is_empty() || (copied >= enough && rounds >= PATIENT_ROUNDS) {
                break;
            }
            tokio::time::sleep(COPY_PAUSE).await;
        }
        if copied >= enough && self.is_current(view) {
            tracing::info!(epoch = view.epoch.0, sources = copied, "copied all that belongs here");
            self.copied_epoch.send_replace(Some(view.epoch));
        }
    }

    fn is_current(&self, view: &StoreView) -> bool {
        self.state.borrow().view.epoch == view.epoch
    }

    async fn copy_from(self: &Rc<Self>, view: &StoreView, source: &StoreMember) -> Result<(), Interrupted> {
        let mut after: Option<ProgramId> = None;
        loop {
            let store = self.parts.me.clone();
            let request = PeerRequest::ListPrograms { store, after: after.clone() };
            let PeerResponse::Programs(page) = self.ask_source(view, source, request).await? else {
                return Err(Interrupted);
            };
            let Some(last) = page.last() else { return Ok(()) };
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
        let mut missing = self.missing_turns(&outlines);
        self.take(outlines.into_iter().flat_map(account_states).collect()).await?;
        while !missing.is_empty() {
            let turns: Vec<RequestId> = missing.iter().take(PAGE_PROGRAMS).cloned().collect();
            let request = PeerRequest::FetchTurns { turns: turns.clone() };
            let PeerResponse::Turns(found) = self.ask_source(view, source, request).await? else {
                return Err(Interrupted);
            };
            // Those before the last one found that are not among them are gone at the source.
            let asked = found.last().map_or(turns.as_slice(), |last| up_to(&turns, &last.record.turn));
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
        let differing =
            page.into_iter().filter(|listed| state.index.digest(&listed.program) != Some(listed.digest));
        differing.map(|listed| listed.program).collect()
    }

    fn missing_turns(&self, outlines: &[ProgramOutline]) -> BTreeSet<RequestId> {
        let state = self.state.borrow();
        let turns = outlines.iter().flat_map(|outline| &outline.turns);
        turns.filter(|turn| state.index.turn(turn).is_none()).cloned().collect()
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
        let reply = self.ask(view, source, &request, PEER_TIMEOUT).await.map_err(|_| Interrupted)?;
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
    let end = turns.iter().position(|turn| turn == last).map_or(turns.len(), |at| at + 1);
    &turns[..end]
}
