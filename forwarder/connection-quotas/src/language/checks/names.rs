//! Checks that names of kinds and zones are known and that names of rules are unique.

use super::super::diagnostic::{nearest, Diagnostics};
use super::super::tree::{Condition, Located, Scope, Selection, Tree};

/// The names that a policy may use. `None` if they are not known: names of that category are then not checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownNames<'a> {
    /// Names of destination kinds.
    pub kinds: Option<&'a [String]>,
    /// Names of zones.
    pub zones: Option<&'a [String]>,
    /// Names of members.
    pub members: Option<&'a [String]>,
}

/// Reports unknown kinds and zones, and rules with the same name.
pub(in super::super) fn check_names(errors: &mut Diagnostics, tree: &Tree, known: &KnownNames) {
    for budget in &tree.budgets {
        check_scope(errors, &budget.scope, known);
    }
    for (at, rule) in tree.rules.iter().enumerate() {
        let key = format!("rule {}", rule.name.value);
        if tree.rules[..at].iter().any(|other| other.name == rule.name) {
            let suggestion = "give each rule a unique name";
            errors.add(
                rule.name.position,
                &key,
                "the name is used twice",
                suggestion,
            );
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

/// Reports a name that is not among the known ones. `category` is the category of the name, as in `zone`.
pub(super) fn check_known(
    errors: &mut Diagnostics,
    name: &Located<String>,
    key: &str,
    category: &str,
    known: Option<&[String]>,
) {
    let Some(known) = known else {
        return;
    };
    if known.contains(&name.value) {
        return;
    }
    let suggestion = match nearest(&name.value, known.iter().map(String::as_str)) {
        Some(similar) => format!("did you mean `{similar}`?"),
        None if known.is_empty() => format!("no {category} is defined"),
        None => format!("known are: {}", known.join(", ")),
    };
    let key = format!("{key} / {category} {}", name.value);
    errors.add(
        name.position,
        &key,
        format!("no such {category}"),
        suggestion,
    );
}
