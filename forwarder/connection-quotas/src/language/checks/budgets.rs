//! Checks of single budgets and rules.

use super::super::diagnostic::Diagnostics;
use super::super::policy::{Budget, Change, PoolTerms, Rule};
use super::super::tree::{
    Amount, BudgetKey, BudgetTree, Located, MemberTree, Over, RuleTree, Scope, Selection,
};
use super::members::{check_contradictions, check_member, Members};
use super::numbers::{connections, SeenKeys};

/// The checked keys of a budget or rule block.
struct Block {
    change: Change,
    /// Only budgets have this key.
    standing: Option<u32>,
}

fn check_block(
    errors: &mut Diagnostics,
    keys: &[BudgetKey],
    key: &str,
    members: &Members,
) -> Block {
    let mut block = Block {
        change: Change::default(),
        standing: None,
    };
    let mut seen = SeenKeys::default();
    for item in keys {
        match item {
            BudgetKey::Connections(amount) => {
                seen.add(errors, "connections", amount.position, key);
                check_amount(
                    errors,
                    *amount,
                    &format!("{key} / connections"),
                    &mut block.change,
                );
            }
            BudgetKey::Reserve(number) => {
                seen.add(errors, "reserve", number.position, key);
                let key = format!("{key} / reserve");
                block.change.reserve = Some(connections(errors, &key, *number, 0));
            }
            BudgetKey::Standing(number) => {
                seen.add(errors, "standing", number.position, key);
                let key = format!("{key} / standing");
                block.standing = Some(connections(errors, &key, *number, 0));
            }
            BudgetKey::Over(over) => {
                seen.add(errors, "over", over.position, key);
                block.change.over = Some(over.value);
            }
            BudgetKey::Member(tree) => {
                check_block_member(errors, tree, key, members, &mut block.change);
            }
        }
    }
    block
}

fn check_amount(errors: &mut Diagnostics, amount: Located<Amount>, key: &str, change: &mut Change) {
    match amount.value {
        Amount::Count(number) => {
            let number = Located {
                value: number,
                position: amount.position,
            };
            change.connections = Some(connections(errors, key, number, 1));
        }
        Amount::Percent(percent) if (1..=10_000).contains(&percent.0) => {
            change.percent = Some(percent)
        }
        Amount::Percent(percent) => {
            let suggestion = "0.01% to 100% are allowed";
            errors.add(amount.position, key, format!("is {percent}"), suggestion);
        }
    }
}

fn check_block_member(
    errors: &mut Diagnostics,
    tree: &MemberTree,
    key: &str,
    members: &Members,
    change: &mut Change,
) {
    let Some(changed) = check_member(errors, tree, &format!("{key} / "), members) else {
        return;
    };
    if change
        .members
        .iter()
        .any(|other| other.member == changed.member)
    {
        let key = format!("{key} / member {}", tree.name.value);
        errors.add(
            tree.name.position,
            &key,
            "is given twice",
            "merge the two blocks",
        );
    }
    change.members.push(changed);
}

/// The member blocks among a block's keys.
pub(super) fn member_blocks(keys: &[BudgetKey]) -> Vec<MemberTree> {
    let members = keys.iter().filter_map(|key| match key {
        BudgetKey::Member(tree) => Some(tree.clone()),
        _ => None,
    });
    members.collect()
}

/// The budgets in the order written; `None` for a budget without a number of connections.
pub(in super::super) fn check_budgets(
    errors: &mut Diagnostics,
    trees: &[BudgetTree],
    members: &Members,
) -> Vec<Option<Budget>> {
    let mut budgets = Vec::new();
    for (at, tree) in trees.iter().enumerate() {
        check_overlap(errors, tree, &trees[..at]);
        budgets.push(check_budget(errors, tree, members));
    }
    budgets
}

/// Reports each earlier budget that selects the same targets, so that neither of the two is more specific.
fn check_overlap(errors: &mut Diagnostics, tree: &BudgetTree, earlier: &[BudgetTree]) {
    let scope = &tree.scope.value;
    for other in earlier
        .iter()
        .filter(|other| selects_same_targets(&other.scope.value, scope))
    {
        let line = other.scope.position.line;
        let problem = format!(
            "`{}` in line {line} applies to the same targets",
            other.scope.value
        );
        let key = format!("budget {scope}");
        errors.add(tree.scope.position, &key, problem, "remove one of them");
    }
}

fn check_budget(errors: &mut Diagnostics, tree: &BudgetTree, members: &Members) -> Option<Budget> {
    let scope = &tree.scope.value;
    let key = format!("budget {scope}");
    let Block { change, standing } = check_block(errors, &tree.keys, &key, members);
    let Some(connections) = change.connections else {
        let problem = match change.percent {
            Some(_) => "is a percentage without a base",
            None => "is missing",
        };
        let key = format!("{key} / connections");
        errors.add(tree.scope.position, &key, problem, "give a whole number");
        return None;
    };
    let mut terms = PoolTerms {
        connections,
        reserve: 0,
        standing: 0,
        over: Over::ByDemand,
        members: members.terms.clone(),
    };
    change.apply(connections, &mut terms);
    let floors: u32 = terms.members.iter().map(|member| member.floor).sum();
    let free = connections
        .saturating_sub(terms.reserve)
        .saturating_sub(floors);
    // The default is a quarter of the free connections: enough to operate without a lease, and few that may stay idle.
    terms.standing = standing.unwrap_or(free / 4);
    let blocks = member_blocks(&tree.keys);
    let prefix = format!("{key} / ");
    check_contradictions(errors, &terms.members, &members.names, &blocks, &prefix);
    Some(Budget {
        scope: scope.clone(),
        terms,
    })
}

fn selects_same_targets(a: &Scope, b: &Scope) -> bool {
    let selection = |scope: &Scope| match scope {
        Scope::Destination(number) => Some(Selection::Destination(*number)),
        Scope::Each { of, .. } => Some(of.clone()),
        Scope::Target(_) => None,
    };
    a == b || (selection(a).is_some() && selection(a) == selection(b))
}

/// The rules in the order written.
pub(in super::super) fn check_rules(
    errors: &mut Diagnostics,
    trees: &[RuleTree],
    members: &Members,
) -> Vec<Rule> {
    let mut rules = Vec::new();
    for tree in trees {
        let key = format!("rule {}", tree.name.value);
        let change = check_block(errors, &tree.keys, &key, members).change;
        if tree.keys.is_empty() {
            let suggestion = "add the keys to change, or remove the rule";
            errors.add(tree.name.position, &key, "changes nothing", suggestion);
        }
        let scope = tree.scope.as_ref().map(|scope| scope.value.clone());
        rules.push(Rule {
            scope,
            when: tree.when.clone(),
            change,
        });
    }
    rules
}
