//! Who lends to whom by name: lists that lead on, and circles in them. What one lends to another, and that one
//! can't use, goes on along the other's list; in a circle nobody could say who gives back first.

use super::policy::{MemberTerms, Reach};

/// The members of a circle of lending, in its order, if there is one.
pub fn circle(members: &[MemberTerms]) -> Option<Vec<usize>> {
    let mut done = vec![false; members.len()];
    for start in 0..members.len() {
        let mut way = Vec::new();
        if let Some(found) = follow(members, start, &mut way, &mut done) {
            return Some(found);
        }
    }
    None
}

/// No deeper than there are members, of which the checks bound the number.
fn follow(
    members: &[MemberTerms],
    at: usize,
    way: &mut Vec<usize>,
    done: &mut [bool],
) -> Option<Vec<usize>> {
    if let Some(begins) = way.iter().position(|step| *step == at) {
        return Some(way[begins..].to_vec());
    }
    if done[at] {
        return None;
    }
    way.push(at);
    if let Reach::Only(to) = &members[at].lends {
        for next in to {
            if let Some(found) = follow(members, *next, way, done) {
                return Some(found);
            }
        }
    }
    way.pop();
    done[at] = true;
    None
}

/// For each member whom its unused share may reach: those that borrow, itself left out.
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
