//! Takes the module's decisions of one round and makes commands of them.

use std::collections::HashMap;

use plankhill_decisions::interface::{DestinationId, Effects, EventId, Ms, TargetId};

use crate::admission;
use crate::allocation::Allocator;
use crate::holds::Holds;
use crate::interface::{Command, RequestKey};
use crate::placement::{cheapest, reading_time};
use crate::requests::{key_of, Requests};
use crate::targets::{KnownTarget, Targets};

/// Added to wake-ups, so that none comes a rounding error early.
const ROUNDING: Ms = 0.01;

/// Everything that decisions are carried out with.
pub(crate) struct Bridge<'a> {
    pub(crate) now: Ms,
    pub(crate) requests: &'a mut Requests,
    pub(crate) targets: &'a mut Targets,
    pub(crate) allocators: &'a mut HashMap<DestinationId, Allocator>,
    pub(crate) holds: &'a mut Holds,
    pub(crate) commands: &'a mut Vec<Command>,
    pub(crate) draws: &'a mut u64,
    pub(crate) wake_at: &'a mut Option<Ms>,
}

impl Bridge<'_> {
    /// The final answer of a request, as far as the proxy gives it.
    pub(crate) fn end(&mut self, key: RequestKey) {
        self.holds.remove(key);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut request.is_over, true) {
            return;
        }
        let command = if request.attempts.may_have_run() {
            Command::Fail {
                request: key,
                last: request.last_fate(),
            }
        } else {
            let chance = draw(self.draws);
            let opens_at = self.targets.opens_at(request.service, self.now);
            let retry_after = admission::retry_after(self.now, opens_at, request.objective, chance);
            Command::Refuse {
                request: key,
                retry_after,
            }
        };
        self.commands.push(command);
        self.requests.forget_if_done(key);
    }
}

impl Effects for Bridge<'_> {
    fn select_target(
        &mut self,
        event: &EventId,
        open: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        let request = self.requests.get(key_of(event)?)?;
        let open: Option<Vec<&KnownTarget>> = open.map(|id| self.targets.get(id)).collect();
        let open = open?;
        if request.chains.is_empty() {
            // Of those that cost alike any may be it: proxies that all took the first would meet there.
            let start = (draw(self.draws) * open.len() as f64) as usize;
            let turned: Vec<&KnownTarget> = open[start..]
                .iter()
                .chain(&open[..start])
                .copied()
                .collect();
            return cheapest(self.now, &request.chains, &turned, &[])
                .map(|place| (place.at + start) % open.len());
        }
        let service = request.service;
        let allocator = self.allocators.entry(service).or_default();
        let allocation = allocator.current(self.now, || self.targets.running_hashes(service));
        let keepers = request
            .chains
            .text()
            .map_or(&[][..], |text| allocation.keepers(text));
        let place = cheapest(self.now, &request.chains, &open, keepers)?;
        self.requests.get_mut(key_of(event)?)?.at_keeper = place.keeps_text;
        Some(place.at)
    }

    fn send_attempt(&mut self, event: &EventId, target: &TargetId, _: Ms, _: Ms) {
        let Some(key) = key_of(event) else { return };
        let (Some(request), Some(known)) =
            (self.requests.get_mut(key), self.targets.get_mut(target))
        else {
            return;
        };
        self.holds.remove(key);
        request.is_out = true;
        known.load.sent();
        known.load.reads(
            self.now,
            reading_time(known, &request.chains, request.at_keeper),
        );
        known.kept.note(&request.chains);
        self.commands.push(Command::Send {
            request: key,
            target: known.id.clone(),
            address: known.address,
            deadline: request.call_deadline(self.now, known.load.answer_time()),
            priority: request.priority,
        });
    }

    fn reject(&mut self, event: &EventId, _: Option<Ms>) -> bool {
        key_of(event).into_iter().for_each(|key| self.end(key));
        false
    }

    fn abandon(&mut self, event: &EventId) -> bool {
        key_of(event).into_iter().for_each(|key| self.end(key));
        false
    }

    fn health_check(&mut self, target: &TargetId) {
        if let Some(known) = self.targets.get(target) {
            self.commands.push(Command::Ping {
                target: known.id.clone(),
                address: known.address,
            });
        }
    }

    fn close_idle_connections(&mut self, target: &TargetId) {
        if let Some(known) = self.targets.get(target) {
            self.commands.push(Command::CloseIdle {
                target: known.id.clone(),
            });
        }
    }

    fn cancel_unsent(&mut self, target: &TargetId) {
        if let Some(known) = self.targets.get(target) {
            self.commands.push(Command::TakeBack {
                target: known.id.clone(),
            });
        }
    }

    fn record_warm_up(&mut self, _: &TargetId, _: Ms, _: f64) {}

    fn wake_after(&mut self, pause: Ms) {
        *self.wake_at = Some(self.now + pause + ROUNDING);
    }
}

/// A number from 0 to 1, the same sequence for the same start.
pub(crate) fn draw(state: &mut u64) -> f64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*state >> 11) as f64 / (1u64 << 53) as f64
}
