//! Members: their names, what is told of each, and what that makes together.

use super::check::{once, unknown, within, Known, MOST_CONNECTIONS, MOST_WEIGHT};
use super::fault::Gathered;
use super::lending;
use super::policy::*;
use super::tree::*;

/// All members in the order of their names, with what holds where a budget says nothing else.
pub struct Members {
    pub names: Vec<String>,
    pub usual: Vec<MemberTerms>,
}

pub fn members(faults: &mut Gathered, trees: &[MemberTree], known: &Known) -> Members {
    let mut names: Vec<String> = trees
        .iter()
        .map(|member| member.name.what.clone())
        .collect();
    names.push(OTHERS.to_owned());
    names.sort_unstable();
    names.dedup();
    for (at, tree) in trees.iter().enumerate() {
        let key = format!("member {}", tree.name.what);
        if trees[..at].iter().any(|other| other.name == tree.name) {
            faults.add(tree.name.place, &key, "is told twice", "put both into one");
        }
        if tree.name.what != OTHERS {
            unknown(faults, &tree.name, "policy", "member", known.members);
        }
    }
    let plain = MemberTerms {
        weight: 1,
        floor: 0,
        ceiling: u32::MAX,
        lends: Reach::All,
        borrows: true,
    };
    let mut members = Members {
        usual: vec![plain; names.len()],
        names,
    };
    let mut usual = members.usual.clone();
    for tree in trees {
        if let Some((at, told)) = change(faults, tree, "", &members) {
            told.apply(&mut usual[at]);
        }
    }
    members.usual = usual;
    contradictions(faults, &members.usual, &members.names, trees, "");
    members
}

/// What a member's block says, and whose it is. `within` is where the block stands, with ` / ` behind it.
pub fn change(
    faults: &mut Gathered,
    tree: &MemberTree,
    inside: &str,
    members: &Members,
) -> Option<(usize, MemberChange)> {
    let key = format!("{inside}member {}", tree.name.what);
    let place = members
        .names
        .iter()
        .position(|name| *name == tree.name.what);
    if place.is_none() {
        let sort = inside.trim_end_matches(" / ");
        unknown(faults, &tree.name, sort, "member", Some(&members.names));
    }
    let (mut change, mut told) = (MemberChange::default(), Vec::new());
    for part in &tree.keys {
        match part {
            MemberKey::Weight(weight) => {
                once(faults, &mut told, "weight", weight.place, &key);
                change.weight = Some(within(
                    faults,
                    &format!("{key} / weight"),
                    *weight,
                    0,
                    MOST_WEIGHT,
                ));
            }
            MemberKey::Floor(floor) => {
                once(faults, &mut told, "floor", floor.place, &key);
                change.floor = Some(within(
                    faults,
                    &format!("{key} / floor"),
                    *floor,
                    0,
                    MOST_CONNECTIONS,
                ));
            }
            MemberKey::Ceiling(ceiling) => {
                once(faults, &mut told, "ceiling", ceiling.place, &key);
                change.ceiling = Some(within(
                    faults,
                    &format!("{key} / ceiling"),
                    *ceiling,
                    0,
                    MOST_CONNECTIONS,
                ));
            }
            MemberKey::Borrows(borrows) => {
                once(faults, &mut told, "borrows", borrows.place, &key);
                change.borrows = Some(borrows.what);
            }
            MemberKey::Lends(lends) => {
                once(faults, &mut told, "lends", lends.place, &key);
                change.lends = Some(reach(
                    faults,
                    &lends.what,
                    &format!("{key} / lends"),
                    members,
                ));
            }
        }
    }
    Some((place?, change))
}

fn reach(faults: &mut Gathered, lends: &Lends, key: &str, members: &Members) -> Reach {
    let names = match lends {
        Lends::All => return Reach::All,
        Lends::Nothing => return Reach::Only(Vec::new()),
        Lends::To(names) => names,
    };
    let mut places = Vec::new();
    for name in names {
        match members.names.iter().position(|known| *known == name.what) {
            Some(place) if places.contains(&place) => {
                faults.add(
                    name.place,
                    key,
                    format!("{} is named twice", name.what),
                    "name it once",
                );
            }
            Some(place) => places.push(place),
            None => unknown(faults, name, key, "member", Some(&members.names)),
        }
    }
    places.sort_unstable();
    Reach::Only(places)
}

/// What each member's terms say against each other; `told` are the blocks that made them so.
pub fn contradictions(
    faults: &mut Gathered,
    terms: &[MemberTerms],
    names: &[String],
    told: &[MemberTree],
    inside: &str,
) {
    let block = |at: usize| told.iter().find(|tree| tree.name.what == names[at]);
    for (at, member) in terms.iter().enumerate() {
        // What a budget leaves as it was is told where it was said.
        let Some(tree) = block(at) else { continue };
        let key = format!("{inside}member {}", names[at]);
        if member.ceiling < member.floor {
            let what = format!(
                "the ceiling {} is under the floor {}",
                member.ceiling, member.floor
            );
            faults.add(
                tree.name.place,
                &format!("{key} / ceiling"),
                what,
                "raise one or lower the other",
            );
        }
        let Reach::Only(to) = &member.lends else {
            continue;
        };
        for borrower in to.iter().filter(|to| !terms[**to].borrows) {
            let what = format!("lends to {}, which does not borrow", names[*borrower]);
            faults.add(
                tree.name.place,
                &format!("{key} / lends"),
                what,
                "let it borrow, or leave it out here",
            );
        }
    }
    let Some(circle) = lending::circle(terms) else {
        return;
    };
    let Some(tree) = circle.iter().find_map(|at| block(*at)) else {
        return;
    };
    let mut way: Vec<&str> = circle.iter().map(|at| names[*at].as_str()).collect();
    way.push(way[0]);
    let key = format!("{inside}member {} / lends", tree.name.what);
    let what = format!("a circle of lending: {}", way.join(" to "));
    faults.add(
        tree.name.place,
        &key,
        what,
        "take one of them out of another's list, or say `lends all`",
    );
}
