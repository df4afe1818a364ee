//! What a lane is known to take: its health, its pace and its cold budget, pings and idle connections.

use super::*;

/// The share of the tipping load that a forwarder allows itself, with its usual traffic for its part of the
/// capacity. 0.6, 0.8 and 1 kept the rules alike and each step paid; a tenth is left for what pings weigh.
const BUDGET: f64 = 0.9;
/// Chance is allowed over it, for all together. No settings tell it; in a shorter one more is borne a second.
const SPAN: Ms = 3_000.0;
/// Where one event comes in a minute its count is off by some times; a rate told a hundredfold is wrong.
const BELIEVED: f64 = 4.0;

impl Destination {
    /// Targets that are gone go with their last call, ping and wait.
    pub(super) fn forget_gone(
        &mut self,
        here: &Here,
        homes: &mut HashMap<TargetId, DestinationId>,
    ) {
        for lane in &mut self.lanes {
            let idle = lane.is_idle(here);
            lane.targets.retain(|target| {
                let kept = target.listing != EndpointState::Removed || target.out > 0 || !idle;
                kept || homes.remove(&target.id).is_none()
            });
        }
        self.lanes.retain(|lane| !lane.targets.is_empty());
    }

    pub(super) fn watch_health(&mut self, here: &mut Here, out: &mut impl Effects) {
        let now = here.now;
        let (closes, wanted, usual) = (
            here.closes(self.kind, self.crowded(here)),
            self.held() > 0,
            self.usual(here),
        );
        let lapsed = self
            .events
            .values()
            .filter(|event| here.lapses_at(event) <= now);
        let calls = lapsed.filter_map(|event| event.call);
        let lapsed: Vec<TargetId> = calls.map(|call| self.calls[&call].target.clone()).collect();
        for lane in &mut self.lanes {
            let before = lane.noted_cold;
            let news = lane
                .cold_since
                .filter(|at| std::mem::replace(&mut lane.noted_cold, *at) < *at);
            // What went there before is what it can take: in an outage little goes, and much comes again.
            if news.is_some_and(|at| before == 0.0 || at - before > here.terms.warm_up_duration) {
                self.noted = (usual, now);
            }
            for target in &mut lane.targets {
                news.into_iter()
                    .for_each(|since| out.record_warm_up(&target.id, since, usual));
                if target
                    .idle_since
                    .take_if(|since| closes && *since + BRIEF <= now)
                    .is_some()
                {
                    out.close_idle_connections(&target.id);
                }
                // A call without a connection may be written after the grace, the window or inside the wait.
                let late = target.listing != EndpointState::Running || lane.closed_until > now;
                if (target.out > 0 || lane.ping_out) && (late || lapsed.contains(&target.id)) {
                    out.cancel_unsent(&target.id);
                }
            }
            if here.ping_due(lane, wanted) <= now {
                let drawn = (here.draw(2) * lane.running().count() as f64) as usize;
                out.health_check(&lane.running().nth(drawn).expect("some run").id);
                lane.ping_out = true;
            }
        }
    }

    /// The fleet has more forwarders than its targets serve calls at once, by the told rate.
    pub(super) fn crowded(&self, here: &Here) -> bool {
        let targets = self
            .lanes
            .iter()
            .map(|lane| lane.running().count())
            .sum::<usize>()
            .max(1) as f64;
        let at_once = self.told_rate / targets * here.common_answer() / 1000.0;
        self.told_rate > 0.0 && here.terms.forwarder_count > 2.0 * at_once
    }

    /// Calls a second that this forwarder allows itself; none where nothing speaks for a limit.
    pub(super) fn rate(&self, here: &Here, at: usize) -> Option<f64> {
        let (now, terms, lane) = (here.now, &here.terms, &self.lanes[at]);
        let mut rate = f64::INFINITY;
        if let Some((pace, set)) = lane
            .pace
            .filter(|&(_, set)| terms.tuning.paces_calls && now - set < 20_000.0)
        {
            let aim = pace.max(self.a_second(here, &self.offered));
            let (since, by_call) = ((now - set) / 1000.0, (aim / OFTEN - 1.0).max(0.0));
            rate = pace * (0.08 * since).exp() + 0.08 * aim * by_call * since;
            // What the list tells is open to all alike: an even part of it is nobody's loss.
            rate = rate.max(self.told_rate / terms.forwarder_count / self.running_lanes());
        }
        if let Some(since) = lane
            .cold_since
            .filter(|_| lane.is_cold(here))
            .map(|since| now - since)
        {
            let back = (since.max(0.0) / terms.warm_up_duration).min(1.0);
            let (usual, all) = (self.usual(here), terms.forwarder_count * SPAN / 1000.0);
            let open = terms.overload_multiple
                * (terms.warm_up_initial_share + (1.0 - terms.warm_up_initial_share) * back)
                * usual;
            let budget = (BUDGET * open).max(1000.0 / PING / terms.forwarder_count);
            let most = BUDGET * open + (2.0 * (open * all).sqrt() + 2.0) / all;
            rate = rate.min((budget * lane.trust.max(1.0)).min(most.max(budget)));
        }
        rate.is_finite().then_some(rate)
    }

    /// What usually goes to each lane a second, now or before it was cold, also in an earlier process: events
    /// taken, or calls, if far fewer, as one may carry several (half more: calls are few). What comes again
    /// in an outage is not usual; an even part of the told rate is, up to some times what was counted.
    pub(super) fn usual(&self, here: &Here) -> f64 {
        let counted = self
            .a_second(here, &self.offered)
            .min(1.5 * self.a_second(here, &self.called));
        let part = (self.told_rate / here.terms.forwarder_count / self.running_lanes())
            .min(BELIEVED * counted);
        counted
            .max(self.noted.0 * (-(here.now - self.noted.1) / USUAL).exp())
            .max(part)
    }

    pub(super) fn a_second(&self, here: &Here, sum: &Fading) -> f64 {
        // Some quiet seconds before the start are assumed, or a single clump after it would pass for usual.
        let seen = 1.0 - (-(here.now - here.started + 2_000.0) / USUAL).exp();
        sum.read(here.now, USUAL) * 1000.0 / USUAL / seen / self.running_lanes()
    }

    /// A second, or as the cold budget asks: half is for pings, half for the heads that an answer lets go.
    /// Each forwarder learns of a return by its own: at most two thirds of a second for each root of the
    /// fleet's size. Half of it pushed small destinations over; a tenth of the size learnt of one 10 s late.
    pub(super) fn ping_pause(&self, here: &mut Here, at: usize) -> Ms {
        let spacing = self.rate(here, at).map_or(0.0, |rate| 2000.0 / rate);
        spacing
            .min(PING * here.terms.forwarder_count.sqrt() / 1.5)
            .max(PING)
            * jitter(here.draw(0))
    }
}

impl Lane {
    /// Its own answers outweigh those of the others after two.
    pub(super) fn usual_answer(&self, here: &Here) -> Ms {
        let (own_time, own) = self.answers.read(here.now, MEMORY);
        (own_time + 2.0 * here.common_answer()) / (own + 2.0)
    }

    /// It failed last, or answers three times as slowly as is common.
    pub(super) fn in_doubt(&self, here: &Here) -> bool {
        self.failures > 0 || self.usual_answer(here) > 3.0 * here.common_answer()
    }

    /// Cold from now on, or from the end of a told wait: a late time-out does not shorten it.
    pub(super) fn chill(&mut self, now: Ms) {
        self.cold_since = Some(
            self.cold_since
                .unwrap_or(now)
                .max(now)
                .max(self.closed_until),
        );
    }

    /// Offline, and asked at once, or by a trial after a pause. What was parked returns cold in any case.
    pub(super) fn park(&mut self, now: Ms, trial: Ms) {
        self.ping_at = if self.offline && trial == 0.0 {
            self.ping_at
        } else {
            now + trial
        };
        self.offline = true;
        self.chill(now);
    }

    pub(super) fn release(&mut self, now: Ms) {
        // It returned somewhere between the last bad sign and this answer.
        let since = self.cold_since.filter(|_| self.offline);
        self.cold_since = since
            .map(|since| since.max(0.5 * (since + now)))
            .or(self.cold_since);
        (self.answered_at, self.offline, self.failures) = (now, false, 0);
    }

    /// It may have returned half of a ping's longest pause later than is taken here.
    pub(super) fn is_cold(&self, here: &Here) -> bool {
        let cold = here.terms.warm_up_duration
            + 0.6 * PING * (here.terms.forwarder_count.sqrt() / 1.5).max(1.0);
        here.terms.tuning.paces_calls
            && self.cold_since.is_some_and(|since| here.now - since < cold)
    }

    /// Nothing is out and no wait or cold time is still to be kept.
    pub(super) fn is_idle(&self, here: &Here) -> bool {
        let out = self.ping_out || self.targets.iter().any(|target| target.out > 0);
        !out && self.closed_until <= here.now && !self.is_cold(here)
    }
}

impl Here {
    /// Idle connections are closed for a while after calls on them were lost or new ones refused: harmful, by
    /// the price of new ones, if mistaken. In a crowd half a refusal is presumed, up to 100 answers.
    pub(super) fn closes(&self, kind: DestinationKindId, crowded: bool) -> bool {
        let KindCounts {
            unconnected,
            answered,
            ..
        } = &self.counts[kind.0];
        let refused = unconnected.read(self.now, REUSE) + if crowded { 0.5 } else { 0.0 };
        self.now < self.stale_until || refused > 0.4_f64.max(0.005 * answered.read(self.now, REUSE))
    }

    /// What an answer takes at all destinations; until anything has answered, a second.
    pub(super) fn common_answer(&self) -> Ms {
        let (time, count) = self.answers.read(self.now, MEMORY);
        (time + 1000.0) / (count + 1.0)
    }

    /// Where calls are over in 20 ms, a call without an answer must not pin its slot for seconds. Of answers
    /// that came, one in three hundred took over eight times the common one; with 15, peers that fell silent
    /// at every thirtieth call took half of the slots.
    pub(super) fn least_time(&self) -> Ms {
        (8.0 * self.common_answer()).min(LEAST_TIME)
    }

    /// When an offline lane gets its next ping.
    pub(super) fn ping_due(&self, lane: &Lane, wanted: bool) -> Ms {
        let pings = wanted
            && self.terms.health_checks_allowed
            && lane.offline
            && !lane.ping_out
            && lane.runs();
        Some(lane.ping_at.max(lane.closed_until))
            .filter(|_| pings)
            .unwrap_or(f64::INFINITY)
    }
}
