//! The load of a target: the attempts of this proxy in flight at the target, and the load that the
//! target last reported. Owned by the target's entry in the table of targets.

use plankhill_decisions::interface::Ms;

use crate::attempt::UpstreamLoad;

/// Half-life of the weight of a load report. The requests in flight at a target change within one
/// response time, so that an older report is less accurate than the load that is typical of the
/// service.
const REPORT_HALF_LIFE: Ms = 150.0;
/// Half-life of the weight of a report of unusually many requests: a target that is slow, or that
/// many proxies prefer, remains so for seconds.
const UNUSUAL_REPORT_HALF_LIFE: Ms = 2_000.0;
/// A report is unusual if its number of requests of other proxies exceeds the typical number times
/// `UNUSUAL_FACTOR` plus `UNUSUAL_EXTRA`.
const UNUSUAL_FACTOR: f64 = 3.0;
const UNUSUAL_EXTRA: f64 = 8.0;
/// Half-life of a report's contribution to the typical load of its service.
const TYPICAL_HALF_LIFE: Ms = 2_000.0;
/// The cost of a target whose slots are all in use, in expected milliseconds; proportionally less
/// if fewer are in use. Services without prompts slow down slightly near their limit.
pub const FULL_SLOTS_COST: Ms = 100.0;
/// The cost where prompts are prefilled: each request in flight comes with some that are still to
/// be prefilled, which costs 20 ms at 32 slots. With 3 ms, six times as many programs were late
/// after a burst; with 40 ms, sessions moved to other targets too often.
pub const FULL_SLOTS_COST_WITH_PREFILL: Ms = 640.0;
/// The weight of the newest response in the typical response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;
/// The typical response time before the first response.
const INITIAL_RESPONSE_TIME: Ms = 100.0;
/// Time for which a target whose last attempt failed is avoided in favour of others, until a health
/// check or another attempt gives newer information.
const AVOIDANCE_TTL: Ms = 500.0;
/// The additional cost of an avoided target, in expected milliseconds.
const AVOIDANCE_COST: Ms = 1_000.0;
/// Bounds of the backoff derived from a rejection.
const MIN_REJECTION_BACKOFF: Ms = 20.0;
const MAX_REJECTION_BACKOFF: Ms = 500.0;
/// The share of a target's requests that has to complete before a target that rejected an attempt
/// is sent requests again.
const REJECTION_BACKOFF_SHARE: f64 = 0.1;

/// The load of one target as observed by this proxy.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    slots: f64,
    in_flight: u32,
    reported_others: f64,
    reported_at: Ms,
    typical_response_time: Option<Ms>,
    avoided_until: Ms,
    prefill_until: Ms,
}

impl TargetLoad {
    /// Creates the load of a target of which only the registered capacity is known, in concurrent
    /// requests.
    pub fn new(capacity: u32) -> Self {
        TargetLoad {
            slots: f64::from(capacity.max(1)),
            in_flight: 0,
            reported_others: 0.0,
            reported_at: 0.0,
            typical_response_time: None,
            avoided_until: f64::NEG_INFINITY,
            prefill_until: f64::NEG_INFINITY,
        }
    }

    /// Attempts of this proxy in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that an attempt is sent.
    pub fn on_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a prompt with the prefill time `prefill` is sent to the target.
    pub fn on_prefill(&mut self, now: Ms, prefill: Ms) {
        self.prefill_until = self.prefill_until.max(now) + prefill;
    }

    /// Records that an attempt has ended.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report. The attempts of this proxy are subtracted, so that they are not
    /// counted twice.
    pub fn on_report(&mut self, now: Ms, load: UpstreamLoad) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        self.reported_others = (all - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
        if load.slots > 0 {
            self.slots = f64::from(load.slots);
        }
    }

    /// Records a delivered response with its [`crate::AttemptResult::elapsed`].
    pub fn on_response(&mut self, elapsed: Ms) {
        let before = self.typical_response_time.unwrap_or(elapsed);
        self.typical_response_time = Some(before + RESPONSE_TIME_WEIGHT * (elapsed - before));
        self.avoided_until = f64::NEG_INFINITY;
    }

    /// Records an attempt that failed at the target, or could not be written.
    pub fn on_failure(&mut self, now: Ms) {
        self.avoided_until = now + AVOIDANCE_TTL;
    }

    /// Requests of other proxies at the target by the last report, which decays within a few
    /// seconds.
    pub fn others(&self, now: Ms) -> f64 {
        self.reported_others * (-self.report_age(now) / TYPICAL_HALF_LIFE).exp2()
    }

    /// The estimated number of requests of all proxies at the target. As the last report ages, its
    /// requests of other proxies are gradually replaced by the number that is typical of the
    /// service (`typical_others`).
    pub fn estimate(&self, now: Ms, typical_others: f64) -> f64 {
        let is_unusual = self.reported_others > UNUSUAL_FACTOR * typical_others + UNUSUAL_EXTRA;
        let half_life = if is_unusual {
            UNUSUAL_REPORT_HALF_LIFE
        } else {
            REPORT_HALF_LIFE
        };
        let trust = (-self.report_age(now) / half_life).exp2();
        f64::from(self.in_flight) + trust * self.reported_others + (1.0 - trust) * typical_others
    }

    /// The additional response time of this target compared with an idle one, in expected
    /// milliseconds. `estimate` is the number of requests at the target, `full_slots_cost` the cost
    /// when all slots are in use.
    pub fn cost(&self, now: Ms, estimate: f64, full_slots_cost: Ms) -> Ms {
        let running = estimate.min(self.slots);
        let waiting = estimate - running;
        let avoidance = if now < self.avoided_until {
            AVOIDANCE_COST
        } else {
            0.0
        };
        let prefill = (self.prefill_until - now).max(0.0);
        prefill
            + full_slots_cost * running / self.slots
            + waiting * self.response_time() / self.slots
            + avoidance
    }

    /// The backoff of a target that rejected an attempt: the expected time until a tenth of the
    /// target's requests are complete.
    pub fn rejection_backoff(&self, now: Ms) -> Ms {
        let requests = self.estimate(now, 0.0).max(self.slots);
        (REJECTION_BACKOFF_SHARE * requests * self.response_time() / self.slots)
            .clamp(MIN_REJECTION_BACKOFF, MAX_REJECTION_BACKOFF)
    }

    /// The typical time until a response, or the head of a stream, arrives.
    pub fn response_time(&self) -> Ms {
        self.typical_response_time.unwrap_or(INITIAL_RESPONSE_TIME)
    }

    fn report_age(&self, now: Ms) -> Ms {
        (now - self.reported_at).max(0.0)
    }
}
