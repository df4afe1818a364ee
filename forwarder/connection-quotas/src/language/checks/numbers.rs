//! Checks that numbers are within their bounds and that keys are given only once.

use super::super::diagnostic::Diagnostics;
use super::super::tree::{Located, Position};

/// Maximum number of connections of one pool.
pub const MAX_CONNECTIONS: u64 = 10_000;

/// Reports an error at the first block after `max` blocks, if there are more.
pub(in super::super) fn at_most(
    errors: &mut Diagnostics,
    key: &str,
    mut positions: impl Iterator<Item = Position>,
    max: usize,
) {
    if let Some(position) = positions.nth(max) {
        errors.add(position, key, format!("more than {max}"), "use fewer");
    }
}

/// Checks that a number is within its bounds. A number outside is reported and replaced by the nearer bound.
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

/// Checks a number of connections, which must be at least `min` and at most [`MAX_CONNECTIONS`].
pub(super) fn connections(
    errors: &mut Diagnostics,
    key: &str,
    number: Located<u64>,
    min: u64,
) -> u32 {
    within(errors, key, number, min, MAX_CONNECTIONS)
}

/// The keys of a block that were already given.
#[derive(Default)]
pub(super) struct SeenKeys(Vec<&'static str>);

impl SeenKeys {
    /// Adds a key, and reports it if it was given before in its block.
    pub(super) fn add(
        &mut self,
        errors: &mut Diagnostics,
        key: &'static str,
        position: Position,
        block: &str,
    ) {
        if self.0.contains(&key) {
            let key = format!("{block} / {key}");
            errors.add(position, &key, "is given twice", "remove one of them");
        }
        self.0.push(key);
    }
}
