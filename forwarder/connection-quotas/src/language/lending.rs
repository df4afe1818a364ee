//! Which member lends to which by name: lists that lead on, and circles in them. Connections that one member lends
//! to another, and that the other can't use, go on along the other's list; in a circle it would be undefined which
//! member gives back first.

use super::policy::{MemberTerms, Reach};

/// The members of a circle of lending, in its order, if there is one.
pub(super) fn find_circle(members: &[MemberTerms]) -> Option<Vec<usize>> {
    let mut done = vec![false; members.len()];
    for start in 0..members.len() {
        let mut path = Vec::new();
        if let Some(found) = follow(members, start, &mut path, &mut done) {
            return Some(found);
        }
    }
    None
}

/// Follows the lists from one member. No deeper than there are members, whose number the checks bound.
fn follow(
    members: &[MemberTerms],
    at: usize,
    path: &mut Vec<usize>,
    done: &mut [bool],
) -> Option<Vec<usize>> {
    if let Some(begins) = path.iter().position(|step| *step == at) {
        return Some(path[begins..].to_vec());
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

/// For each member, whom its unused share may reach: those that borrow, itself left out.
pub fn reaches(members: &[MemberTerms]) -> Vec<Vec<usize>> {
    (0..members.len())
        .map(|from| reach_of(members, from))
        .collect()
}

fn reach_of(members: &[MemberTerms], from: usize) -> Vec<usize> {
    let mut reached = vec![false; members.len()];
    match &members[from].lends {
        Reach::All => reached.fill(true),
        Reach::Only(to) => {
            let mut next = to.clone();
            while let Some(at) = next.pop() {
                if std::mem::replace(&mut reached[at], true) {
                    continue;
                }
                // What is lent by name goes on by name only.
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
