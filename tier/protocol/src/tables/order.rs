//! The orders of the tables' lists, and what differs between two lists in the same order.

use std::cmp::Ordering;

use super::{Edge, Target};

/// The order of [`Tables::targets`].
pub fn compare_targets(one: &Target, other: &Target) -> Ordering {
    (&one.service, &one.id).cmp(&(&other.service, &other.id))
}

/// The order of [`Tables::edges`].
pub fn compare_edges(one: &Edge, other: &Edge) -> Ordering {
    one.node.cmp(&other.node)
}

/// What stands in `list` and not, just so, in `other`; both in `order`.
pub(super) fn differences<'a, T: PartialEq>(
    list: &'a [T],
    other: &'a [T],
    order: fn(&T, &T) -> Ordering,
) -> impl Iterator<Item = &'a T> {
    list.iter().filter(
        move |one| match other.binary_search_by(|held| order(held, one)) {
            Ok(at) => other[at] != **one,
            Err(_) => true,
        },
    )
}

/// Whether the list holds something at the place of `one`.
pub(super) fn same_place<T>(list: &[T], one: &T, order: fn(&T, &T) -> Ordering) -> bool {
    list.binary_search_by(|held| order(held, one)).is_ok()
}

/// Replaces what stands at a place that was searched for, or inserts it there.
pub(super) fn replace_at<T>(list: &mut Vec<T>, place: Result<usize, usize>, value: T) {
    match place {
        Ok(at) => list[at] = value,
        Err(at) => list.insert(at, value),
    }
}
