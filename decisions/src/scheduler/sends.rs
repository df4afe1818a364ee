//! Whose turn it is, which heads go, and to which target.

use super::*;

/// What each further event of a call is taken to weigh: the wire says only that it is a little.
const RIDER: f64 = 0.25;

impl Scheduler {
    /// Enters a destination anew in the rosters, or forgets it: memory is bounded by what is held and listed.
    pub(super) fn file(&mut self, id: DestinationId) {
        let Some(to) = self.destinations.get_mut(&id) else {
            return;
        };
        let (due, backlog, ready) = std::mem::take(&mut to.filed);
        self.due.remove(&(due, id));
        self.waiting.remove(&(backlog, id));
        ready.map(|turn| self.ready.remove(&(turn, id)));
        let bare = to.events.is_empty() && to.lanes.is_empty();
        to.bare_since = bare.then_some(to.bare_since.unwrap_or(self.here.now));
        if to
            .bare_since
            .is_some_and(|since| since + USUAL <= self.here.now)
        {
            return drop(self.destinations.remove(&id));
        }
        let (heads, open, next) = to.prospects(&self.here, &self.keys);
        let doubtful = open
            .iter()
            .all(|&(at, _)| to.lanes[at].in_doubt(&self.here));
        let ready = (!heads.is_empty()).then_some((doubtful, to.calls.len(), to.turn));
        let backlog = (ready.is_none(), to.held(), Moment(next));
        to.filed = (Moment(next.min(to.next_check(&self.here))), backlog, ready);
        let due = to.filed.0;
        (due != Moment::default()).then(|| self.due.insert((due, id)));
        // What is at rest stands in no roster.
        (backlog.1 > 0).then(|| self.waiting.insert((backlog, id)));
        ready.map(|turn| self.ready.insert((turn, id)));
    }

    /// One call to the destination whose turn it is, with as many heads aboard as it takes.
    pub(super) fn send_next(&mut self, id: DestinationId, out: &mut impl Effects) {
        let (to, here) = (
            self.destinations.get_mut(&id).expect("ready"),
            &mut self.here,
        );
        let (heads, open, _) = to.prospects(here, &self.keys);
        let Some(first) = heads.first() else { return };
        let (at, target) = to.pick(here, *first, &open, out);
        let called = &to.lanes[at].targets[target];
        let most = here.terms.destination_kinds[to.kind.0]
            .max_events_per_call
            .max(1);
        let most = if to.lanes[at].is_cold(here) {
            most.min(1 + (1.0 / RIDER) as usize)
        } else {
            most
        };
        let fit = heads
            .into_iter()
            .filter(|place| here.may_go(&to.events[place], called));
        let aboard: Vec<u64> = fit.take(most).collect();
        (self.calls_made, to.turn) = (self.calls_made + 1, self.calls_made + 1);
        // Few answers take six times the usual.
        let time_out = (6.0 * to.lanes[at].usual_answer(here)).clamp(here.least_time(), 8000.0);
        for place in &aboard {
            let event = to.events.get_mut(place).expect("ready");
            // A binding event cannot be sent again: it is given twice the time.
            let binding =
                here.terms.traffic_types[event.traffic.0].idempotency == Idempotency::NonIdempotent;
            event.call = Some(self.calls_made);
            (event.sends, event.untried) = (event.sends + 1, false);
            let given =
                (if binding { 2.0 } else { 1.0 } * time_out).min(event.patience_ends - here.now);
            out.send_attempt(&event.id, &called.id, given, here.lapses_at(event));
        }
        let (id, rate, members) = (called.id.clone(), to.rate(here, at), aboard.len());
        let lane = &mut to.lanes[at];
        if let Some(rate) = rate {
            let weight = 1.0 + RIDER * (members - 1) as f64;
            lane.next_slot = lane.next_slot.max(here.now) + weight * 1000.0 / rate;
        }
        lane.sent.add(here.now, RECENT, 1.0);
        lane.burst.add(here.now, RECENT / 4.0, 1.0);
        to.called.add(here.now, USUAL, 1.0);
        let called = &mut lane.targets[target];
        let reuses = called
            .idle_since
            .take()
            .is_some_and(|since| since + BRIEF < here.now);
        called.out += 1;
        self.calls_out += 1;
        let doubtful = lane.in_doubt(here);
        self.doubtful_out += doubtful as usize;
        let call = Call {
            doubtful,
            target: id,
            sent: here.now,
            members,
            judged: false,
            reuses,
        };
        to.calls.insert(self.calls_made, call);
    }
}

impl Destination {
    /// The heads that can go now, the targets (lane and place in it) that take a call now, and when the next
    /// of either may.
    pub(super) fn prospects(&self, here: &Here, keys: &Keys) -> (Vec<u64>, Vec<Spot>, Ms) {
        let (mut open, mut opens) = (Vec::new(), f64::INFINITY);
        for (at, lane) in self.lanes.iter().enumerate() {
            let from = self.opens_at(here, at);
            let running = lane
                .targets
                .iter()
                .enumerate()
                .filter(|(_, t)| t.listing == EndpointState::Running);
            if from <= here.now {
                open.extend(running.map(|(target, _)| (at, target)));
            } else if lane.runs() {
                opens = opens.min(from);
            }
        }
        let (mut heads, mut next, mut shut_out) = (Vec::new(), f64::INFINITY, false);
        for (&place, event) in self.events.iter().filter(|(_, event)| event.is_held()) {
            let line = event.key.map(|key| &keys[&key]);
            if line.is_some_and(|line| line.queue.front().is_some_and(|front| front.0 != place)) {
                continue;
            }
            // The rest holds back those behind the event that was cut short, not its own next send.
            let rest = if event.sends > 0 {
                0.0
            } else {
                line.map_or(0.0, |line| line.rests_until)
            };
            let from = event.not_before.max(rest);
            let fits = open
                .iter()
                .any(|&(at, target)| here.may_go(event, &self.lanes[at].targets[target]));
            if from > here.now {
                next = next.min(from);
            } else if fits {
                heads.push(place);
            } else {
                shut_out = true;
            }
        }
        (heads, open, if shut_out { next.min(opens) } else { next })
    }

    /// When the lane takes its next call.
    pub(super) fn opens_at(&self, here: &Here, at: usize) -> Ms {
        let lane = &self.lanes[at];
        if lane.offline {
            let trial = !here.terms.health_checks_allowed
                && lane.targets.iter().all(|target| target.out == 0);
            return if trial {
                lane.ping_at.max(lane.closed_until)
            } else {
                f64::INFINITY
            };
        }
        let rested = lane.closed_until.max(lane.held_until);
        self.rate(here, at)
            .map_or(rested, |_| rested.max(lane.next_slot))
    }

    /// Two targets drawn at random, and the one that our own counts favour: not just failed, fewer calls out,
    /// and of two alike the one with an idle connection, as a new one has a price; or the one the host named.
    pub(super) fn pick(
        &self,
        here: &mut Here,
        first: u64,
        open: &[Spot],
        out: &mut impl Effects,
    ) -> Spot {
        let (event, target) = (&self.events[&first], |&(at, t): &Spot| {
            &self.lanes[at].targets[t]
        });
        let from: Vec<_> = open
            .iter()
            .filter(|t| here.may_go(event, target(t)))
            .collect();
        let one = (here.draw(4) * from.len() as f64) as usize;
        let other =
            (one + 1 + (here.draw(5) * (from.len().max(2) - 1) as f64) as usize) % from.len();
        let weigh = |t: &Target| (t.shunned_until > here.now, t.out, t.idle_since.is_none());
        let drawn = if weigh(target(from[other])) < weigh(target(from[one])) {
            other
        } else {
            one
        };
        let chosen = out.select_target(&event.id, &mut from.iter().map(|t| &target(t).id));
        *from[chosen.filter(|at| *at < from.len()).unwrap_or(drawn)]
    }

    /// When something but a send is due here: an event's end, a ping, an idle connection's.
    pub(super) fn next_check(&self, here: &Here) -> Ms {
        let held = self.events.values().filter(|event| event.is_held());
        let ends = held.map(|event| {
            here.window_ends(event)
                .min(event.patience_ends - LAST_MOMENT)
        });
        let wanted = self.held() > 0;
        let pings = self.lanes.iter().map(|lane| here.ping_due(lane, wanted));
        let idle = self
            .lanes
            .iter()
            .flat_map(|lane| &lane.targets)
            .filter_map(|t| t.idle_since);
        let closes = here.closes(self.kind, self.crowded(here));
        let closing = idle.filter(|_| closes).map(|since| since + BRIEF);
        let forgotten = self.bare_since.map(|since| since + USUAL);
        let out = self.events.values().filter(|event| event.call.is_some());
        let lapses = out
            .map(|event| here.lapses_at(event))
            .filter(|at| *at > here.now);
        ends.chain(pings)
            .chain(closing)
            .chain(forgotten)
            .chain(lapses)
            .fold(f64::INFINITY, f64::min)
    }
}

impl Here {
    pub(super) fn may_go(&self, event: &Event, target: &Target) -> bool {
        let bound = self.terms.traffic_types[event.traffic.0]
            .idempotency
            .retries_in_zone();
        !bound
            || event
                .may_have_run
                .is_none_or(|(_, zone)| zone == target.zone)
    }
}
