//! Targets: what discovery lists, and what operators order of them.

use std::collections::HashSet;

use plankhill_admin::{Order, Reply};
use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use serde_json::Value;
use slog::{error, info, warn};

use super::hands::Hands;
use crate::left_out::Done;
use crate::page;

impl Hands {
    pub(super) fn listed(&mut self, to: &mut Scheduler, page: &Value) {
        let (told, log) = (self.common.told.clone(), self.common.log.clone());
        let whole = page::is_whole(page);
        let mut named = HashSet::new();
        let mut gone = Vec::new();
        if whole {
            to.on_endpoint_list_replaced();
        }
        page::hand_over(
            page,
            &told.names,
            to,
            |id, address, at, listing| {
                named.insert(id.clone());
                self.targets.place(id, address, at.2);
                if let Some(budgets) = &self.common.budgets {
                    budgets.listed(&told, id, at, listing);
                }
                self.left_out.bans.listed(id, listing)
            },
            |id| gone.push(id.clone()),
            |what| warn!(log, "an entry of the list cannot be read"; "what" => what),
        );
        if whole {
            gone.extend(
                self.targets
                    .ids()
                    .filter(|id| !named.contains(*id))
                    .cloned(),
            );
        }
        for id in gone {
            self.targets.remove(&id);
            self.common
                .fanout
                .iter()
                .for_each(|fanout| fanout.gone(&id));
            if let Some(budgets) = &self.common.budgets {
                budgets.gone(&id);
            }
            self.tell_elder(&id);
            self.keeps.forget_target(&id);
            self.left_out.bans.left(&id);
        }
    }

    pub(super) fn order(&mut self, to: &mut Scheduler, order: Order) -> Reply {
        let log = self.common.log.clone();
        let (id, ban) = match order {
            Order::Drain | Order::Resume => {
                let drains = order == Order::Drain;
                self.common.gate.drain(drains);
                info!(
                    log,
                    "{}",
                    if drains {
                        "is being emptied of clients"
                    } else {
                        "takes clients again"
                    }
                );
                return Reply::Done;
            }
            Order::Disable(id) => (id, true),
            Order::Enable(id) => (id, false),
        };
        match self.left_out.order(&id, ban) {
            Ok(Done::NeverListed) => return Reply::NeverListed,
            Ok(Done::Already) => (),
            Ok(Done::Changed(listing)) => {
                info!(log, "{}", if ban { "a target is left out" } else { "a target may serve again" };
                    "target" => &*id);
                let target = TargetId((&*id).into());
                listing
                    .into_iter()
                    .for_each(|listing| to.set_endpoint_state(&target, listing));
                // It was restarted meanwhile.
                (!ban).then(|| to.on_target_restarted(&target));
            }
            Err(e) => {
                error!(log, "the targets left out cannot be written"; "error" => %e);
                return Reply::NotRecorded;
            }
        }
        Reply::Done
    }
}
