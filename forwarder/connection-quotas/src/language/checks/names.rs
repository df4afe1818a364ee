//! Names of kinds and zones, and names that are given twice.

use super::super::diagnostic::{nearest, Diagnostics};
use super::super::tree::{Condition, Located, Scope, Selection, Tree};

/// The names that a policy may use, as far as its reader knows them: names that are not known are not checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownNames<'a> {
    /// Kinds of destinations.
    pub kinds: Option<&'a [String]>,
    /// Zones of targets.
    pub zones: Option<&'a [String]>,
    /// Members.
    pub members: Option<&'a [String]>,
}

/// Reports kinds and zones that are not known, and rules of one name.
pub(in super::super) fn check_names(errors: &mut Diagnostics, tree: &Tree, known: &KnownNames) {
    for budget in &tree.budgets {
        check_scope(errors, &budget.scope, known);
    }
    for (at, rule) in tree.rules.iter().enumerate() {
        let key = format!("rule {}", rule.name.value);
        if tree.rules[..at].iter().any(|other| other.name == rule.name) {
            let way_out = "give each rule a name of its own";
            errors.add(rule.name.position, &key, "the name is told twice", way_out);
        }
        if let Some(scope) = &rule.scope {
            check_scope(errors, scope, known);
        }
        check_condition(errors, &rule.when, &key, known);
    }
}

fn check_scope(errors: &mut Diagnostics, scope: &Located<Scope>, known: &KnownNames) {
    if let Scope::Each {
        of: Selection::Kind(kind),
        ..
    } = &scope.value
    {
        let kind = Located {
            value: kind.clone(),
            position: scope.position,
        };
        check_known(errors, &kind, &scope.value.to_string(), "kind", known.kinds);
    }
}

fn check_condition(errors: &mut Diagnostics, when: &Condition, key: &str, known: &KnownNames) {
    match when {
        Condition::Any(conditions) | Condition::All(conditions) => {
            for condition in conditions {
                check_condition(errors, condition, key, known);
            }
        }
        Condition::Not(condition) => check_condition(errors, condition, key, known),
        Condition::Zone(names) => {
            for name in names {
                check_known(errors, name, key, "zone", known.zones);
            }
        }
        Condition::Kind(names) => {
            for name in names {
                check_known(errors, name, key, "kind", known.kinds);
            }
        }
        Condition::WarmingUp | Condition::Draining | Condition::Destination(_) => {}
    }
}

/// Reports a name that is none of those known. `sort` says what is named.
pub(super) fn check_known(
    errors: &mut Diagnostics,
    name: &Located<String>,
    key: &str,
    sort: &str,
    known: Option<&[String]>,
) {
    let Some(known) = known else {
        return;
    };
    if known.contains(&name.value) {
        return;
    }
    let way_out = match nearest(&name.value, known.iter().map(String::as_str)) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => format!("no {sort} is told"),
        None => format!("known are: {}", known.join(", ")),
    };
    let key = format!("{key} / {sort} {}", name.value);
    errors.add(name.position, &key, format!("no such {sort}"), way_out);
}
