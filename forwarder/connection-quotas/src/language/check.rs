//! From tree to policy: all that can be wrong is found here, before the policy is taken into use.

use super::fault::{nearest, Faults, Gathered};
use super::policy::*;
use super::tree::*;
use super::{check_budgets, check_members};

/// The names that a policy may use, as far as its reader knows them: none known, none checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known<'a> {
    pub kinds: Option<&'a [String]>,
    pub zones: Option<&'a [String]>,
    pub members: Option<&'a [String]>,
}

/// The version of the language that is read here. A text means the same wherever it is read.
pub const LANGUAGE: u64 = 1;
pub const MOST_CONNECTIONS: u64 = 10_000;
pub const MOST_WEIGHT: u64 = 1_000;
pub const MOST_MEMBERS: usize = 64;
pub const MOST_BUDGETS: usize = 1_000;
pub const MOST_RULES: usize = 256;

/// The policy that a tree says, or every fault in it; `file` names it in them.
pub fn check(file: &str, tree: &Tree, known: &Known) -> Result<Policy, Faults> {
    let mut faults = Gathered::new(file);
    if tree.language.what != LANGUAGE {
        let what = format!("{} is not known", tree.language.what);
        faults.add(
            tree.language.place,
            "language",
            what,
            format!("write `language {LANGUAGE}`"),
        );
    }
    let edition = within(&mut faults, "edition", tree.edition, 1, u64::from(u32::MAX)).into();
    too_many(
        &mut faults,
        "member",
        tree.members.iter().map(|m| m.name.place),
        MOST_MEMBERS,
    );
    too_many(
        &mut faults,
        "budget",
        tree.budgets.iter().map(|b| b.scope.place),
        MOST_BUDGETS,
    );
    too_many(
        &mut faults,
        "rule",
        tree.rules.iter().map(|r| r.name.place),
        MOST_RULES,
    );
    names(&mut faults, tree, known);
    let lease = lease(&mut faults, &tree.lease);
    let members = check_members::members(&mut faults, &tree.members, known);
    let budgets = check_budgets::budgets(&mut faults, &tree.budgets, &members);
    let rules = check_budgets::rules(&mut faults, &tree.rules, &members);
    check_budgets::together(&mut faults, tree, &budgets, &rules, &members);
    let budgets = budgets.into_iter().flatten().collect();
    faults.unless_any(Policy {
        edition,
        lease,
        members: members.names,
        budgets,
        rules,
    })
}

fn too_many(
    faults: &mut Gathered,
    key: &str,
    mut places: impl Iterator<Item = Place>,
    most: usize,
) {
    if let Some(place) = places.nth(most) {
        faults.add(place, key, format!("more than {most}"), "say it in fewer");
    }
}

/// A number within its bounds; else it is told and the nearer bound goes on in its place.
pub(super) fn within(
    faults: &mut Gathered,
    key: &str,
    number: At<u64>,
    least: u64,
    most: u64,
) -> u32 {
    if !(least..=most).contains(&number.what) {
        let bound = if number.what < least {
            format!("under {least}")
        } else {
            format!("above {most}")
        };
        let way_out = format!("{least} to {most} are allowed");
        faults.add(number.place, key, format!("is {bound}"), way_out);
    }
    number.what.clamp(least, most) as u32
}

/// Tells a key that was told already in its block.
pub(super) fn once(
    faults: &mut Gathered,
    told: &mut Vec<&'static str>,
    word: &'static str,
    place: Place,
    block: &str,
) {
    if told.contains(&word) {
        faults.add(
            place,
            &format!("{block} / {word}"),
            "is told twice",
            "leave one of them out",
        );
    }
    told.push(word);
}

fn lease(faults: &mut Gathered, blocks: &[At<Vec<LeaseKey>>]) -> LeaseTerms {
    let (mut lasts, mut renew, mut drift) = (At::from(10_000), None, At::from(Percent(200)));
    for block in blocks.iter().skip(1) {
        faults.add(
            block.place,
            "lease",
            "is told twice",
            "leave one of them out",
        );
    }
    let mut told = Vec::new();
    for key in blocks.iter().flat_map(|block| &block.what) {
        match *key {
            LeaseKey::Lasts(ms) => {
                once(faults, &mut told, "lasts", ms.place, "lease");
                lasts = ms;
            }
            LeaseKey::Renew(ms) => {
                once(faults, &mut told, "renew", ms.place, "lease");
                renew = Some(ms);
            }
            LeaseKey::Drift(percent) => {
                once(faults, &mut told, "drift", percent.place, "lease");
                drift = percent;
            }
        }
    }
    let lasting = within(faults, "lease / lasts", lasts, 1_000, 600_000);
    let renew = renew.unwrap_or(At {
        what: u64::from(lasting) / 10,
        place: lasts.place,
    });
    let renewed = within(faults, "lease / renew", renew, 100, 200_000);
    if u64::from(renewed) * 3 > u64::from(lasting) {
        let what = format!("{renewed}ms is over a third of the lease's {lasting}ms");
        faults.add(
            renew.place,
            "lease / renew",
            what,
            "renew more often, or let a lease last longer",
        );
    }
    if !(1..=1_000).contains(&drift.what.0) {
        let way_out = "0.01% to 10% are allowed; 2% is far above any clock that works";
        faults.add(
            drift.place,
            "lease / drift",
            format!("is {}", drift.what),
            way_out,
        );
    }
    LeaseTerms {
        lasts: f64::from(lasting),
        renew: f64::from(renewed),
        drift: drift.what.0.clamp(1, 1_000) as f64 / 10_000.0,
    }
}

/// Kinds and zones that nobody knows, and rules of one name.
fn names(faults: &mut Gathered, tree: &Tree, known: &Known) {
    for budget in &tree.budgets {
        kind_of(faults, &budget.scope, known);
    }
    for (at, rule) in tree.rules.iter().enumerate() {
        let key = format!("rule {}", rule.name.what);
        if tree.rules[..at].iter().any(|other| other.name == rule.name) {
            faults.add(
                rule.name.place,
                &key,
                "the name is told twice",
                "give each rule a name of its own",
            );
        }
        if let Some(scope) = &rule.scope {
            kind_of(faults, scope, known);
        }
        conditions(faults, &rule.when, &key, known);
    }
}

fn kind_of(faults: &mut Gathered, scope: &At<Scope>, known: &Known) {
    if let Scope::Each {
        of: Of::Kind(kind), ..
    } = &scope.what
    {
        let kind = At {
            what: kind.clone(),
            place: scope.place,
        };
        unknown(faults, &kind, &scope.what.to_string(), "kind", known.kinds);
    }
}

fn conditions(faults: &mut Gathered, when: &When, key: &str, known: &Known) {
    match when {
        When::Any(all) | When::All(all) => all
            .iter()
            .for_each(|one| conditions(faults, one, key, known)),
        When::Not(one) => conditions(faults, one, key, known),
        When::Zone(names) => names
            .iter()
            .for_each(|name| unknown(faults, name, key, "zone", known.zones)),
        When::Kind(names) => names
            .iter()
            .for_each(|name| unknown(faults, name, key, "kind", known.kinds)),
        When::Cold | When::Draining | When::Destination(_) => (),
    }
}

/// Tells a name that is none of those known.
pub(super) fn unknown(
    faults: &mut Gathered,
    name: &At<String>,
    key: &str,
    sort: &str,
    known: Option<&[String]>,
) {
    let Some(known) = known.filter(|known| !known.contains(&name.what)) else {
        return;
    };
    let way_out = match nearest(&name.what, known.iter().map(String::as_str)) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => format!("no {sort} is told"),
        None => format!("known are: {}", known.join(", ")),
    };
    faults.add(
        name.place,
        &format!("{key} / {sort} {}", name.what),
        format!("no such {sort}"),
        way_out,
    );
}
