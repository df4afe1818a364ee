//! What members borrow of each other: unused shares go, one connection after the other, to the member that has least
//! for its weight among those that want more and can still be reached. Where a share was lent to a member that could
//! have had it from another, it is moved on, so that nothing lies idle that a member wants and may have. The search is
//! that of augmenting paths in a bipartite flow (Edmonds and Karp 1972).

use std::cmp::Ordering;
use std::collections::VecDeque;

/// Unused shares, and who has borrowed them.
pub(super) struct Borrowing<'a> {
    /// Connections that are not lent yet, by member.
    unused: Vec<u32>,
    /// For each member, whom its unused share may reach.
    reaches: &'a [Vec<usize>],
    /// `lent[lender][borrower]`.
    lent: Vec<Vec<u32>>,
}

/// How a member was reached by the search.
#[derive(Clone, Copy)]
struct Step {
    /// The member before it on the path, which is to have its connection.
    borrower: usize,
    /// The lender of that connection.
    lender: usize,
}

impl<'a> Borrowing<'a> {
    pub(super) fn new(unused: Vec<u32>, reaches: &'a [Vec<usize>]) -> Self {
        let lent = vec![vec![0; unused.len()]; unused.len()];
        Borrowing {
            unused,
            reaches,
            lent,
        }
    }

    /// Raises the shares towards what is wanted, as far as lending goes. Weights are whole numbers, so that levels
    /// compare exactly.
    pub(super) fn raise(mut self, shares: &mut [u32], wanted: &[u32], weights: &[u32]) {
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
                // A member that can't be reached once is never reached again: the rest only grows less.
                borrowers.retain(|&at| at != borrower);
                continue;
            }
            shares[borrower] += 1;
            borrowers.retain(|&at| shares[at] < wanted[at]);
        }
    }

    /// Finds one connection for a member, by the shortest path over members that can draw on another lender instead.
    fn lend_one(&mut self, borrower: usize) -> bool {
        let members = self.unused.len();
        let mut steps: Vec<Option<Step>> = vec![None; members];
        let mut is_seen = vec![false; members];
        let mut queue = VecDeque::from([borrower]);
        is_seen[borrower] = true;
        while let Some(at) = queue.pop_front() {
            for lender in 0..members {
                if !self.reaches[lender].contains(&at) {
                    continue;
                }
                if self.unused[lender] > 0 {
                    self.unused[lender] -= 1;
                    self.move_along(at, lender, &steps);
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

    /// Gives the found connection to the last member of the path, whose own goes to the one before, and so on.
    fn move_along(&mut self, mut at: usize, mut lender: usize, steps: &[Option<Step>]) {
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

/// By what each would have for its weight with one more; those without a weight after all others.
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
