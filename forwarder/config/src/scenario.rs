//! A scenario of the emulator: a simulated day with its destinations, clients, forwarders and faults. Times are in
//! milliseconds, shares are between 0 and 1, rates are per second. Each key is documented and defaulted here;
//! `docs/emulator.md` describes how the model uses it.

mod check;

pub use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::tables::Text;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One sentence on what the scenario demonstrates.
    pub about: String,
    pub length: Ms,
    #[serde(default)]
    pub seed: u64,
    /// A scenario whose estimated memory exceeds this is refused before it starts.
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    #[serde(default)]
    pub forwarders: Forwarders,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub network: Network,
    pub clients: Clients,
    pub traffic: Vec<Traffic>,
    pub destinations: Vec<Group>,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Simulates at most this many faults, the first ones of the list: for sweeps over the number of simultaneous
    /// faults.
    #[serde(default, rename = "troubles_played")]
    pub max_faults: Option<usize>,
}

/// The decider of the forwarders: the decision module, or a baseline to compare it with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decider {
    #[default]
    Module,
    OneTry,
    Backoff,
    Breaker,
    Budget,
    Aimd,
}

impl Decider {
    pub const ALL: [(&'static str, Decider); 6] = [
        ("module", Decider::Module),
        ("one_try", Decider::OneTry),
        ("backoff", Decider::Backoff),
        ("breaker", Decider::Breaker),
        ("budget", Decider::Budget),
        ("aimd", Decider::Aimd),
    ];
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forwarders {
    pub count: usize,
    pub decisions: Decider,
    /// A baseline's timeout of each call; the module computes its own timeouts.
    pub time_out: Ms,
    #[serde(rename = "slots")]
    pub max_calls_in_flight: usize,
    /// The limit on events that are pending or whose completion is not acknowledged; further events are rejected at
    /// submission.
    #[serde(rename = "room")]
    pub event_capacity: usize,
    /// The shortest time between two event loop iterations of one forwarder.
    #[serde(rename = "round")]
    pub min_iteration_interval: Ms,
    /// The completion of an event that was accepted earlier goes by a notification, which is acknowledged after this
    /// time.
    #[serde(rename = "notice")]
    pub notification_delay: Ms,
    /// A change of the endpoint list reaches a forwarder after a delay drawn uniformly between these two.
    pub list_delay: [Ms; 2],
    /// The share of changes that an update of the endpoint list leaves out; they come with the next update.
    #[serde(rename = "list_partial")]
    pub list_omitted_share: f64,
    /// The time for which the layer before the forwarders continues to send to a forwarder that is down.
    #[serde(rename = "front_lag")]
    pub routing_lag: Ms,
    /// The time between the end of a process that was shut down and the start of the next one.
    #[serde(rename = "restart")]
    pub restart_delay: Ms,
    /// The time that a process has to shut down.
    #[serde(rename = "closing")]
    pub shutdown_timeout: Ms,
}

impl Default for Forwarders {
    fn default() -> Self {
        Forwarders {
            count: 3,
            decisions: Decider::Module,
            time_out: 2000.0,
            max_calls_in_flight: 64,
            event_capacity: 2000,
            min_iteration_interval: 0.0,
            notification_delay: 5.0,
            list_delay: [200.0, 2000.0],
            list_omitted_share: 0.0,
            routing_lag: 2000.0,
            restart_delay: 500.0,
            shutdown_timeout: 3400.0,
        }
    }
}

/// The rules that the forwarders are configured with, and the limits on their actions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    #[serde(rename = "sends_cap")]
    pub max_attempts: u32,
    #[serde(rename = "pings")]
    pub health_checks: bool,
    #[serde(rename = "longest_advice")]
    pub max_retry_after: Option<Ms>,
    pub grace: Ms,
    #[serde(rename = "key_rest")]
    pub key_cooldown: Ms,
    #[serde(rename = "cold_share")]
    pub warm_up_initial_share: f64,
    #[serde(rename = "warm_after")]
    pub warm_up_duration: Ms,
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// A lane that is warming up is overloaded when the load within this time exceeds `overload_multiple` times its
    /// capacity.
    #[serde(rename = "tip_span")]
    pub overload_window: Ms,
    /// The least load within `overload_window`, in calls, that can overload a lane.
    #[serde(rename = "tip_least")]
    pub overload_min_load: f64,
    /// The downtime of an overloaded lane.
    #[serde(rename = "tipped")]
    pub overload_duration: Ms,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_attempts: 6,
            health_checks: true,
            max_retry_after: Some(2000.0),
            grace: 250.0,
            key_cooldown: 300.0,
            warm_up_initial_share: 0.2,
            warm_up_duration: 10_000.0,
            overload_multiple: 2.0,
            overload_window: 1000.0,
            overload_min_load: 5.0,
            overload_duration: 10_000.0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Forwarders and targets are assigned to the zones in rotation.
    pub zones: Vec<String>,
    /// The one-way latency, within one zone and between two zones.
    pub within: Ms,
    pub between: Ms,
    /// The mean of the random jitter that is added to the latency.
    pub jitter: Ms,
    /// The share of messages that never arrive.
    pub loss: f64,
    pub pairs: Vec<Pair>,
    /// The time after which a connection attempt without a response counts as refused.
    pub connect_time_out: Ms,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            zones: vec!["here".into()],
            within: 0.5,
            between: 3.0,
            jitter: 0.2,
            loss: 0.0,
            pairs: Vec::new(),
            connect_time_out: 1500.0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pair {
    pub from: String,
    pub to: String,
    pub latency: Ms,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The mean number of events per second over `day`.
    pub rate: f64,
    /// The Zipf exponent of the destinations' popularity; 0 is uniform.
    #[serde(default = "one")]
    pub zipf: f64,
    /// The share of arrivals that bring a burst of events, and the mean size of a burst.
    #[serde(default, rename = "clumps")]
    pub burst_share: f64,
    #[serde(default = "ten", rename = "clump_size")]
    pub burst_size: f64,
    /// The rate varies by this share over `day`.
    #[serde(default, rename = "swing")]
    pub rate_variation: f64,
    #[serde(default = "day")]
    pub day: Ms,
    /// The number of order keys, and the Zipf exponent of their popularity.
    #[serde(default = "keys")]
    pub keys: u64,
    #[serde(default = "one")]
    pub key_zipf: f64,
    /// Destinations are assigned to tenants in rotation.
    #[serde(default = "tenants")]
    pub tenants: usize,
    /// The limit on resubmissions of a rejected event, and the mean pause before one if the rejection has no
    /// retry-after.
    #[serde(default = "resubmissions", rename = "returns")]
    pub max_resubmissions: u32,
    #[serde(default = "pause", rename = "pause")]
    pub resubmission_pause: Ms,
    /// An event that could not be submitted, or was lost with a machine, is submitted again after this time.
    #[serde(default = "again_after", rename = "again_after")]
    pub retry_pause: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    #[serde(rename = "retriable")]
    Idempotent,
    #[serde(rename = "fingerprinted")]
    Deduplicated,
    #[serde(rename = "binding")]
    NonIdempotent,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub name: String,
    pub effect: Idempotency,
    /// For `fingerprinted` events: how long a duplicate is recognized, and whether in one zone only.
    #[serde(default)]
    pub window: Ms,
    #[serde(default)]
    pub one_zone: bool,
    pub soft_limit: Ms,
    pub patience: Ms,
    pub payoff: f64,
    #[serde(default)]
    pub payoff_at_end: f64,
    #[serde(default)]
    pub ordered: bool,
    pub share: f64,
    /// Multiplies a destination's service time.
    #[serde(default = "one")]
    pub work: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    #[serde(default = "one_usize")]
    pub count: usize,
    #[serde(default = "one_usize")]
    pub targets: usize,
    /// The group's share of the traffic, relative to the sum of all shares.
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default, rename = "routes_apart")]
    pub independent_routes: bool,
    #[serde(default = "one_usize")]
    pub events_per_call: usize,
    /// At each target: calls served concurrently, and the length of its queue.
    #[serde(default = "servers")]
    pub servers: usize,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default)]
    pub answer: Answer,
    #[serde(default)]
    pub limit: Limit,
    /// The limit on a target's connections, the time to set one up on top of the round trip, and the time after which
    /// the target drops an idle connection without notice. 0: no limit, connections are not dropped.
    #[serde(default)]
    pub connections: usize,
    #[serde(default)]
    pub set_up: Ms,
    #[serde(default, rename = "reaped_after")]
    pub idle_timeout: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    Fixed,
    Exponential,
    LogNormal,
    /// Log-normal, with a Pareto tail for a share of the answers.
    Tailed,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Answer {
    pub shape: Shape,
    pub mean: Ms,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The share of answers from the tail, and the tail's exponent (over 1).
    pub tail: f64,
    pub alpha: f64,
    /// How far targets differ: each has a factor drawn uniformly from 1 - `target_variation` to 1 + `target_variation`.
    #[serde(rename = "differ")]
    pub target_variation: f64,
}

impl Default for Answer {
    fn default() -> Self {
        Answer {
            shape: Shape::LogNormal,
            mean: 50.0,
            spread: 0.5,
            tail: 0.01,
            alpha: 1.5,
            target_variation: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    None,
    Rate,
    FixedWindow,
    SlidingWindow,
    Concurrency,
}

/// The limit above which a destination rejects calls, or each of its routes if these are independent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    pub kind: LimitKind,
    /// Calls per second, per window, or in progress, depending on `kind`.
    pub calls: f64,
    /// The burst that a rate limit admits.
    pub burst: f64,
    pub window: Ms,
    #[serde(rename = "refused_count")]
    pub counts_rejected_calls: bool,
    /// The least retry-after of a rejection; the retry-after is the time until the limit admits calls again. 0:
    /// rejections carry no retry-after.
    #[serde(rename = "tells_wait")]
    pub min_retry_after: Ms,
    /// Whether the load that a destination can handle while it warms up is bounded by the limit, scaled by how far
    /// it has warmed up, although its answers do not slow down. Otherwise only its servers bound that load.
    #[serde(rename = "bears_cold")]
    pub bounds_warm_up: bool,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            kind: LimitKind::None,
            calls: 10.0,
            burst: 5.0,
            window: 1000.0,
            counts_rejected_calls: false,
            min_retry_after: 0.0,
            bounds_warm_up: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Connections are refused.
    Down,
    /// Calls are accepted, but never run or answered.
    Silent,
    /// Calls run, but are answered too late for every caller.
    Hung,
    /// Answers take `strength` times as long.
    Slow,
    /// Alternates between down and up, `every` milliseconds each.
    Flapping,
    /// A share `strength` of the calls is answered with an error, half of them after they ran.
    Erring,
    /// A share `strength` of the calls is reset, half of them after they ran.
    Resetting,
    /// Limits and servers are multiplied by `strength`.
    LimitLowered,
    /// Idle connections are dead, without notice to either side.
    HalfOpen,
    /// The answers to a share `strength` of the forwarders are lost.
    CutOneWay,
    /// Targets drain, are removed after `every`, and are listed again at the fault's end.
    Gone,
    /// The targets are replaced by new ones, one after another.
    Replaced,
    /// The affected forwarders receive no updates of the endpoint list.
    ListFrozen,
    /// Each affected destination gets `strength` events within the fault's length.
    MassWake,
    /// The affected tenants or destinations get `strength` times the total rate in addition.
    Flood,
    /// Clients submit a rejected event again `strength` times as often, after a short pause, whatever the
    /// retry-after.
    RetryStorm,
    /// The process is killed and starts again after `every` with its folder intact.
    ForwarderKilled,
    /// The machine is lost with all its data.
    ForwarderLost,
    /// The process stalls for the fault's length, or for `every` if that is shorter.
    ForwarderStalled,
    /// The process is shut down and started again.
    ForwarderReplaced,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub start: Ms,
    pub length: Ms,
    #[serde(default = "one")]
    pub strength: f64,
    #[serde(default = "every")]
    pub every: Ms,
    /// A fault of forwarders strikes the affected forwarders one after another, this far apart.
    #[serde(default)]
    pub apart: Ms,
    #[serde(default, rename = "whom")]
    pub scope: FaultScope,
}

/// The scope of a fault. Each key narrows the selection; without any, the fault affects everything.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultScope {
    /// Destinations of this group.
    pub group: Option<String>,
    pub tenant: Option<usize>,
    /// The most used destinations, until they make up this share of the traffic.
    pub share_of_traffic: Option<f64>,
    /// A share of the destinations (or forwarders), drawn at random.
    pub at_random: Option<f64>,
    /// Targets in this zone only.
    pub zone: Option<String>,
    /// A share of the targets of each destination: the first ones.
    pub targets: Option<f64>,
    /// This many of the most used destinations (or the first forwarders).
    pub first: Option<usize>,
}

fn memory_mb() -> f64 {
    4096.0
}
fn one() -> f64 {
    1.0
}
fn ten() -> f64 {
    10.0
}
fn one_usize() -> usize {
    1
}
fn day() -> Ms {
    86_400_000.0
}
fn keys() -> u64 {
    1000
}
fn tenants() -> usize {
    1
}
fn resubmissions() -> u32 {
    2
}
fn pause() -> Ms {
    1000.0
}
fn again_after() -> Ms {
    1000.0
}
fn servers() -> usize {
    8
}
fn queue() -> usize {
    32
}
fn every() -> Ms {
    1000.0
}

impl Scenario {
    pub fn longest_patience(&self) -> Ms {
        self.traffic
            .iter()
            .map(|traffic| traffic.patience)
            .fold(0.0, f64::max)
    }

    /// Deserializes and checks a scenario. An error is one line with file, line, key and what is allowed.
    pub fn read(text: &Text) -> Result<Scenario, String> {
        let mut scenario: Scenario = text.deserialize()?;
        check::check(&scenario).map_err(|(key, what)| text.error_at(&key, &what))?;
        if let Some(most) = scenario.max_faults {
            scenario.faults.truncate(most);
        }
        Ok(scenario)
    }
}
