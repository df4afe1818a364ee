//! Checks of a scenario's values, beyond their types. An error is a key and a description of what is allowed there.

use super::*;

type Checked = Result<(), (String, String)>;

fn within(key: &str, value: f64, least: f64, most: f64) -> Checked {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    let allowed = match most == f64::MAX {
        true => format!("{value} is not allowed; must be {least} or more"),
        false => format!("{value} is not allowed; must be {least} to {most}"),
    };
    Err((key.to_owned(), allowed))
}

fn share(key: &str, value: f64) -> Checked {
    within(key, value, 0.0, 1.0)
}

fn least(key: &str, value: f64, least: f64) -> Checked {
    within(key, value, least, f64::MAX)
}

fn named(key: &str, name: &str, names: &[String]) -> Checked {
    if names.iter().any(|known| known == name) {
        return Ok(());
    }
    let nearest =
        crate::tables::nearest_of(name, names.iter().map(String::as_str)).unwrap_or("none");
    Err((
        key.to_owned(),
        format!("{name:?} is not known; the nearest is {nearest:?}"),
    ))
}

pub(super) fn check(scenario: &Scenario) -> Checked {
    within("length", scenario.length, 1.0, 1e10)?;
    least("memory_mb", scenario.memory_mb, 1.0)?;
    forwarders(&scenario.forwarders)?;
    rules(&scenario.rules)?;
    network(&scenario.network)?;
    clients(&scenario.clients)?;
    if scenario.traffic.is_empty() {
        return Err((
            "traffic".into(),
            "at least one [[traffic]] is required".into(),
        ));
    }
    for (at, traffic) in scenario.traffic.iter().enumerate() {
        let key = |field: &str| format!("traffic[{at}].{field}");
        least(&key("soft_limit"), traffic.soft_limit, 0.0)?;
        least(
            &key("patience"),
            traffic.patience,
            traffic.soft_limit.max(100.0),
        )?;
        least(&key("payoff"), traffic.payoff, 0.0)?;
        share(&key("payoff_at_end"), traffic.payoff_at_end)?;
        least(&key("share"), traffic.share, 0.0)?;
        least(&key("work"), traffic.work, 0.0)?;
        least(&key("window"), traffic.window, 0.0)?;
    }
    if scenario.traffic.iter().map(|t| t.share).sum::<f64>() <= 0.0 {
        return Err(("traffic[0].share".into(), "all shares are 0".into()));
    }
    if scenario.destinations.is_empty() {
        return Err((
            "destinations".into(),
            "at least one [[destinations]] is required".into(),
        ));
    }
    for (at, group) in scenario.destinations.iter().enumerate() {
        destinations(&format!("destinations[{at}]"), group)?;
    }
    if scenario
        .destinations
        .iter()
        .map(|g| g.share * g.count as f64)
        .sum::<f64>()
        <= 0.0
    {
        return Err((
            "destinations[0].share".into(),
            "no destination gets any traffic".into(),
        ));
    }
    for (at, fault) in scenario.faults.iter().enumerate() {
        check_fault(&format!("troubles[{at}]"), fault, scenario)?;
    }
    memory(scenario)
}

fn forwarders(of: &Forwarders) -> Checked {
    within("forwarders.count", of.count as f64, 1.0, 100_000.0)?;
    least("forwarders.time_out", of.time_out, 1.0)?;
    least("forwarders.slots", of.max_calls_in_flight as f64, 1.0)?;
    least("forwarders.room", of.event_capacity as f64, 1.0)?;
    least("forwarders.round", of.min_iteration_interval, 0.0)?;
    least("forwarders.notice", of.notification_delay, 0.0)?;
    least("forwarders.list_delay[0]", of.list_delay[0], 0.0)?;
    least(
        "forwarders.list_delay[1]",
        of.list_delay[1],
        of.list_delay[0],
    )?;
    within("forwarders.list_partial", of.list_omitted_share, 0.0, 0.95)?;
    least("forwarders.front_lag", of.routing_lag, 0.0)?;
    least("forwarders.restart", of.restart_delay, 0.0)?;
    least("forwarders.closing", of.shutdown_timeout, 0.0)
}

fn rules(of: &Rules) -> Checked {
    least("rules.sends_cap", of.max_attempts as f64, 1.0)?;
    least(
        "rules.longest_advice",
        of.max_retry_after.unwrap_or(0.0),
        0.0,
    )?;
    least("rules.grace", of.grace, 0.0)?;
    least("rules.key_rest", of.key_cooldown, 0.0)?;
    within("rules.cold_share", of.warm_up_initial_share, 0.01, 1.0)?;
    least("rules.warm_after", of.warm_up_duration, 1.0)?;
    least("rules.tip_multiple", of.overload_multiple, 0.1)?;
    least("rules.tip_span", of.overload_window, 1.0)?;
    least("rules.tip_least", of.overload_min_load, 0.0)?;
    least("rules.tipped", of.overload_duration, 1.0)
}

fn network(of: &Network) -> Checked {
    if of.zones.is_empty() {
        return Err((
            "network.zones".into(),
            "at least one zone is required".into(),
        ));
    }
    least("network.within", of.within, 0.0)?;
    least("network.between", of.between, 0.0)?;
    least("network.jitter", of.jitter, 0.0)?;
    share("network.loss", of.loss)?;
    least("network.connect_time_out", of.connect_time_out, 1.0)?;
    for (at, pair) in of.pairs.iter().enumerate() {
        named(&format!("network.pairs[{at}].from"), &pair.from, &of.zones)?;
        named(&format!("network.pairs[{at}].to"), &pair.to, &of.zones)?;
        least(&format!("network.pairs[{at}].latency"), pair.latency, 0.0)?;
    }
    Ok(())
}

fn clients(of: &Clients) -> Checked {
    least("clients.rate", of.rate, 0.0)?;
    within("clients.zipf", of.zipf, 0.0, 10.0)?;
    share("clients.clumps", of.burst_share)?;
    least("clients.clump_size", of.burst_size, 1.0)?;
    share("clients.swing", of.rate_variation)?;
    least("clients.day", of.day, 1.0)?;
    least("clients.keys", of.keys as f64, 1.0)?;
    within("clients.key_zipf", of.key_zipf, 0.0, 10.0)?;
    least("clients.tenants", of.tenants as f64, 1.0)?;
    least("clients.pause", of.resubmission_pause, 1.0)?;
    least("clients.again_after", of.retry_pause, 1.0)
}

fn destinations(at: &str, group: &Group) -> Checked {
    let key = |field: &str| format!("{at}.{field}");
    within(&key("count"), group.count as f64, 1.0, 10_000_000.0)?;
    within(&key("targets"), group.targets as f64, 0.0, 10_000.0)?;
    least(&key("share"), group.share, 0.0)?;
    least(&key("events_per_call"), group.events_per_call as f64, 1.0)?;
    within(&key("servers"), group.servers as f64, 1.0, 1e6)?;
    least(&key("set_up"), group.set_up, 0.0)?;
    least(&key("reaped_after"), group.idle_timeout, 0.0)?;
    least(&key("answer.mean"), group.answer.mean, 0.001)?;
    within(&key("answer.spread"), group.answer.spread, 0.0, 5.0)?;
    share(&key("answer.tail"), group.answer.tail)?;
    within(&key("answer.alpha"), group.answer.alpha, 1.01, 10.0)?;
    within(
        &key("answer.differ"),
        group.answer.target_variation,
        0.0,
        0.9,
    )?;
    least(&key("limit.calls"), group.limit.calls, 0.0)?;
    least(&key("limit.burst"), group.limit.burst, 1.0)?;
    least(&key("limit.window"), group.limit.window, 1.0)?;
    least(&key("limit.tells_wait"), group.limit.min_retry_after, 0.0)
}

fn check_fault(at: &str, fault: &Fault, scenario: &Scenario) -> Checked {
    use FaultKind::*;
    let key = |field: &str| format!("{at}.{field}");
    least(&key("start"), fault.start, 0.0)?;
    least(&key("length"), fault.length, 0.0)?;
    least(&key("every"), fault.every, 1.0)?;
    least(&key("apart"), fault.apart, 0.0)?;
    match fault.kind {
        Erring | Resetting | CutOneWay => share(&key("strength"), fault.strength)?,
        Slow => least(&key("strength"), fault.strength, 0.01)?,
        _ => within(&key("strength"), fault.strength, 0.0, 1e6)?,
    }
    let scope = &fault.scope;
    let shares = [
        ("share_of_traffic", scope.share_of_traffic),
        ("at_random", scope.at_random),
        ("targets", scope.targets),
    ];
    for (field, value) in shares {
        share(&key(&format!("whom.{field}")), value.unwrap_or(0.0))?;
    }
    if let Some(zone) = &scope.zone {
        named(&key("whom.zone"), zone, &scenario.network.zones)?;
    }
    if let Some(group) = &scope.group {
        let names: Vec<String> = scenario
            .destinations
            .iter()
            .map(|group| group.name.clone())
            .collect();
        named(&key("whom.group"), group, &names)?;
    }
    if let Some(tenant) = scope
        .tenant
        .filter(|tenant| *tenant >= scenario.clients.tenants)
    {
        let most = scenario.clients.tenants - 1;
        return Err((
            key("whom.tenant"),
            format!("{tenant} is not allowed; must be 0 to {most} (clients.tenants)"),
        ));
    }
    Ok(())
}

/// Estimated bytes for a pending event, including its share of the model's and the forwarder's memory. The
/// measurements in `docs/emulator.md`, made since, are up to half higher.
const PENDING_EVENT: f64 = 700.0;
/// Bytes for a destination and a target in the model, and for each forwarder that has them listed.
const DESTINATION: f64 = 400.0;
const TARGET: f64 = 200.0;
const LISTED_DESTINATION: f64 = 1500.0;
const LISTED_TARGET: f64 = 250.0;
/// Bytes for the queue of an order key in the module and the checker.
const KEY_QUEUE: f64 = 150.0;

fn memory(scenario: &Scenario) -> Checked {
    let (forwarders, clients) = (&scenario.forwarders, &scenario.clients);
    let longest = scenario.longest_patience();
    let floods = scenario
        .faults
        .iter()
        .filter(|t| t.kind == FaultKind::Flood)
        .map(|t| t.strength);
    let wakes = scenario
        .faults
        .iter()
        .filter(|t| t.kind == FaultKind::MassWake)
        .map(|t| t.strength);
    let destinations: f64 = scenario.destinations.iter().map(|g| g.count as f64).sum();
    let targets: f64 = scenario
        .destinations
        .iter()
        .map(|g| (g.count * g.targets) as f64)
        .sum();
    let rate = clients.rate * (1.0 + clients.rate_variation) * (1.0 + floods.sum::<f64>());
    let clump = 1.0 + clients.burst_share * (clients.burst_size - 1.0);
    let woken: f64 = wakes.sum::<f64>() * destinations;
    // Upper bound of the events pending at once: the traffic of the longest patience, or of the complete day if
    // that is shorter.
    let waiting = rate * clump * longest.min(scenario.length) / 1000.0 + woken;
    // Events that exceed a forwarder's capacity wait at their client.
    let events = waiting * PENDING_EVENT;
    // A destination is introduced to a forwarder with the first event for that destination.
    let submitted = rate * clump * scenario.length / 1000.0 + woken;
    let introduced =
        destinations.min(submitted / forwarders.count as f64) * forwarders.count as f64;
    let listed =
        introduced * (LISTED_DESTINATION + LISTED_TARGET * targets / destinations.max(1.0));
    let keys = (clients.keys as f64).min(waiting) * KEY_QUEUE;
    let need =
        (events + listed + keys + destinations * DESTINATION + targets * TARGET) / 1e6 + 10.0;
    if need <= scenario.memory_mb {
        return Ok(());
    }
    let most = scenario.memory_mb;
    Err(("memory_mb".into(), format!("the day may need {need:.0} MB ({waiting:.0} pending events, {introduced:.0} destinations introduced to forwarders); the limit is {most:.0} MB")))
}
