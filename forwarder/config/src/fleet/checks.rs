//! What a fleet file must keep to, beyond its form.

use crate::fields::Plain;
use toml::Spanned;

use super::kinds::{Instance, Kept, ReplicationConfig, Row, Spans, Timing};

/// The most instances of a fleet, and the most keepers of a record: frames and votes go to each.
const INSTANCES: usize = 256;
const KEEPERS: usize = 6;

/// Lines are counted from one.
pub(super) fn line(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

pub(super) fn instances(
    rows: &[Spanned<Row>],
    fault: &dyn Fn(usize, String) -> String,
) -> Plain<Vec<Instance>> {
    let mut all: Vec<Instance> = Vec::new();
    for row in rows {
        let (at, row) = (row.span().start, row.get_ref());
        let within = |why: String| fault(at, format!("instances.{why}"));
        if row.name.is_empty() || row.name.len() > 128 {
            return Err(within(format!(
                "name: {:?} is empty or over 128 bytes",
                row.name
            )));
        }
        if row.machine.is_empty() {
            return Err(within(format!("machine: {:?} has none", row.name)));
        }
        let address = row.address.get_ref();
        let wrong = |why: &str| {
            fault(
                row.address.span().start,
                format!("instances.address: {address:?} {why}"),
            )
        };
        let address = address
            .parse()
            .map_err(|_| wrong("is not an address with a port"))?;
        if all.iter().any(|i| i.name == row.name) {
            return Err(within(format!("name: {:?} stands twice", row.name)));
        }
        if all.iter().any(|i| i.address == address) {
            return Err(wrong("stands twice"));
        }
        if all.len() == INSTANCES {
            return Err(within(format!(
                "name: {:?} is over the {INSTANCES} that a fleet may have",
                row.name
            )));
        }
        let (name, machine, zone) = (row.name.clone(), row.machine.clone(), row.zone.clone());
        all.push(Instance {
            name,
            address,
            machine,
            zone,
        });
    }
    Ok(all)
}

/// A voter's promise to its leader must outlast a stall and the way of a heartbeat, or no owner ever holds.
pub(super) fn timing(spans: &Spans) -> Plain<Timing> {
    let Spans {
        heartbeat_ms: heartbeat,
        election_ms: election,
        stall_ms: stall,
        replace_ms: replace,
    } = *spans;
    if !(10.0..=1000.0).contains(&heartbeat) {
        return Err(format!(
            "heartbeat_ms: {heartbeat} is not within 10 and 1000"
        ));
    }
    if !(election >= 5.0 * heartbeat && election <= 60_000.0) {
        return Err(format!(
            "election_ms: {election} is not within 5 x heartbeat_ms and 60000"
        ));
    }
    if !(stall >= heartbeat && stall + 2.0 * heartbeat <= 0.9 * election) {
        return Err(format!(
            "stall_ms: {stall} is under heartbeat_ms, or it and two heartbeats are over 0.9 of election_ms"
        ));
    }
    if !(replace >= 2.0 * election && replace.is_finite()) {
        return Err(format!("replace_ms: {replace} is under 2 x election_ms"));
    }
    Ok(Timing {
        heartbeat,
        election,
        stall,
        replace,
    })
}

pub(super) fn copies(kept: &Kept, instances: &[Instance]) -> Plain<ReplicationConfig> {
    let keepers = kept.keepers;
    if keepers == 0 || keepers % 2 == 1 || keepers > KEEPERS {
        return Err(format!(
            "keepers: {keepers} is not 2, 4 or {KEEPERS}: an owner and 2f keepers bear f losses"
        ));
    }
    for one in instances {
        let elsewhere = instances
            .iter()
            .filter(|i| i.machine != one.machine)
            .count();
        if elsewhere < keepers {
            return Err(format!(
                "keepers: {keepers}, but {:?} has only {elsewhere} instances on other machines",
                one.name
            ));
        }
    }
    let bytes = |key: &str, mb: f64| match (1.0..=1e6).contains(&mb) {
        true => Ok((mb * 1e6) as u64),
        false => Err(format!("{key}: {mb} is not within 1 and 1000000")),
    };
    Ok(ReplicationConfig {
        keepers,
        memory: bytes("memory_mb", kept.memory_mb)?,
        disk: bytes("disk_mb", kept.disk_mb)?,
    })
}
