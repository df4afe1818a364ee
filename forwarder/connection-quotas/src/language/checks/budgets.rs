//! Budgets and rules, each by itself.

use super::super::diagnostic::Diagnostics;
use super::super::policy::{Budget, Change, PoolTerms, Rule};
use super::super::tree::{
    Amount, BudgetKey, BudgetTree, Located, MemberTree, Over, RuleTree, Scope, Selection,
};
use super::members::{check_contradictions, check_member, Members};
use super::numbers::{connections, GivenKeys};

/// What a block says.
struct Block {
    change: Change,
    /// Budgets alone have it.
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
    let mut given = GivenKeys::default();
    for part in keys {
        match part {
            BudgetKey::Connections(amount) => {
                given.add(errors, "connections", amount.position, key);
                check_amount(
                    errors,
                    *amount,
                    &format!("{key} / connections"),
                    &mut block.change,
                );
            }
            BudgetKey::Reserve(number) => {
                given.add(errors, "reserve", number.position, key);
                let key = format!("{key} / reserve");
                block.change.reserve = Some(connections(errors, &key, *number, 0));
            }
            BudgetKey::Standing(number) => {
                given.add(errors, "standing", number.position, key);
                let key = format!("{key} / standing");
                block.standing = Some(connections(errors, &key, *number, 0));
            }
            BudgetKey::Over(over) => {
                given.add(errors, "over", over.position, key);
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
        Amount::Whole(number) => {
            let number = Located {
                value: number,
                position: amount.position,
            };
            change.connections = Some(connections(errors, key, number, 1));
        }
        Amount::Part(part) if (1..=10_000).contains(&part.0) => change.part = Some(part),
        Amount::Part(part) => {
            let way_out = "0.01% to 100% are allowed";
            errors.add(amount.position, key, format!("is {part}"), way_out);
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
            "is told twice",
            "put both into one",
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

/// The budgets in the order written; `None` for one that says no number of connections.
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

/// Reports budgets that hold for the same targets with neither of them the narrower.
fn check_overlap(errors: &mut Diagnostics, tree: &BudgetTree, earlier: &[BudgetTree]) {
    let scope = &tree.scope.value;
    for other in earlier
        .iter()
        .filter(|other| is_same_ground(&other.scope.value, scope))
    {
        let line = other.scope.position.line;
        let problem = format!("`{}` in line {line} holds for the same", other.scope.value);
        let key = format!("budget {scope}");
        errors.add(tree.scope.position, &key, problem, "leave one of them out");
    }
}

fn check_budget(errors: &mut Diagnostics, tree: &BudgetTree, members: &Members) -> Option<Budget> {
    let scope = &tree.scope.value;
    let key = format!("budget {scope}");
    let Block { change, standing } = check_block(errors, &tree.keys, &key, members);
    let Some(connections) = change.connections else {
        let problem = match change.part {
            Some(_) => "is a part of nothing",
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
    // A quarter of what is free, where nothing is said: enough to go on alone, little to lie idle.
    terms.standing = standing.unwrap_or(free / 4);
    let blocks = member_blocks(&tree.keys);
    let prefix = format!("{key} / ");
    check_contradictions(errors, &terms.members, &members.names, &blocks, &prefix);
    Some(Budget {
        scope: scope.clone(),
        terms,
    })
}

fn is_same_ground(a: &Scope, b: &Scope) -> bool {
    let ground = |scope: &Scope| match scope {
        Scope::Destination(number) => Some(Selection::Destination(*number)),
        Scope::Each { of, .. } => Some(of.clone()),
        Scope::Target(_) => None,
    };
    a == b || (ground(a).is_some() && ground(a) == ground(b))
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
            let way_out = "say what changes, or leave it out";
            errors.add(tree.name.position, &key, "changes nothing", way_out);
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
