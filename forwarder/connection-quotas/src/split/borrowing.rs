//! Lending of unused shares between members. Each unused connection is lent to the member with the least connections
//! for its weight, among those that want more and that a lender can still reach. If a connection was lent to a member
//! that could borrow from another lender instead, it is reassigned, so that no connection stays unused that a member
//! wants and may borrow. The search finds augmenting paths in a bipartite flow (Edmonds and Karp 1972).

use std::cmp::Ordering;
use std::collections::VecDeque;

/// Unused shares, and the members that have borrowed them.
pub(super) struct Borrowing<'a> {
    /// Connections that are not lent yet, by member.
    unused: Vec<u32>,
    /// For each lender, the members that may borrow its unused share.
    reachable: &'a [Vec<usize>],
    /// Connections lent, as `lent[lender][borrower]`.
    lent: Vec<Vec<u32>>,
}

/// One edge of an augmenting path: how the search reached a member.
#[derive(Clone, Copy)]
struct Step {
    /// The previous member on the path, which takes over this member's connection.
    borrower: usize,
    /// The lender of that connection.
    lender: usize,
}

impl<'a> Borrowing<'a> {
    pub(super) fn new(unused: Vec<u32>, reachable: &'a [Vec<usize>]) -> Self {
        let lent = vec![vec![0; unused.len()]; unused.len()];
        Borrowing {
            unused,
            reachable,
            lent,
        }
    }

    /// Raises the shares towards the wanted connections, as far as lending allows. Weights are integers, so that
    /// levels compare exactly.
    pub(super) fn raise_shares(mut self, shares: &mut [u32], wanted: &[u32], weights: &[u32]) {
        let mut borrowers: Vec<usize> = (0..shares.len())
            .filter(|&at| shares[at] < wanted[at])
            .collect();
        loop {
            let lowest = borrowers
                .iter()
                .copied()
                .min_by(|&a, &b| compare(a, b, shares, weights));
            let Some(borrower) = lowest else {
                return;
            };
            if !self.lend_one(borrower) {
                // A member that no lender can reach stays unreachable: the unused connections only decrease.
                borrowers.retain(|&at| at != borrower);
                continue;
            }
            shares[borrower] += 1;
            borrowers.retain(|&at| shares[at] < wanted[at]);
        }
    }

    /// Lends one connection to a member, along the shortest path over members that can borrow from another lender
    /// instead. Returns false if there is no such path.
    fn lend_one(&mut self, borrower: usize) -> bool {
        let members = self.unused.len();
        let mut steps: Vec<Option<Step>> = vec![None; members];
        let mut is_seen = vec![false; members];
        let mut queue = VecDeque::from([borrower]);
        is_seen[borrower] = true;
        while let Some(at) = queue.pop_front() {
            for lender in 0..members {
                if !self.reachable[lender].contains(&at) {
                    continue;
                }
                if self.unused[lender] > 0 {
                    self.unused[lender] -= 1;
                    self.augment(at, lender, &steps);
                    return true;
                }
                for other in 0..members {
                    if self.lent[lender][other] > 0 && !is_seen[other] {
                        is_seen[other] = true;
                        steps[other] = Some(Step {
                            borrower: at,
                            lender,
                        });
                        queue.push_back(other);
                    }
                }
            }
        }
        false
    }

    /// Lends the found connection to the last member of the path, whose previous connection moves to the member before
    /// it on the path, and so on.
    fn augment(&mut self, mut at: usize, mut lender: usize, steps: &[Option<Step>]) {
        loop {
            self.lent[lender][at] += 1;
            let Some(step) = steps[at] else {
                return;
            };
            self.lent[step.lender][at] -= 1;
            at = step.borrower;
            lender = step.lender;
        }
    }
}

/// Orders members by connections per weight after one more connection. Members of weight 0 come after all others.
fn compare(a: usize, b: usize, shares: &[u32], weights: &[u32]) -> Ordering {
    match (weights[a] == 0, weights[b] == 0) {
        (false, true) => Ordering::Less,
        (true, false) => Ordering::Greater,
        (true, true) => shares[a].cmp(&shares[b]).then(a.cmp(&b)),
        (false, false) => {
            let level_of =
                |one: usize, other: usize| u64::from(shares[one] + 1) * u64::from(weights[other]);
            level_of(a, b).cmp(&level_of(b, a)).then(a.cmp(&b))
        }
    }
}
