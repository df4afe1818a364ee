//! How full a target is: the calls that this proxy has out there, and what the target last reported.

use plankhill_decisions::interface::Ms;

use crate::interface::UpstreamLoad;

/// A report loses half of its weight in this time. What is under way at a target changes within a call's time, so that an
/// older report tells less than what is common at the service.
const HALF_LIFE: Ms = 150.0;
/// The same for a report of far more than is common: a target that is slow, or that many prefer, stays so for seconds.
const UNUSUAL_HALF_LIFE: Ms = 2_000.0;
/// A report is of far more than is common if it is of this many times as many requests of other proxies, and some more.
const UNUSUAL_SHARE: f64 = 3.0;
const UNUSUAL_FEW: f64 = 8.0;
/// What is common at a service is forgotten in this time once nothing is reported.
const LAPSE: Ms = 2_000.0;
/// What a target whose slots are all taken costs, in expected milliseconds; less in proportion while they are
/// not. Plain services slow down a little near their limit.
pub const ALL_SLOTS: Ms = 100.0;
/// The same where prompts are read: each request under way comes with some that are still to be read, 20 ms
/// at 32 slots. With 3 ms a burst left six times as many programs late, with 40 ms sessions moved too often.
pub const ALL_SLOTS_READING: Ms = 640.0;
/// The weight of the newest answer in the usual answer time.
const NEWEST: f64 = 0.1;
/// The usual answer time before any answer was seen.
const INITIAL_ANSWER: Ms = 100.0;
/// A target that failed last is avoided for this long while others serve: until a ping or another's call
/// tells more.
const AVOIDED: Ms = 500.0;
/// What that avoidance weighs, in expected milliseconds.
const AVOIDED_COST: Ms = 1_000.0;
/// Bounds of the wait derived from a refusal as full.
const SHORTEST_WAIT: Ms = 20.0;
const LONGEST_WAIT: Ms = 500.0;

/// The load of one target as this proxy sees it.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    slots: f64,
    out: u32,
    reported_by_others: f64,
    reported_at: Ms,
    usual_answer: Option<Ms>,
    avoided_until: Ms,
    reading_until: Ms,
}

impl TargetLoad {
    /// A target of which only the registered capacity is known.
    pub fn new(capacity: u32) -> Self {
        TargetLoad {
            slots: f64::from(capacity.max(1)),
            out: 0,
            reported_by_others: 0.0,
            reported_at: 0.0,
            usual_answer: None,
            avoided_until: f64::NEG_INFINITY,
            reading_until: f64::NEG_INFINITY,
        }
    }

    /// Calls of this proxy that are out.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// A call leaves.
    pub fn sent(&mut self) {
        self.out += 1;
    }

    /// A prompt that takes so long to read was sent there.
    pub fn reads(&mut self, now: Ms, reading: Ms) {
        self.reading_until = self.reading_until.max(now) + reading;
    }

    /// A call has ended.
    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// Takes in a report. Calls of this proxy are not counted twice.
    pub fn reported(&mut self, now: Ms, load: UpstreamLoad) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        self.reported_by_others = (all - f64::from(self.out)).max(0.0);
        self.reported_at = now;
        if load.slots > 0 {
            self.slots = f64::from(load.slots);
        }
    }

    /// Takes in how long an answer's head took.
    pub fn answered(&mut self, took: Ms) {
        let before = self.usual_answer.unwrap_or(took);
        self.usual_answer = Some(before + NEWEST * (took - before));
        self.avoided_until = f64::NEG_INFINITY;
    }

    /// A call failed there, or could not be written.
    pub fn failed(&mut self, now: Ms) {
        self.avoided_until = now + AVOIDED;
    }

    /// Requests of other proxies there by the last report, which fades in some seconds.
    pub fn others(&self, now: Ms) -> f64 {
        self.reported_by_others * (-self.age(now) / LAPSE).exp2()
    }

    /// Requests that are probably there, of all proxies: as reported, and with the age of the report as many
    /// of other proxies as is common at the service.
    pub fn estimate(&self, now: Ms, common_others: f64) -> f64 {
        let is_unusual = self.reported_by_others > UNUSUAL_SHARE * common_others + UNUSUAL_FEW;
        let half_life = if is_unusual {
            UNUSUAL_HALF_LIFE
        } else {
            HALF_LIFE
        };
        let trust = (-self.age(now) / half_life).exp2();
        f64::from(self.out) + trust * self.reported_by_others + (1.0 - trust) * common_others
    }

    fn age(&self, now: Ms) -> Ms {
        (now - self.reported_at).max(0.0)
    }

    /// How much longer an answer from here takes than from an idle target, in expected milliseconds.
    pub fn cost(&self, now: Ms, estimate: f64, all_slots: Ms) -> Ms {
        let running = estimate.min(self.slots);
        let waiting = estimate - running;
        let avoided = if now < self.avoided_until {
            AVOIDED_COST
        } else {
            0.0
        };
        let reads = (self.reading_until - now).max(0.0);
        reads
            + all_slots * running / self.slots
            + waiting * self.answer_time() / self.slots
            + avoided
    }

    /// How long a target that refused as full takes nothing: until a tenth of what it has there is done.
    pub fn wait_after_refusal(&self, now: Ms) -> Ms {
        let there = self.estimate(now, 0.0).max(self.slots);
        (0.1 * there * self.answer_time() / self.slots).clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /// How long an answer's head usually takes.
    pub fn answer_time(&self) -> Ms {
        self.usual_answer.unwrap_or(INITIAL_ANSWER)
    }
}
