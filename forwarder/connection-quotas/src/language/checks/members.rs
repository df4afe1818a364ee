//! Checks of members: their names, the terms of each, and contradictions between the terms.

use super::super::diagnostic::Diagnostics;
use super::super::lending;
use super::super::policy::{ChangedMember, MemberChange, MemberTerms, Reach, OTHERS};
use super::super::tree::{Lends, MemberKey, MemberTree};
use super::names::{check_known, KnownNames};
use super::numbers::{connections, within, SeenKeys};

/// Maximum number of members that a policy may name.
pub const MAX_MEMBERS: usize = 64;
const MAX_WEIGHT: u64 = 1_000;

/// All members in the order of their names, with the terms that apply unless a budget overrides them.
pub(in super::super) struct Members {
    pub(in super::super) names: Vec<String>,
    pub(super) terms: Vec<MemberTerms>,
}

impl Members {
    fn position_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }
}

/// Checks the `member` blocks outside of budgets and rules, and returns the members and their terms.
pub(in super::super) fn check_members(
    errors: &mut Diagnostics,
    trees: &[MemberTree],
    known: &KnownNames,
) -> Members {
    check_member_names(errors, trees, known);
    let mut names: Vec<String> = trees.iter().map(|tree| tree.name.value.clone()).collect();
    names.push(OTHERS.to_owned());
    names.sort_unstable();
    names.dedup();
    let default_terms = MemberTerms {
        weight: 1,
        floor: 0,
        ceiling: u32::MAX,
        lends: Reach::All,
        borrows: true,
    };
    let mut members = Members {
        terms: vec![default_terms; names.len()],
        names,
    };
    for tree in trees {
        if let Some(changed) = check_member(errors, tree, "", &members) {
            changed.change.apply(&mut members.terms[changed.member]);
        }
    }
    check_contradictions(errors, &members.terms, &members.names, trees, "");
    members
}

fn check_member_names(errors: &mut Diagnostics, trees: &[MemberTree], known: &KnownNames) {
    for (at, tree) in trees.iter().enumerate() {
        if trees[..at].iter().any(|other| other.name == tree.name) {
            let key = format!("member {}", tree.name.value);
            errors.add(
                tree.name.position,
                &key,
                "is given twice",
                "merge the two blocks",
            );
        }
        if tree.name.value != OTHERS {
            check_known(errors, &tree.name, "policy", "member", known.members);
        }
    }
}

/// Checks a member's block; `None` if there is no such member. `prefix` is the path of the enclosing block, followed by
/// ` / `; empty for a block outside of budgets and rules.
pub(super) fn check_member(
    errors: &mut Diagnostics,
    tree: &MemberTree,
    prefix: &str,
    members: &Members,
) -> Option<ChangedMember> {
    let position = members.position_of(&tree.name.value);
    if position.is_none() {
        let key = prefix.trim_end_matches(" / ");
        check_known(errors, &tree.name, key, "member", Some(&members.names));
    }
    let key = format!("{prefix}member {}", tree.name.value);
    let change = check_member_keys(errors, &tree.keys, &key, members);
    Some(ChangedMember {
        member: position?,
        change,
    })
}

fn check_member_keys(
    errors: &mut Diagnostics,
    keys: &[MemberKey],
    key: &str,
    members: &Members,
) -> MemberChange {
    let mut change = MemberChange::default();
    let mut seen = SeenKeys::default();
    for item in keys {
        match item {
            MemberKey::Weight(weight) => {
                seen.add(errors, "weight", weight.position, key);
                let key = format!("{key} / weight");
                change.weight = Some(within(errors, &key, *weight, 0, MAX_WEIGHT));
            }
            MemberKey::Floor(floor) => {
                seen.add(errors, "floor", floor.position, key);
                change.floor = Some(connections(errors, &format!("{key} / floor"), *floor, 0));
            }
            MemberKey::Ceiling(ceiling) => {
                seen.add(errors, "ceiling", ceiling.position, key);
                let key = format!("{key} / ceiling");
                change.ceiling = Some(connections(errors, &key, *ceiling, 0));
            }
            MemberKey::Borrows(borrows) => {
                seen.add(errors, "borrows", borrows.position, key);
                change.borrows = Some(borrows.value);
            }
            MemberKey::Lends(lends) => {
                seen.add(errors, "lends", lends.position, key);
                let key = format!("{key} / lends");
                change.lends = Some(check_lends(errors, &lends.value, &key, members));
            }
        }
    }
    change
}

fn check_lends(errors: &mut Diagnostics, lends: &Lends, key: &str, members: &Members) -> Reach {
    let names = match lends {
        Lends::All => return Reach::All,
        Lends::Nothing => return Reach::Only(Vec::new()),
        Lends::To(names) => names,
    };
    let mut positions = Vec::new();
    for name in names {
        match members.position_of(&name.value) {
            Some(position) if positions.contains(&position) => {
                let problem = format!("{} is named twice", name.value);
                errors.add(name.position, key, problem, "name it once");
            }
            Some(position) => positions.push(position),
            None => check_known(errors, name, key, "member", Some(&members.names)),
        }
    }
    positions.sort_unstable();
    Reach::Only(positions)
}

/// Reports contradictions in the terms of members. Only members with a block in `blocks`, which last changed the terms,
/// are reported: terms that a budget inherits are reported at the block that defines them.
pub(super) fn check_contradictions(
    errors: &mut Diagnostics,
    terms: &[MemberTerms],
    names: &[String],
    blocks: &[MemberTree],
    prefix: &str,
) {
    let block_of = |member: usize| blocks.iter().find(|tree| tree.name.value == names[member]);
    for (at, member) in terms.iter().enumerate() {
        let Some(block) = block_of(at) else {
            continue;
        };
        let key = format!("{prefix}member {}", names[at]);
        let position = block.name.position;
        if member.ceiling < member.floor {
            let MemberTerms { ceiling, floor, .. } = member;
            let problem = format!("the ceiling {ceiling} is under the floor {floor}");
            let suggestion = "raise one or lower the other";
            errors.add(position, &format!("{key} / ceiling"), problem, suggestion);
        }
        let Reach::Only(borrowers) = &member.lends else {
            continue;
        };
        for borrower in borrowers
            .iter()
            .filter(|borrower| !terms[**borrower].borrows)
        {
            let problem = format!("lends to {}, which does not borrow", names[*borrower]);
            let suggestion = "let it borrow, or remove it here";
            errors.add(position, &format!("{key} / lends"), problem, suggestion);
        }
    }
    let Some(cycle) = lending::find_cycle(terms) else {
        return;
    };
    let Some(block) = cycle.iter().find_map(|member| block_of(*member)) else {
        return;
    };
    let mut cycle: Vec<&str> = cycle.iter().map(|member| names[*member].as_str()).collect();
    cycle.push(cycle[0]);
    errors.add(
        block.name.position,
        &format!("{prefix}member {} / lends", block.name.value),
        format!("a lending cycle: {}", cycle.join(" to ")),
        "remove one of them from another's list, or use `lends all`",
    );
}
