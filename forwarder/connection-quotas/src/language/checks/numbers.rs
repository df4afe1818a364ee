//! Numbers within their bounds, and keys that are given once.

use super::super::diagnostic::Diagnostics;
use super::super::tree::{Located, Position};

/// Connections of one pool.
pub const MAX_CONNECTIONS: u64 = 10_000;

/// Reports the first of more than `max` blocks.
pub(in super::super) fn at_most(
    errors: &mut Diagnostics,
    key: &str,
    mut positions: impl Iterator<Item = Position>,
    max: usize,
) {
    if let Some(position) = positions.nth(max) {
        errors.add(position, key, format!("more than {max}"), "say it in fewer");
    }
}

/// A number within its bounds. One outside of them is reported, and the nearer bound goes on in its place.
pub(in super::super) fn within(
    errors: &mut Diagnostics,
    key: &str,
    number: Located<u64>,
    min: u64,
    max: u64,
) -> u32 {
    let problem = match number.value {
        value if value < min => Some(format!("is under {min}")),
        value if value > max => Some(format!("is above {max}")),
        _ => None,
    };
    if let Some(problem) = problem {
        errors.add(
            number.position,
            key,
            problem,
            format!("{min} to {max} are allowed"),
        );
    }
    number.value.clamp(min, max) as u32
}

/// A number of connections, from `min`.
pub(super) fn connections(
    errors: &mut Diagnostics,
    key: &str,
    number: Located<u64>,
    min: u64,
) -> u32 {
    within(errors, key, number, min, MAX_CONNECTIONS)
}

/// The keys of a block that were given already.
#[derive(Default)]
pub(super) struct GivenKeys(Vec<&'static str>);

impl GivenKeys {
    /// Reports a key that was given before in its block.
    pub(super) fn add(
        &mut self,
        errors: &mut Diagnostics,
        key: &'static str,
        position: Position,
        block: &str,
    ) {
        if self.0.contains(&key) {
            let key = format!("{block} / {key}");
            errors.add(position, &key, "is told twice", "leave one of them out");
        }
        self.0.push(key);
    }
}
