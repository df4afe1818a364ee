//! Checks that the guaranteed connections of each budget fit into its total: without rules, and with the rules that may
//! apply to it added one after another. The reserve and each floor count with their highest value so far.

use super::super::diagnostic::Diagnostics;
use super::super::policy::{Budget, PoolTerms, Rule};
use super::super::tree::{Condition, Located, Scope, Selection, Tree};
use super::budgets::member_blocks;
use super::members::{check_contradictions, Members};

/// Reports budgets that guarantee more connections than they have.
pub(in super::super) fn check_fit(
    errors: &mut Diagnostics,
    tree: &Tree,
    budgets: &[Option<Budget>],
    rules: &[Rule],
    members: &Members,
) {
    for (budget, written) in budgets.iter().zip(&tree.budgets) {
        let Some(budget) = budget else {
            continue;
        };
        let key = format!("budget {}", budget.scope);
        let base = &budget.terms;
        check_guarantees(errors, base.connections, base, &written.scope, &key, "");
        let mut combined = base.clone();
        let possible = rules
            .iter()
            .zip(&tree.rules)
            .filter(|(rule, _)| may_apply(rule, &budget.scope));
        for (rule, written) in possible {
            let before = combined.clone();
            rule.change.apply(base.connections, &mut combined);
            combined.reserve = combined.reserve.max(before.reserve);
            for (member, before) in combined.members.iter_mut().zip(&before.members) {
                member.floor = member.floor.max(before.floor);
            }
            let blocks = member_blocks(&written.keys);
            let prefix = format!("rule {} / ", written.name.value);
            check_contradictions(errors, &combined.members, &members.names, &blocks, &prefix);
            if guaranteed(&before) <= before.connections {
                let reason = format!(" with {}", prefix.trim_end_matches(" / "));
                check_guarantees(
                    errors,
                    base.connections,
                    &combined,
                    &written.name,
                    &key,
                    &reason,
                );
            }
        }
    }
}

fn guaranteed(terms: &PoolTerms) -> u32 {
    terms.reserve + terms.standing + floors(terms)
}

fn floors(terms: &PoolTerms) -> u32 {
    terms.members.iter().map(|member| member.floor).sum()
}

/// Reports an error if the guarantees of `terms` exceed its connections. `base` is the budget's own number of
/// connections; `reason` names the rule that changed the terms, and is empty for the budget itself.
fn check_guarantees<T>(
    errors: &mut Diagnostics,
    base: u32,
    terms: &PoolTerms,
    at: &Located<T>,
    key: &str,
    reason: &str,
) {
    let guaranteed = guaranteed(terms);
    let PoolTerms {
        connections,
        reserve,
        standing,
        ..
    } = terms;
    if guaranteed <= *connections {
        return;
    }
    let of_base = if reason.is_empty() {
        String::new()
    } else {
        format!(" of {base}")
    };
    let problem = format!(
        "floors {}, reserve {reserve} and standing {standing} are {guaranteed}, above the {connections} \
         connections{of_base}{reason}",
        floors(terms)
    );
    let excess = guaranteed - connections;
    let suggestion = format!("reduce them by {excess}, or raise the connections");
    errors.add(
        at.position,
        &format!("{key} / connections"),
        problem,
        suggestion,
    );
}

/// The facts that all targets of a scope have in common.
#[derive(Default)]
struct ScopeFacts {
    target: Option<String>,
    kind: Option<String>,
    destination: Option<u64>,
}

impl ScopeFacts {
    fn of(scope: &Scope) -> ScopeFacts {
        let mut facts = ScopeFacts::default();
        match scope {
            Scope::Target(name) => facts.target = Some(name.clone()),
            Scope::Destination(number) => facts.destination = Some(*number),
            Scope::Each {
                of: Selection::Kind(kind),
                ..
            } => facts.kind = Some(kind.clone()),
            Scope::Each {
                of: Selection::Destination(number),
                ..
            } => {
                facts.destination = Some(*number);
            }
            Scope::Each {
                of: Selection::All, ..
            } => {}
        }
        facts
    }

    /// Whether the facts of the two scopes contradict each other, so that no target can be in both.
    fn excludes(&self, other: &ScopeFacts) -> bool {
        differ(self.target.as_ref(), other.target.as_ref())
            || differ(self.kind.as_ref(), other.kind.as_ref())
            || differ(self.destination.as_ref(), other.destination.as_ref())
    }
}

fn differ<T: PartialEq>(a: Option<&T>, b: Option<&T>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

/// Whether a rule may apply to any target of a budget, judged by the facts of the scopes.
fn may_apply(rule: &Rule, budget: &Scope) -> bool {
    let facts = ScopeFacts::of(budget);
    if let Some(scope) = &rule.scope {
        if facts.excludes(&ScopeFacts::of(scope)) {
            return false;
        }
    }
    holds(&rule.when, &facts) != Some(false)
}

/// Whether a condition holds; `None` if the scope does not determine it.
fn holds(when: &Condition, facts: &ScopeFacts) -> Option<bool> {
    match when {
        Condition::Any(conditions) => {
            let mut results = conditions.iter().map(|one| holds(one, facts));
            if results.clone().any(|one| one == Some(true)) {
                return Some(true);
            }
            if results.all(|one| one == Some(false)) {
                Some(false)
            } else {
                None
            }
        }
        Condition::All(conditions) => {
            let mut results = conditions.iter().map(|one| holds(one, facts));
            if results.clone().any(|one| one == Some(false)) {
                return Some(false);
            }
            if results.all(|one| one == Some(true)) {
                Some(true)
            } else {
                None
            }
        }
        Condition::Not(condition) => holds(condition, facts).map(|holds| !holds),
        Condition::Kind(names) => {
            let kind = facts.kind.as_ref()?;
            Some(names.iter().any(|name| name.value == *kind))
        }
        Condition::Destination(number) => Some(facts.destination? == *number),
        Condition::WarmingUp | Condition::Draining | Condition::Zone(_) => None,
    }
}
