//! Decides where and for how long the chain that a turn continues is retained.
//!
//! A replica that extends the retention of a turn also extends the turn's ancestors, as far as it has them.
//! Each program has replicas of its own, so this ends at the first turn of another program: a coordinator
//! has to extend each part of a chain that belongs to one program.
//!
//! - When a turn begins, its chain is retained until the turn has ended. The turn's reservation does this for
//!   the newest part, if that belongs to the turn's own program and the turn is not long.
//! - When a turn ends and is retained, the newest part is retained as long as the turn. The replicas of the
//!   turn's own program do this when they store the turn.
//! - The older parts are known only when a turn begins, since its chain is read then. They are retained
//!   until a turn that continues this one has to begin.

use std::rc::Rc;

use plankhill_conversations::peer::{PeerRequest, RetainedTurn};
use plankhill_protocol::store_calls::TurnLocation;
use tokio::task::JoinSet;

use super::begin_turn::TurnStart;
use super::chain::Chain;
use super::replicated_write::WriteOutcome;
use crate::clock::Clock;
use crate::limits::RUNNING_TURN_TTL_MS;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::Storage;

/// An extension of the retention of one part of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Extension {
    /// The newest turn of the part.
    newest: TurnLocation,
    /// The retention time from now on, in milliseconds.
    retention_ms: u64,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Retains the chain of a turn that begins. Returns whether a write quorum of each program has synced
    /// the extension.
    pub(super) async fn retain_chain(self: &Rc<Self>, start: &TurnStart, chain: &Chain) -> bool {
        let mut writes = JoinSet::new();
        for extension in extensions_at_begin(start, chain, self.limits.retention_slack_ms) {
            let node = self.clone();
            writes.spawn_local(async move { node.extend(extension).await });
        }
        let mut outcomes = writes.join_all().await.into_iter();
        outcomes.all(|outcome| outcome == WriteOutcome::Written)
    }

    /// Retains the chain of a turn that has ended as long as the turn, if its newest part belongs to another
    /// program. Returns whether a write quorum of that program has synced the extension.
    pub(super) async fn retain_chain_of_other_program(
        self: &Rc<Self>,
        retained: &RetainedTurn,
    ) -> bool {
        let record = &retained.record;
        let Some(previous) = &record.previous else {
            return true;
        };
        if previous.program == record.program {
            return true;
        }
        let extension = Extension {
            newest: previous.clone(),
            retention_ms: retained.remaining_ms,
        };
        self.extend(extension).await == WriteOutcome::Written
    }

    async fn extend(self: &Rc<Self>, extension: Extension) -> WriteOutcome {
        let Extension {
            newest,
            retention_ms,
        } = extension;
        let request = PeerRequest::ExtendRetention {
            turn: newest.turn.clone(),
            retention_ms,
        };
        self.write(&newest, &request).await
    }
}

/// The extensions that a turn needs when it begins, in addition to its reservation.
fn extensions_at_begin(start: &TurnStart, chain: &Chain, slack_ms: u64) -> Vec<Extension> {
    let until_end_ms = match start.lifetime {
        Some(lifetime) => lifetime.timeout_ms.saturating_add(slack_ms),
        None => RUNNING_TURN_TTL_MS,
    };
    let until_end_ms = until_end_ms.max(RUNNING_TURN_TTL_MS);
    // A proxy that does not send the retention of the turn is taken to use that of the previous one.
    let retention_ms = match start.lifetime {
        Some(lifetime) => lifetime.retention_ms,
        None => chain.retention_ms,
    };
    let until_next_begin_ms = until_end_ms
        .saturating_add(retention_ms)
        .saturating_add(slack_ms);
    let mut extensions = Vec::new();
    for (position, newest) in chain.parts.iter().enumerate() {
        let is_newest_part = position == 0;
        if is_newest_part && is_covered_by_reservation(start, newest, until_end_ms) {
            continue;
        }
        let retention_ms = if is_newest_part {
            until_end_ms
        } else {
            until_next_begin_ms
        };
        extensions.push(Extension {
            newest: newest.clone(),
            retention_ms,
        });
    }
    extensions
}

/// Whether a turn's reservation retains the newest part of its chain for long enough.
fn is_covered_by_reservation(start: &TurnStart, newest: &TurnLocation, until_end_ms: u64) -> bool {
    let is_at_same_replicas = newest.program == start.program;
    start.reservation.is_some() && is_at_same_replicas && until_end_ms <= RUNNING_TURN_TTL_MS
}
