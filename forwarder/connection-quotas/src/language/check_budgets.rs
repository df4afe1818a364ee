//! Budgets and rules: each by itself, and what they say against each other.

use super::check::{once, within, MOST_CONNECTIONS};
use super::check_members::{change, contradictions, Members};
use super::fault::Gathered;
use super::policy::*;
use super::tree::*;

/// What a block says, with the whole number that it gives in place of a part.
fn block(
    faults: &mut Gathered,
    keys: &[BudgetKey],
    key: &str,
    members: &Members,
) -> (Change, Option<u32>) {
    let (mut made, mut standing, mut told) = (Change::default(), None, Vec::new());
    let mut named: Vec<usize> = Vec::new();
    for part in keys {
        match part {
            BudgetKey::Connections(amount) => {
                once(faults, &mut told, "connections", amount.place, key);
                let key = format!("{key} / connections");
                match amount.what {
                    Amount::Whole(number) => {
                        let number = At {
                            what: number,
                            place: amount.place,
                        };
                        made.connections = Some(within(faults, &key, number, 1, MOST_CONNECTIONS));
                    }
                    Amount::Part(part) if (1..=10_000).contains(&part.0) => made.part = Some(part),
                    Amount::Part(part) => {
                        faults.add(
                            amount.place,
                            &key,
                            format!("is {part}"),
                            "0.01% to 100% are allowed",
                        );
                    }
                }
            }
            BudgetKey::Reserve(number) => {
                once(faults, &mut told, "reserve", number.place, key);
                made.reserve = Some(within(
                    faults,
                    &format!("{key} / reserve"),
                    *number,
                    0,
                    MOST_CONNECTIONS,
                ));
            }
            BudgetKey::Standing(number) => {
                once(faults, &mut told, "standing", number.place, key);
                standing = Some(within(
                    faults,
                    &format!("{key} / standing"),
                    *number,
                    0,
                    MOST_CONNECTIONS,
                ));
            }
            BudgetKey::Over(over) => {
                once(faults, &mut told, "over", over.place, key);
                made.over = Some(over.what);
            }
            BudgetKey::Member(tree) => {
                let Some((at, change)) = change(faults, tree, &format!("{key} / "), members) else {
                    continue;
                };
                if named.contains(&at) {
                    let key = format!("{key} / member {}", tree.name.what);
                    faults.add(tree.name.place, &key, "is told twice", "put both into one");
                }
                named.push(at);
                made.members.push((at, change));
            }
        }
    }
    (made, standing)
}

/// The member blocks among a block's keys.
fn member_blocks(keys: &[BudgetKey]) -> Vec<MemberTree> {
    let member = |key: &BudgetKey| match key {
        BudgetKey::Member(tree) => Some(tree.clone()),
        _ => None,
    };
    keys.iter().filter_map(member).collect()
}

/// The budgets in the order they are written; none in the place of one that says no number of connections.
pub fn budgets(
    faults: &mut Gathered,
    trees: &[BudgetTree],
    members: &Members,
) -> Vec<Option<Budget>> {
    let mut made = Vec::new();
    for (at, tree) in trees.iter().enumerate() {
        let (scope, place) = (&tree.scope.what, tree.scope.place);
        let key = format!("budget {scope}");
        for other in trees[..at]
            .iter()
            .filter(|other| same_ground(&other.scope.what, scope))
        {
            let what = format!(
                "`{}` in line {} holds for the same",
                other.scope.what, other.scope.place.line
            );
            faults.add(place, &key, what, "leave one of them out");
        }
        let (told, standing) = block(faults, &tree.keys, &key, members);
        let connections = match (told.connections, told.part) {
            (Some(connections), _) => connections,
            (None, part) => {
                let what = if part.is_some() {
                    "is a part of nothing"
                } else {
                    "is missing"
                };
                faults.add(
                    place,
                    &format!("{key} / connections"),
                    what,
                    "give a whole number",
                );
                made.push(None);
                continue;
            }
        };
        let mut terms = PoolTerms {
            connections,
            reserve: 0,
            standing: 0,
            over: Over::ByDemand,
            members: members.usual.clone(),
        };
        told.apply(connections, &mut terms);
        let floors: u32 = terms.members.iter().map(|member| member.floor).sum();
        // A quarter of what is free, where nothing is told: enough to go on alone, little to lie idle.
        let free = connections
            .saturating_sub(terms.reserve)
            .saturating_sub(floors);
        terms.standing = standing.unwrap_or(free / 4);
        contradictions(
            faults,
            &terms.members,
            &members.names,
            &member_blocks(&tree.keys),
            &format!("{key} / "),
        );
        made.push(Some(Budget {
            scope: scope.clone(),
            terms,
        }));
    }
    made
}

/// Whether two budgets would hold for the same targets with neither of them the narrower.
fn same_ground(a: &Scope, b: &Scope) -> bool {
    let ground = |scope: &Scope| match scope {
        Scope::Destination(number) => Some(Of::Destination(*number)),
        Scope::Each { of, .. } => Some(of.clone()),
        Scope::Target(_) => None,
    };
    a == b || (ground(a).is_some() && ground(a) == ground(b))
}

pub fn rules(faults: &mut Gathered, trees: &[RuleTree], members: &Members) -> Vec<Rule> {
    let mut made = Vec::new();
    for tree in trees {
        let key = format!("rule {}", tree.name.what);
        let (change, _) = block(faults, &tree.keys, &key, members);
        if tree.keys.is_empty() {
            faults.add(
                tree.name.place,
                &key,
                "changes nothing",
                "say what changes, or leave it out",
            );
        }
        let scope = tree.scope.as_ref().map(|scope| scope.what.clone());
        made.push(Rule {
            scope,
            when: tree.when.clone(),
            change,
        });
    }
    made
}

/// What is promised at each budget has to fit with any of the rules that may hold there, all at once too.
pub fn together(
    faults: &mut Gathered,
    tree: &Tree,
    budgets: &[Option<Budget>],
    rules: &[Rule],
    members: &Members,
) {
    for (budget, told) in budgets.iter().zip(&tree.budgets) {
        let Some(budget) = budget else { continue };
        let key = format!("budget {}", budget.scope);
        let base = &budget.terms;
        fits(faults, base.connections, base, &told.scope, &key, "");
        let mut worst = base.clone();
        for (rule, written) in rules
            .iter()
            .zip(&tree.rules)
            .filter(|(rule, _)| may_hold(rule, &budget.scope))
        {
            let before = worst.clone();
            rule.change.apply(base.connections, &mut worst);
            worst.reserve = worst.reserve.max(before.reserve);
            for (member, before) in worst.members.iter_mut().zip(&before.members) {
                member.floor = member.floor.max(before.floor);
            }
            let inside = format!("rule {} / ", written.name.what);
            contradictions(
                faults,
                &worst.members,
                &members.names,
                &member_blocks(&written.keys),
                &inside,
            );
            if promised(&before) <= before.connections {
                let why = format!(" with {}", inside.trim_end_matches(" / "));
                fits(faults, base.connections, &worst, &written.name, &key, &why);
            }
        }
    }
}

fn promised(terms: &PoolTerms) -> u32 {
    terms.reserve + terms.standing + terms.members.iter().map(|member| member.floor).sum::<u32>()
}

fn fits<T>(faults: &mut Gathered, base: u32, terms: &PoolTerms, at: &At<T>, key: &str, why: &str) {
    let (promised, connections) = (promised(terms), terms.connections);
    if promised <= connections {
        return;
    }
    let floors: u32 = terms.members.iter().map(|member| member.floor).sum();
    let left = if why.is_empty() {
        String::new()
    } else {
        format!(" of {base}")
    };
    let what = format!(
        "floors {floors}, reserve {} and standing {} are {promised}, above the {connections} connections{left}{why}",
        terms.reserve, terms.standing
    );
    let way_out = format!(
        "take {} off them, or raise the connections",
        promised - connections
    );
    faults.add(at.place, &format!("{key} / connections"), what, way_out);
}

/// Whether a rule may ever hold at a budget's targets, as far as its scope tells.
fn may_hold(rule: &Rule, budget: &Scope) -> bool {
    let known = known_of(budget);
    let apart = rule.scope.as_ref().map(known_of).is_some_and(|other| {
        let differ = |a: &Option<String>, b: &Option<String>| a.is_some() && b.is_some() && a != b;
        differ(&known.0, &other.0)
            || differ(&known.1, &other.1)
            || matches!((known.2, other.2), (Some(a), Some(b)) if a != b)
    });
    !apart && may(&rule.when, &known) != Some(false)
}

/// Target, kind and destination, as far as a scope tells them.
type ScopeFacts = (Option<String>, Option<String>, Option<u64>);

fn known_of(scope: &Scope) -> ScopeFacts {
    match scope {
        Scope::Target(name) => (Some(name.clone()), None, None),
        Scope::Destination(number) => (None, None, Some(*number)),
        Scope::Each {
            of: Of::Kind(kind), ..
        } => (None, Some(kind.clone()), None),
        Scope::Each {
            of: Of::Destination(number),
            ..
        } => (None, None, Some(*number)),
        Scope::Each { of: Of::All, .. } => (None, None, None),
    }
}

/// Whether a condition holds, where that can be told.
fn may(when: &When, known: &ScopeFacts) -> Option<bool> {
    match when {
        When::Any(all) if all.iter().any(|one| may(one, known) == Some(true)) => Some(true),
        When::Any(all) if all.iter().all(|one| may(one, known) == Some(false)) => Some(false),
        When::All(all) if all.iter().any(|one| may(one, known) == Some(false)) => Some(false),
        When::All(all) if all.iter().all(|one| may(one, known) == Some(true)) => Some(true),
        When::Not(one) => may(one, known).map(|holds| !holds),
        When::Kind(names) => known
            .1
            .as_ref()
            .map(|kind| names.iter().any(|name| name.what == *kind)),
        When::Destination(number) => known.2.map(|known| known == *number),
        _ => None,
    }
}
