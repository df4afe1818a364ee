//! Checks of a fleet file's values, beyond their types.

use crate::fields::ConfigResult;
use toml::Spanned;

use super::kinds::{
    CopiesSection, Instance, InstanceSection, ReplicationConfig, Timing, TimingSection,
};

/// Limits on the instances of a fleet and on the keepers of a record: frames and votes go to each of them.
const MAX_INSTANCES: usize = 256;
const MAX_KEEPERS: usize = 6;

/// The line of a byte offset, counted from 1.
pub(super) fn line(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

pub(super) fn instances(
    rows: &[Spanned<InstanceSection>],
    fault: &dyn Fn(usize, String) -> String,
) -> ConfigResult<Vec<Instance>> {
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
            return Err(within(format!("machine: is empty for {:?}", row.name)));
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
            return Err(within(format!("name: {:?} is listed twice", row.name)));
        }
        if all.iter().any(|i| i.address == address) {
            return Err(wrong("is listed twice"));
        }
        if all.len() == MAX_INSTANCES {
            return Err(within(format!(
                "name: {:?} exceeds the limit of {MAX_INSTANCES} instances",
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

/// The time for which a voter promises its vote to its leader must outlast a stall plus the delay of a heartbeat;
/// otherwise no ownership is ever valid.
pub(super) fn timing(section: &TimingSection) -> ConfigResult<Timing> {
    let TimingSection {
        heartbeat_ms: heartbeat,
        election_ms: election,
        stall_ms: stall,
        replace_ms: replace,
    } = *section;
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

pub(super) fn copies(
    section: &CopiesSection,
    instances: &[Instance],
) -> ConfigResult<ReplicationConfig> {
    let keepers = section.keepers;
    if keepers == 0 || keepers % 2 == 1 || keepers > MAX_KEEPERS {
        return Err(format!(
            "keepers: {keepers} is not 2, 4 or {MAX_KEEPERS}: an owner and 2f keepers tolerate f losses"
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
        memory: bytes("memory_mb", section.memory_mb)?,
        disk: bytes("disk_mb", section.disk_mb)?,
    })
}
