//! While another process takes over.

use std::time::Instant;

use async_channel::{Receiver, Sender};
use plankhill_hot_restart::Word;
use slog::error;

use super::hands::Hands;
use super::Rounds;
use crate::mail::{After, StoodStill};
use crate::passes::Told;
use crate::relay::Relay;

impl Rounds {
    pub(super) async fn stand_still(
        &self,
        state: Sender<StoodStill>,
        outcome: Receiver<After>,
    ) -> After {
        let (since, ledger) = (Instant::now(), self.hands.keeps.length());
        match self.hands.state(&self.forwarder) {
            Ok(own) => {
                let _ = state.try_send(StoodStill {
                    state: own,
                    ledger,
                    since,
                });
                drop(state);
                outcome.recv().await.unwrap_or(After::GoesOn)
            }
            Err(e) => {
                error!(self.hands.common.log, "the state cannot be handed over"; "error" => %e);
                After::GoesOn
            }
        }
    }

    /// Ledger, bodies and decisions go with it: they are the other's now.
    pub(super) fn relay(self, to: Sender<Told>, from: Receiver<Word>) -> Relay {
        let Hands {
            common,
            targets,
            out,
            pings,
            ..
        } = self.hands;
        common.ready.set(false);
        Relay {
            common,
            targets,
            out,
            pings,
            to,
            from,
        }
    }
}
