//! Sort orders of the lists in the tables, and operations on sorted lists.

use std::cmp::Ordering;

use super::{Edge, Target};

/// The sort order of [`super::Tables::targets`]: by service, then by id.
pub fn compare_targets(one: &Target, other: &Target) -> Ordering {
    let by_service = one.service.cmp(&other.service);
    by_service.then_with(|| one.id.cmp(&other.id))
}

/// The sort order of [`super::Tables::edges`]: by the machine's name.
pub fn compare_edges(one: &Edge, other: &Edge) -> Ordering {
    one.node.cmp(&other.node)
}

/// Returns the elements of `list` that are missing from `other` or have another value there. Both
/// lists are sorted by `order`.
pub(super) fn differences<'a, T: PartialEq>(
    list: &'a [T],
    other: &'a [T],
    order: fn(&T, &T) -> Ordering,
) -> impl Iterator<Item = &'a T> {
    let differs = move |element: &&T| {
        let found = other.binary_search_by(|candidate| order(candidate, element));
        match found {
            Ok(index) => other[index] != **element,
            Err(_) => true,
        }
    };
    list.iter().filter(differs)
}

/// Returns whether the sorted list has an element that compares equal to `element`.
pub(super) fn contains<T>(list: &[T], element: &T, order: fn(&T, &T) -> Ordering) -> bool {
    list.binary_search_by(|candidate| order(candidate, element))
        .is_ok()
}

/// Replaces the element that compares equal to `element`, or inserts `element` at its sorted
/// position.
pub(super) fn upsert<T>(list: &mut Vec<T>, element: T, order: fn(&T, &T) -> Ordering) {
    match list.binary_search_by(|candidate| order(candidate, &element)) {
        Ok(index) => list[index] = element,
        Err(index) => list.insert(index, element),
    }
}
