//! How loaded a target is: the attempts of this proxy in flight there, and the load that the target
//! last reported. Owned by the target's entry in the table of targets.

use plankhill_decisions::interface::Ms;

use crate::attempt::UpstreamLoad;

/// A report loses half of its weight in this time. The requests in flight at a target change within
/// an answer's time, so that an older report says less than the load that is typical of the
/// service.
const REPORT_HALF_LIFE: Ms = 150.0;
/// The same for a report of unusually many requests: a target that is slow, or that many proxies
/// prefer, stays so for seconds.
const UNUSUAL_REPORT_HALF_LIFE: Ms = 2_000.0;
/// A report is unusual if it is of this many times as many requests of other proxies as is typical,
/// and some more.
const UNUSUAL_FACTOR: f64 = 3.0;
const UNUSUAL_EXTRA: f64 = 8.0;
/// What is typical of a service loses half of its weight in this time once nothing is reported.
const TYPICAL_HALF_LIFE: Ms = 2_000.0;
/// The cost of a target whose slots are all taken, in expected milliseconds; less in proportion
/// while they are not. Services without prompts slow down a little near their limit.
pub const FULL_SLOTS_COST: Ms = 100.0;
/// The same where prompts are prefilled: each request in flight comes with some that are still to
/// be prefilled, 20 ms at 32 slots. With 3 ms a burst left six times as many programs late, with 40
/// ms sessions moved too often.
pub const FULL_SLOTS_COST_WITH_PREFILL: Ms = 640.0;
/// The weight of the newest answer in the typical answer time.
const ANSWER_TIME_WEIGHT: f64 = 0.1;
/// The typical answer time before any answer was seen.
const INITIAL_ANSWER_TIME: Ms = 100.0;
/// A target whose last attempt failed is avoided for this long while others serve: until a health
/// check or another attempt says more.
const AVOIDANCE_TTL: Ms = 500.0;
/// The weight of that avoidance, in expected milliseconds.
const AVOIDANCE_COST: Ms = 1_000.0;
/// Bounds of the backoff derived from a rejection.
const MIN_REJECTION_BACKOFF: Ms = 20.0;
const MAX_REJECTION_BACKOFF: Ms = 500.0;
/// The share of a target's requests that has to finish before it is sent requests again.
const REJECTION_BACKOFF_SHARE: f64 = 0.1;

/// The load of one target as this proxy sees it.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    slots: f64,
    in_flight: u32,
    reported_others: f64,
    reported_at: Ms,
    typical_answer_time: Option<Ms>,
    avoided_until: Ms,
    prefill_until: Ms,
}

impl TargetLoad {
    /// A target of which only the registered capacity is known, in requests at once.
    pub fn new(capacity: u32) -> Self {
        TargetLoad {
            slots: f64::from(capacity.max(1)),
            in_flight: 0,
            reported_others: 0.0,
            reported_at: 0.0,
            typical_answer_time: None,
            avoided_until: f64::NEG_INFINITY,
            prefill_until: f64::NEG_INFINITY,
        }
    }

    /// Attempts of this proxy in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// An attempt is sent.
    pub fn on_sent(&mut self) {
        self.in_flight += 1;
    }

    /// A prompt that takes `prefill` to read was sent there.
    pub fn on_prefill(&mut self, now: Ms, prefill: Ms) {
        self.prefill_until = self.prefill_until.max(now) + prefill;
    }

    /// An attempt has ended.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in a report. Attempts of this proxy are not counted twice.
    pub fn on_report(&mut self, now: Ms, load: UpstreamLoad) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        self.reported_others = (all - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
        if load.slots > 0 {
            self.slots = f64::from(load.slots);
        }
    }

    /// An answer's head came after `elapsed`.
    pub fn on_answer(&mut self, elapsed: Ms) {
        let before = self.typical_answer_time.unwrap_or(elapsed);
        self.typical_answer_time = Some(before + ANSWER_TIME_WEIGHT * (elapsed - before));
        self.avoided_until = f64::NEG_INFINITY;
    }

    /// An attempt failed there, or could not be written.
    pub fn on_failure(&mut self, now: Ms) {
        self.avoided_until = now + AVOIDANCE_TTL;
    }

    /// Requests of other proxies there by the last report, which decays within some seconds.
    pub fn others(&self, now: Ms) -> f64 {
        self.reported_others * (-self.report_age(now) / TYPICAL_HALF_LIFE).exp2()
    }

    /// Requests of all proxies that are probably there: as reported, and with the age of the report
    /// as many of other proxies as is typical of the service (`typical_others`).
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

    /// How much longer an answer from this target takes than from an idle one, in expected
    /// milliseconds. `estimate` is the number of requests there, `full_slots_cost` the cost once
    /// all slots are taken.
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
            + waiting * self.answer_time() / self.slots
            + avoidance
    }

    /// How long a target that rejected an attempt is sent nothing: until a tenth of its requests is
    /// done.
    pub fn rejection_backoff(&self, now: Ms) -> Ms {
        let requests = self.estimate(now, 0.0).max(self.slots);
        (REJECTION_BACKOFF_SHARE * requests * self.answer_time() / self.slots)
            .clamp(MIN_REJECTION_BACKOFF, MAX_REJECTION_BACKOFF)
    }

    /// How long an answer's head typically takes.
    pub fn answer_time(&self) -> Ms {
        self.typical_answer_time.unwrap_or(INITIAL_ANSWER_TIME)
    }

    fn report_age(&self, now: Ms) -> Ms {
        (now - self.reported_at).max(0.0)
    }
}
