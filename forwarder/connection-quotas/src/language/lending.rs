//! The graph of members that lend to named members: reachable borrowers, and cycles. Connections that a member lends to
//! another one, and that the other cannot use, are lent further along the other's list. In a cycle it would be undefined
//! which member returns its connections first.

use super::policy::{MemberTerms, Reach};

/// The members of a lending cycle, in the order of the cycle, if there is one.
pub(super) fn find_cycle(members: &[MemberTerms]) -> Option<Vec<usize>> {
    let mut done = vec![false; members.len()];
    for start in 0..members.len() {
        let mut path = Vec::new();
        if let Some(found) = follow(members, start, &mut path, &mut done) {
            return Some(found);
        }
    }
    None
}

/// Depth-first search along the `lends` lists from one member. The depth is at most the number of members, which the
/// checks limit.
fn follow(
    members: &[MemberTerms],
    at: usize,
    path: &mut Vec<usize>,
    done: &mut [bool],
) -> Option<Vec<usize>> {
    if let Some(start) = path.iter().position(|step| *step == at) {
        return Some(path[start..].to_vec());
    }
    if done[at] {
        return None;
    }
    path.push(at);
    if let Reach::Only(to) = &members[at].lends {
        for next in to {
            if let Some(found) = follow(members, *next, path, done) {
                return Some(found);
            }
        }
    }
    path.pop();
    done[at] = true;
    None
}

/// For each member, the other members that may borrow its unused share, directly or along the `lends` lists.
pub fn reachable_borrowers(members: &[MemberTerms]) -> Vec<Vec<usize>> {
    (0..members.len())
        .map(|from| borrowers_of(members, from))
        .collect()
}

fn borrowers_of(members: &[MemberTerms], from: usize) -> Vec<usize> {
    let mut reached = vec![false; members.len()];
    match &members[from].lends {
        Reach::All => reached.fill(true),
        Reach::Only(to) => {
            let mut next = to.clone();
            while let Some(at) = next.pop() {
                if std::mem::replace(&mut reached[at], true) {
                    continue;
                }
                // A connection lent to a named member is lent further to named members only.
                if let Reach::Only(to) = &members[at].lends {
                    next.extend(to);
                }
            }
        }
    }
    reached[from] = false;
    (0..members.len())
        .filter(|at| reached[*at] && members[*at].borrows)
        .collect()
}
