//! The orders of the tables' lists, and the differences of two lists in the same order.

use std::cmp::Ordering;

use super::{Edge, Target};

/// The order of [`super::Tables::targets`]: by service, then by id.
pub fn compare_targets(one: &Target, other: &Target) -> Ordering {
    let by_service = one.service.cmp(&other.service);
    by_service.then_with(|| one.id.cmp(&other.id))
}

/// The order of [`super::Tables::edges`]: by the machine's name.
pub fn compare_edges(one: &Edge, other: &Edge) -> Ordering {
    one.node.cmp(&other.node)
}

/// The elements of `list` that `other` lacks or has with another value; both lists are in `order`.
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

/// Whether the list has an element that equals `element` in the order.
pub(super) fn contains<T>(list: &[T], element: &T, order: fn(&T, &T) -> Ordering) -> bool {
    list.binary_search_by(|candidate| order(candidate, element))
        .is_ok()
}

/// Replaces the element that equals `element` in the order, or inserts `element` at its position.
pub(super) fn set<T>(list: &mut Vec<T>, element: T, order: fn(&T, &T) -> Ordering) {
    match list.binary_search_by(|candidate| order(candidate, &element)) {
        Ok(index) => list[index] = element,
        Err(index) => list.insert(index, element),
    }
}
