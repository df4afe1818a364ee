//! What members lend: unused shares go, one connection after the other, to the member that has least for its
//! weight among those that want more and can still be reached. Where a share was lent to one who could have had
//! it from another, it is moved on, so that nothing lies idle that someone wants and may have.

/// Shares left unused, by member.
pub struct Lent<'a> {
    left: Vec<u32>,
    reaches: &'a [Vec<usize>],
    /// `given[lender][borrower]`.
    given: Vec<Vec<u32>>,
}

impl<'a> Lent<'a> {
    /// `reaches` names, for each member, whom its unused share may go to.
    pub fn new(left: Vec<u32>, reaches: &'a [Vec<usize>]) -> Self {
        let given = vec![vec![0; left.len()]; left.len()];
        Lent {
            left,
            reaches,
            given,
        }
    }

    /// Raises the parts towards the wants as far as lending goes. Weights as whole numbers: levels are compared
    /// exactly.
    pub fn give(mut self, parts: &mut [u32], wants: &[u32], weights: &[u32]) {
        let mut wanting: Vec<usize> = (0..parts.len())
            .filter(|at| parts[*at] < wants[*at])
            .collect();
        while let Some(next) = wanting
            .iter()
            .copied()
            .min_by(|a, b| lower(*a, *b, parts, weights))
        {
            if !self.reach(next) {
                // What can't be reached once is never reached again: the rest only grows less.
                wanting.retain(|at| *at != next);
                continue;
            }
            parts[next] += 1;
            wanting.retain(|at| parts[*at] < wants[*at]);
        }
    }

    /// Finds one connection for a member, by the shortest way over members that can draw on another instead.
    fn reach(&mut self, to: usize) -> bool {
        let members = self.left.len();
        // Over whom each member was come to, and from which lender it would draw.
        let mut came: Vec<Option<(usize, usize)>> = vec![None; members];
        let mut seen = vec![false; members];
        let mut queue = std::collections::VecDeque::from([to]);
        seen[to] = true;
        while let Some(at) = queue.pop_front() {
            for lender in (0..members).filter(|lender| self.reaches[*lender].contains(&at)) {
                if self.left[lender] > 0 {
                    self.left[lender] -= 1;
                    self.move_on(at, lender, &came);
                    return true;
                }
                for holder in 0..members {
                    if self.given[lender][holder] > 0 && !std::mem::replace(&mut seen[holder], true)
                    {
                        came[holder] = Some((at, lender));
                        queue.push_back(holder);
                    }
                }
            }
        }
        false
    }

    fn move_on(&mut self, mut at: usize, mut from: usize, came: &[Option<(usize, usize)>]) {
        loop {
            self.given[from][at] += 1;
            let Some((before, lender)) = came[at] else {
                return;
            };
            self.given[lender][at] -= 1;
            (at, from) = (before, lender);
        }
    }
}

/// By what each would have for its weight with one more; without a weight after all others.
fn lower(a: usize, b: usize, parts: &[u32], weights: &[u32]) -> std::cmp::Ordering {
    let cross = |one: usize, other: usize| u64::from(parts[one] + 1) * u64::from(weights[other]);
    let weightless = |at: usize| weights[at] == 0;
    weightless(a)
        .cmp(&weightless(b))
        .then_with(|| {
            if weightless(a) {
                parts[a].cmp(&parts[b])
            } else {
                cross(a, b).cmp(&cross(b, a))
            }
        })
        .then(a.cmp(&b))
}
