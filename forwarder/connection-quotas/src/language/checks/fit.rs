//! Whether what is promised at each budget fits into its connections, with any of the rules that may hold there, and
//! with all of them at once.

use super::super::diagnostic::Diagnostics;
use super::super::policy::{Budget, PoolTerms, Rule};
use super::super::tree::{Condition, Located, Scope, Selection, Tree};
use super::budgets::member_blocks;
use super::members::{check_contradictions, Members};

/// Reports budgets that promise more than they have.
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
        check_promises(errors, base.connections, base, &written.scope, &key, "");
        let mut worst = base.clone();
        let possible = rules
            .iter()
            .zip(&tree.rules)
            .filter(|(rule, _)| may_hold(rule, &budget.scope));
        for (rule, written) in possible {
            let before = worst.clone();
            rule.change.apply(base.connections, &mut worst);
            worst.reserve = worst.reserve.max(before.reserve);
            for (member, before) in worst.members.iter_mut().zip(&before.members) {
                member.floor = member.floor.max(before.floor);
            }
            let blocks = member_blocks(&written.keys);
            let prefix = format!("rule {} / ", written.name.value);
            check_contradictions(errors, &worst.members, &members.names, &blocks, &prefix);
            if promised(&before) <= before.connections {
                let reason = format!(" with {}", prefix.trim_end_matches(" / "));
                check_promises(
                    errors,
                    base.connections,
                    &worst,
                    &written.name,
                    &key,
                    &reason,
                );
            }
        }
    }
}

fn promised(terms: &PoolTerms) -> u32 {
    terms.reserve + terms.standing + floors(terms)
}

fn floors(terms: &PoolTerms) -> u32 {
    terms.members.iter().map(|member| member.floor).sum()
}

/// `base` is the budget's own number of connections; `reason` is why the terms are others, empty where they are not.
fn check_promises<T>(
    errors: &mut Diagnostics,
    base: u32,
    terms: &PoolTerms,
    at: &Located<T>,
    key: &str,
    reason: &str,
) {
    let promised = promised(terms);
    let PoolTerms {
        connections,
        reserve,
        standing,
        ..
    } = terms;
    if promised <= *connections {
        return;
    }
    let of_base = if reason.is_empty() {
        String::new()
    } else {
        format!(" of {base}")
    };
    let problem = format!(
        "floors {}, reserve {reserve} and standing {standing} are {promised}, above the {connections} \
         connections{of_base}{reason}",
        floors(terms)
    );
    let excess = promised - connections;
    let way_out = format!("take {excess} off them, or raise the connections");
    errors.add(
        at.position,
        &format!("{key} / connections"),
        problem,
        way_out,
    );
}

/// What a scope says of its targets.
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

    /// Whether no target can be in both scopes, as far as they say.
    fn excludes(&self, other: &ScopeFacts) -> bool {
        differ(self.target.as_ref(), other.target.as_ref())
            || differ(self.kind.as_ref(), other.kind.as_ref())
            || differ(self.destination.as_ref(), other.destination.as_ref())
    }
}

fn differ<T: PartialEq>(a: Option<&T>, b: Option<&T>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a != b)
}

/// Whether a rule may ever hold at a budget's targets, as far as the scopes say.
fn may_hold(rule: &Rule, budget: &Scope) -> bool {
    let facts = ScopeFacts::of(budget);
    if let Some(scope) = &rule.scope {
        if facts.excludes(&ScopeFacts::of(scope)) {
            return false;
        }
    }
    holds(&rule.when, &facts) != Some(false)
}

/// Whether a condition holds; `None` where the scope does not say.
fn holds(when: &Condition, facts: &ScopeFacts) -> Option<bool> {
    match when {
        Condition::Any(conditions) => {
            let mut holding = conditions.iter().map(|one| holds(one, facts));
            if holding.clone().any(|one| one == Some(true)) {
                return Some(true);
            }
            if holding.all(|one| one == Some(false)) {
                Some(false)
            } else {
                None
            }
        }
        Condition::All(conditions) => {
            let mut holding = conditions.iter().map(|one| holds(one, facts));
            if holding.clone().any(|one| one == Some(false)) {
                return Some(false);
            }
            if holding.all(|one| one == Some(true)) {
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
