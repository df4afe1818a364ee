//! Converts a tree into a policy, and finds all errors before the policy is in force.

use super::checks::{budgets, fit, lease, members, names, numbers, KnownNames};
use super::diagnostic::{Diagnostics, PolicyErrors};
use super::policy::Policy;
use super::tree::Tree;

/// The version of the language that this parser accepts. A text has the same meaning on every instance.
pub const LANGUAGE_VERSION: u64 = 1;
const MAX_BUDGETS: usize = 1_000;
const MAX_RULES: usize = 256;

/// Checks a tree and converts it into a policy. `file` names the text in errors.
///
/// # Errors
/// Every error of the tree, up to a limit.
pub fn check(file: &str, tree: &Tree, known: &KnownNames) -> Result<Policy, PolicyErrors> {
    let mut errors = Diagnostics::new(file);
    if tree.language.value != LANGUAGE_VERSION {
        errors.add(
            tree.language.position,
            "language",
            format!("version {} is not supported", tree.language.value),
            format!("write `language {LANGUAGE_VERSION}`"),
        );
    }
    let max_edition = u64::from(u32::MAX);
    let edition = numbers::within(&mut errors, "edition", tree.edition, 1, max_edition);
    let member_positions = tree.members.iter().map(|member| member.name.position);
    numbers::at_most(
        &mut errors,
        "member",
        member_positions,
        members::MAX_MEMBERS,
    );
    let budget_positions = tree.budgets.iter().map(|budget| budget.scope.position);
    numbers::at_most(&mut errors, "budget", budget_positions, MAX_BUDGETS);
    let rule_positions = tree.rules.iter().map(|rule| rule.name.position);
    numbers::at_most(&mut errors, "rule", rule_positions, MAX_RULES);
    names::check_names(&mut errors, tree, known);
    let lease = lease::check_lease(&mut errors, &tree.lease);
    let members = members::check_members(&mut errors, &tree.members, known);
    let budgets = budgets::check_budgets(&mut errors, &tree.budgets, &members);
    let rules = budgets::check_rules(&mut errors, &tree.rules, &members);
    fit::check_fit(&mut errors, tree, &budgets, &rules, &members);
    errors.into_result(Policy {
        edition: edition.into(),
        lease,
        members: members.names,
        budgets: budgets.into_iter().flatten().collect(),
        rules,
    })
}
