//! Pinned digests of all decisions, with all their arguments in full precision, over seeded random
//! inputs. The digest of each seed was computed by an earlier version; a code change that changes
//! no decision changes no digest.

mod host;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use host::{config, event, target};
use plankhill_decisions::interface::{
    AttemptOutcome, AttemptReport, DecisionConfig, DestinationId, DestinationKindId, Effects,
    EndpointState, EventId, Idempotency, Ms, OrderKey, TargetId, TrafficTypeId, UnknownId, ZoneId,
};
use plankhill_decisions::scheduler::Scheduler;
use rstest::rstest;

const DIGESTS: &str = include_str!("decision_stream/digests.txt");
const SEEDS: u64 = 24;
const ITERATIONS: usize = 3000;
const DESTINATIONS: u64 = 7;
const TARGETS: u64 = 3; // of each destination

/// SplitMix64, which yields the same numbers on every machine.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    /// Returns a number from 0 to 1, in steps with a short decimal form.
    fn unit(&mut self) -> f64 {
        self.below(1024) as f64 / 1024.0
    }
    fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// FNV-1a with 64 bits.
struct Digest(u64);

impl Digest {
    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Adds each decision to the digest as a line of text, and keeps what is in flight for the input
/// generator.
struct Recorder {
    random: Random,
    digest: Digest,
    counts: BTreeMap<&'static str, u64>,
    in_flight: BTreeMap<EventId, TargetId>,
    health_checks: BTreeSet<TargetId>,
    unacknowledged: BTreeSet<EventId>,
    live: BTreeSet<EventId>,
    warming_up: BTreeMap<TargetId, (Ms, f64)>,
}

impl Recorder {
    fn new(seed: u64) -> Self {
        Recorder {
            random: Random(seed ^ 0x5eed),
            digest: Digest(0xcbf2_9ce4_8422_2325),
            counts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            health_checks: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            live: BTreeSet::new(),
            warming_up: BTreeMap::new(),
        }
    }

    fn record(&mut self, decision: &'static str, arguments: std::fmt::Arguments) {
        let mut line = String::new();
        writeln!(line, "{decision} {arguments}").expect("writing to a string succeeds");
        self.digest.add(&line);
        *self.counts.entry(decision).or_default() += 1;
    }

    fn completed(&mut self, event: &EventId) -> bool {
        self.live.remove(event);
        let by_notification = self.random.one_in(2);
        if by_notification {
            self.unacknowledged.insert(event.clone());
        }
        by_notification
    }
}

impl Effects for Recorder {
    fn select_target(
        &mut self,
        event: &EventId,
        open: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        let open: Vec<&str> = open.map(|target| &*target.0).collect();
        self.record("choose", format_args!("{} of {open:?}", event.0));
        // The position is sometimes past the end, in which case the scheduler's own draw is used.
        self.random
            .one_in(3)
            .then(|| self.random.below(open.len() as u64 + 1) as usize)
    }
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, leaves_by: Ms) {
        self.record(
            "send",
            format_args!("{} {} {timeout:?} {leaves_by:?}", event.0, target.0),
        );
        self.in_flight.insert(event.clone(), target.clone());
    }
    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool {
        self.record("dismiss", format_args!("{} {retry_after:?}", event.0));
        self.completed(event)
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.record("write_off", format_args!("{}", event.0));
        self.completed(event)
    }
    fn health_check(&mut self, target: &TargetId) {
        self.record("ping", format_args!("{}", target.0));
        self.health_checks.insert(target.clone());
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.record("close_idle", format_args!("{}", target.0));
    }
    fn cancel_unsent(&mut self, target: &TargetId) {
        self.record("take_back", format_args!("{}", target.0));
    }
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        self.record(
            "note_cold",
            format_args!("{} {since:?} {usual:?}", target.0),
        );
        self.warming_up.insert(target.clone(), (since, usual));
    }
    fn wake_after(&mut self, pause: Ms) {
        self.record("wake_after", format_args!("{pause:?}"));
    }
}

/// Returns a configuration that depends on the seed, so that the seeds cover both values of each
/// switch.
fn config_of(seed: u64) -> DecisionConfig {
    let mut config = config();
    config.seed = seed;
    config.instance = seed % 3;
    config.forwarder_count = [1.0, 2.0, 9.0, 60.0][(seed % 4) as usize];
    config.max_calls_in_flight = [4, 12, 40][(seed % 3) as usize];
    config.event_capacity = [40, 120][(seed % 2) as usize];
    config.health_checks_allowed = seed % 5 != 4;
    config.member_quotas = vec![0.5, 3.0, 40.0];
    config.over_quota_value_weight = 0.25;
    config.max_retry_after = (seed % 4 != 3).then_some(2000.0);
    config.tuning.paces_calls = seed % 6 != 5;
    config.tuning.release_on_health_check_only = seed % 7 == 6;
    if let Idempotency::Deduplicated {
        per_zone: one_zone, ..
    } = &mut config.traffic_types[1].idempotency
    {
        *one_zone = seed % 2 == 1;
    }
    config.traffic_types[2].value = 4.0;
    config.traffic_types[1].ordered = seed % 3 == 2;
    config
}

fn target_of(destination: u64, number: u64) -> TargetId {
    target(&format!("t{destination}-{number}"))
}

fn list(scheduler: &mut Scheduler, destination: u64, number: u64, state: EndpointState) {
    let kind = DestinationKindId((destination % 2) as usize);
    let zone = ZoneId((number % 2) as usize);
    scheduler.on_endpoint_listed(
        target_of(destination, number),
        DestinationId(destination),
        kind,
        zone,
        state,
    );
}

fn any_target(random: &mut Random) -> (u64, u64) {
    (1 + random.below(DESTINATIONS), random.below(TARGETS))
}

fn pick<T: Clone>(random: &mut Random, of: &BTreeSet<T>) -> Option<T> {
    if of.is_empty() {
        return None;
    }
    let at = random.below(of.len() as u64) as usize;
    of.iter().nth(at).cloned()
}

/// Returns the outcome of a call to the destination. Each destination has periods with different
/// kinds of faults.
fn outcome(random: &mut Random, destination: u64, now: Ms) -> AttemptOutcome {
    let period = (now / 9000.0) as u64 + destination;
    let bad = match period % 6 {
        0 => AttemptOutcome::ConnectFailed,
        1 => AttemptOutcome::Rejected,
        2 => AttemptOutcome::TimedOut,
        3 => [
            AttemptOutcome::Error,
            AttemptOutcome::Reset,
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
        ][random.below(4) as usize],
        _ => AttemptOutcome::Delivered,
    };
    if random.one_in(4) {
        AttemptOutcome::Delivered
    } else {
        bad
    }
}

fn report(random: &mut Random, outcome: AttemptOutcome) -> AttemptReport {
    let elapsed = if outcome == AttemptOutcome::TimedOut {
        900.0 + 1200.0 * random.unit()
    } else {
        5.0 + 300.0 * random.unit()
    };
    let retry_after = if outcome == AttemptOutcome::Rejected && random.one_in(3) {
        4000.0 * random.unit()
    } else {
        0.0
    };
    let limit_remaining =
        [None, Some(random.unit()), Some(-1.0), Some(0.05)][random.below(4) as usize];
    AttemptReport {
        elapsed,
        retry_after,
        limit_remaining,
        event_complete: outcome == AttemptOutcome::Delivered || random.one_in(40),
        ..AttemptReport::from_outcome(outcome)
    }
}

/// Generates the inputs of successive iterations.
struct InputGenerator {
    random: Random,
    now: Ms,
    accepted: u64,
}

impl InputGenerator {
    fn accept(&mut self, scheduler: &mut Scheduler, recorder: &mut Recorder) {
        self.accepted += 1;
        let id = event(&format!("e{}", self.accepted));
        let destination = DestinationId(1 + self.random.below(DESTINATIONS));
        let key = self
            .random
            .one_in(2)
            .then(|| OrderKey(self.random.below(12)));
        let traffic = TrafficTypeId(self.random.below(3) as usize);
        let deadline = self.now + 1000.0 + 19_000.0 * self.random.unit();
        scheduler.accept_event(id.clone(), destination, traffic, deadline, key);
        recorder.live.insert(id.clone());
        match self.random.below(24) {
            0..8 => {
                scheduler.charge_member(&id, self.random.below(4) as usize, self.random.one_in(5))
            }
            8 => {
                let attempts = self.random.below(3) as u32;
                let possible_execution =
                    (attempts > 0).then(|| (self.now - 500.0 * self.random.unit(), ZoneId(1)));
                scheduler.restore_attempts(
                    &id,
                    attempts,
                    possible_execution,
                    attempts > 0 && self.random.one_in(2),
                );
            }
            9 => {
                scheduler.restore_attempts(&id, 1, Some((self.now - 10.0, ZoneId(0))), true);
                scheduler.defer_for_remote_attempt(&id, self.now + 2000.0 * self.random.unit());
            }
            10 => {
                scheduler.restore_completed(&id);
                recorder.live.remove(&id);
                recorder.unacknowledged.insert(id);
            }
            _ => (),
        }
    }

    fn end_calls(&mut self, scheduler: &mut Scheduler, recorder: &mut Recorder) {
        let out: Vec<EventId> = recorder.in_flight.keys().cloned().collect();
        for id in out {
            if !self.random.one_in(3) {
                continue;
            }
            let target = recorder.in_flight.remove(&id).expect("in flight");
            let destination = target.0[1..2].parse().expect("a digit");
            let outcome = outcome(&mut self.random, destination, self.now);
            let report = report(&mut self.random, outcome);
            if report.event_complete {
                recorder.live.remove(&id);
            }
            scheduler.on_attempt_ended(&id, report).expect("was sent");
        }
    }

    fn end_health_checks(&mut self, scheduler: &mut Scheduler, recorder: &mut Recorder) {
        let Some(target) = pick(&mut self.random, &recorder.health_checks) else {
            return;
        };
        recorder.health_checks.remove(&target);
        let destination = target.0[1..2].parse().expect("a digit");
        let outcome = outcome(&mut self.random, destination, self.now);
        // A target that has been dropped in the meantime is unknown.
        let known = scheduler.on_health_check_ended(&target, outcome);
        recorder.record("ping_ended", format_args!("{known:?}"));
    }

    fn change_list(&mut self, scheduler: &mut Scheduler) {
        let (destination, number) = any_target(&mut self.random);
        match self.random.below(8) {
            0 => {
                scheduler.on_endpoint_list_replaced();
                for destination in 1..=DESTINATIONS {
                    for number in 0..TARGETS {
                        if !self.random.one_in(12) {
                            list(scheduler, destination, number, EndpointState::Running);
                        }
                    }
                }
            }
            1 => scheduler
                .set_endpoint_state(&target_of(destination, number), EndpointState::Removed),
            2 => scheduler
                .set_endpoint_state(&target_of(destination, number), EndpointState::Draining),
            3 => scheduler.on_target_restarted(&target_of(destination, number)),
            4 => scheduler
                .set_advertised_rate(DestinationId(destination), 200.0 * self.random.unit()),
            _ => list(scheduler, destination, number, EndpointState::Running),
        }
    }

    fn inputs(&mut self, scheduler: &mut Scheduler, recorder: &mut Recorder) {
        self.end_calls(scheduler, recorder);
        if self.random.one_in(2) {
            self.end_health_checks(scheduler, recorder);
        }
        let flood = if self.random.one_in(150) { 60 } else { 0 };
        for _ in 0..self.random.below(4) + flood {
            self.accept(scheduler, recorder);
        }
        if self.random.one_in(40) {
            self.change_list(scheduler);
        }
        if self.random.one_in(3) {
            if let Some(id) = pick(&mut self.random, &recorder.unacknowledged) {
                recorder.unacknowledged.remove(&id);
                scheduler.on_completion_acknowledged(&id);
            }
        }
        if self.random.one_in(60) {
            if let Some(id) = pick(&mut self.random, &recorder.live) {
                recorder.live.remove(&id);
                scheduler.withdraw_event(&id);
            }
        }
        if self.random.one_in(60) {
            if let Some(id) = pick(&mut self.random, &recorder.live) {
                scheduler.merge_remote_attempts(&id, 1, Some((self.now - 100.0, ZoneId(0))));
            }
        }
        if self.random.one_in(400) {
            for (target, (since, usual)) in &recorder.warming_up {
                scheduler.restore_warm_up(target, *since, *usual);
            }
        }
    }
}

/// Returns a line of the fixture (the seed, the number of decisions and the digest of all of them)
/// and the number of decisions of each kind.
fn stream(seed: u64) -> (String, BTreeMap<&'static str, u64>) {
    let mut recorder = Recorder::new(seed);
    let mut generator = InputGenerator {
        random: Random(seed),
        now: 0.0,
        accepted: 0,
    };
    let mut scheduler = Scheduler::new(config_of(seed), 0.0);
    for destination in 1..=DESTINATIONS {
        for number in 0..TARGETS {
            list(&mut scheduler, destination, number, EndpointState::Running);
        }
    }
    for iteration in 0..ITERATIONS {
        let max_pause = if generator.random.one_in(200) {
            4000.0
        } else {
            40.0
        };
        generator.now += 1.0 + max_pause * generator.random.unit();
        let now = generator.now;
        if iteration + 400 == ITERATIONS {
            scheduler.begin_shutdown(now + 30_000.0);
        }
        if generator.random.one_in(500) {
            let state = rmp_serde::to_vec(&scheduler).expect("encodes");
            scheduler = rmp_serde::from_slice::<Scheduler>(&state)
                .expect("decodes")
                .resume(config_of(seed));
        }
        let apply_inputs = |scheduler: &mut Scheduler, recorder: &mut Recorder| {
            generator.inputs(scheduler, recorder);
            Ok::<(), UnknownId>(())
        };
        scheduler
            .run_iteration(now, apply_inputs, &mut recorder)
            .expect("the inputs refer only to known ids");
        let known = (1..=DESTINATIONS + 1)
            .filter(|&id| scheduler.has_destination(DestinationId(id)))
            .count();
        recorder.digest.add(&format!("round {now:?} {known}\n"));
    }
    let decisions: u64 = recorder.counts.values().sum();
    (
        format!("{seed} {decisions} {:016x}", recorder.digest.0),
        recorder.counts,
    )
}

#[rstest]
fn random_inputs_lead_to_the_pinned_decisions() {
    let lines: Vec<&str> = DIGESTS.lines().collect();
    assert_eq!(lines.len() as u64, SEEDS, "a line for each seed");
    for (seed, line) in (0..SEEDS).zip(lines) {
        assert_eq!(stream(seed).0, line, "seed, decisions, digest");
    }
}

#[rstest]
fn the_random_inputs_provoke_every_kind_of_decision() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..SEEDS {
        for (decision, count) in stream(seed).1 {
            *counts.entry(decision).or_default() += count;
        }
    }
    let all = [
        "choose",
        "send",
        "dismiss",
        "write_off",
        "ping",
        "close_idle",
        "take_back",
        "note_cold",
        "wake_after",
    ];
    for decision in all {
        assert!(
            counts.get(decision).is_some_and(|count| *count >= 20),
            "{decision}: {counts:?}"
        );
    }
}
