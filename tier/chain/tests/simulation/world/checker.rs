//! What must hold at every step of the world.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use plankhill_chain::{BadSnapshot, StateMachine, View, ViewNumber};
use plankhill_protocol::ids::Revision;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// All members apply the same operations in the same order.
    OneOrder,
    /// Nothing is applied twice.
    Once,
    /// One view for each number.
    OneView,
    /// All acknowledgements of an operation tell the same outcome.
    OneOutcome,
    /// What is acknowledged is on f+1 disks.
    Copies,
    /// A read holds everything seen before it.
    Reads,
    /// Everything acknowledged is there at the end.
    Kept,
    /// After calm has returned all serve and answer.
    Service,
}

/// What has been seen so far.
#[derive(Debug, Default)]
pub struct Book {
    /// Operations in the order in which any member first applied them; `None` for a repeat.
    order: Vec<u64>,
    views: BTreeMap<ViewNumber, View>,
    acknowledged: BTreeMap<u64, u64>,
    /// The highest revision that anybody outside has seen the effect of.
    seen: u64,
    /// Rules broken, each with the first case.
    pub broken: BTreeMap<Rule, String>,
}

impl Book {
    pub fn fail(&mut self, rule: Rule, what: String) {
        self.broken.entry(rule).or_insert(what);
    }

    /// A member applies an operation.
    pub fn applied(&mut self, revision: Revision, operation: u64) {
        let index = revision.0 as usize - 1;
        match self.order.get(index) {
            Some(known) if *known == operation => {}
            Some(known) => self.fail(
                Rule::OneOrder,
                format!(
                    "revision {} is {known} here and {operation} there",
                    revision.0
                ),
            ),
            None => {
                self.order.resize(index, u64::MAX);
                if self.order.contains(&operation) {
                    self.fail(
                        Rule::Once,
                        format!("operation {operation} is applied twice"),
                    );
                }
                self.order.push(operation);
            }
        }
    }

    /// A member has taken over a view.
    pub fn adopted(&mut self, view: &View) {
        let known = self
            .views
            .entry(view.number)
            .or_insert_with(|| view.clone());
        if known != view {
            let what = format!("two views {}: {known:?} and {view:?}", view.number.0);
            self.fail(Rule::OneView, what);
        }
    }

    /// The operator was told that an operation stands at a revision.
    pub fn acknowledged(&mut self, operation: u64, revision: u64) {
        let before = *self.acknowledged.entry(operation).or_insert(revision);
        if before != revision {
            self.fail(
                Rule::OneOutcome,
                format!("operation {operation} came to {before} and to {revision}"),
            );
        }
        self.seen = self.seen.max(revision);
    }

    /// What a read that starts now has to hold.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// A read has been answered.
    pub fn read(&mut self, had_to_hold: u64, revision: u64) {
        if revision < had_to_hold {
            self.fail(
                Rule::Reads,
                format!("a read found {revision}, {had_to_hold} had been seen before it"),
            );
        }
        self.seen = self.seen.max(revision);
    }

    /// The state at the end holds everything acknowledged, at its place.
    pub fn kept(&mut self, state: &[(u64, u64)]) {
        let held: BTreeMap<u64, u64> = state.iter().copied().collect();
        let missing: Vec<_> = self
            .acknowledged
            .iter()
            .filter(|(operation, revision)| held.get(operation) != Some(revision))
            .map(|(operation, revision)| (*operation, *revision, held.get(operation).copied()))
            .collect();
        if !missing.is_empty() {
            let last = state.last();
            self.fail(
                Rule::Kept,
                format!("acknowledged and lost (operation, revision, found): {missing:?}, last {last:?}"),
            );
        }
    }

    pub fn is_acknowledged(&self, operation: u64) -> bool {
        self.acknowledged.contains_key(&operation)
    }

    pub fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }
}

/// A list of operations with their revisions; tells the book what it applies.
pub struct Listing {
    pub held: Vec<(u64, u64)>,
    book: Rc<RefCell<Book>>,
}

impl Listing {
    pub fn new(book: Rc<RefCell<Book>>) -> Self {
        Self {
            held: Vec::new(),
            book,
        }
    }
}

impl StateMachine for Listing {
    fn apply(&mut self, revision: Revision, operation: &[u8]) -> Vec<u8> {
        let operation = u64::from_le_bytes(operation.try_into().unwrap());
        self.book.borrow_mut().applied(revision, operation);
        self.held.push((operation, revision.0));
        revision.0.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let rows = self.held.iter();
        rows.flat_map(|(operation, revision)| {
            [operation.to_le_bytes(), revision.to_le_bytes()].concat()
        })
        .collect()
    }

    fn restore(&mut self, _: Revision, snapshot: &[u8]) -> Result<(), BadSnapshot> {
        let number = |bytes: &[u8]| {
            bytes
                .try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| BadSnapshot)
        };
        let rows = snapshot.chunks(16);
        self.held = rows
            .map(|row| {
                Ok((
                    number(row.get(..8).ok_or(BadSnapshot)?)?,
                    number(&row[8..])?,
                ))
            })
            .collect::<Result<_, _>>()?;
        Ok(())
    }
}
