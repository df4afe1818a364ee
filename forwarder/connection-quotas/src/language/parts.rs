//! Parts of the parse, each turned into its part of the tree. The grammar has let them through: what it asks
//! for is there.

use pest::iterators::Pair;

use super::grammar::Rule;
use super::tree::*;

type Part<'a> = Pair<'a, Rule>;

fn place(part: &Part) -> Place {
    let (line, column) = part.line_col();
    Place { line, column }
}

fn at<T>(part: &Part, what: T) -> At<T> {
    At {
        what,
        place: place(part),
    }
}

/// The first part inside that is no keyword.
fn inside(part: Part) -> Option<Part> {
    let word = |it| {
        matches!(
            it,
            Rule::whole | Rule::percent | Rule::span | Rule::name | Rule::yes | Rule::no
        )
    };
    part.into_inner().find(|inner| word(inner.as_rule()))
}

/// A number past what 64 bits hold is as much as they hold: the checks refuse it with its place.
fn number(text: &str) -> u64 {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    digits.parse().unwrap_or(u64::MAX)
}

pub fn whole_in(part: Part) -> At<u64> {
    let outer = at(&part, 0);
    inside(part).map_or(outer, |whole| at(&whole, number(whole.as_str())))
}

fn span_in(part: Part) -> At<u64> {
    let mut read = whole_in(part.clone());
    let seconds = !part.as_str().trim_end().ends_with("ms");
    read.what = read.what.saturating_mul(if seconds { 1_000 } else { 1 });
    read
}

fn percent_in(part: Part) -> At<Percent> {
    let outer = at(&part, Percent(0));
    inside(part).map_or(outer, |inner| at(&inner, percent(inner.as_str())))
}

/// Digits past the second behind the point are beyond what is kept.
fn percent(text: &str) -> Percent {
    let text = text.trim_end_matches('%');
    let (whole, rest) = text.split_once('.').unwrap_or((text, ""));
    let hundredths: String = rest.chars().chain("00".chars()).take(2).collect();
    Percent(
        number(whole)
            .saturating_mul(100)
            .saturating_add(number(&hundredths)),
    )
}

fn name(part: &Part) -> At<String> {
    At {
        what: part.as_str().trim_matches('"').to_owned(),
        place: place(part),
    }
}

fn names(part: Part) -> Vec<At<String>> {
    part.into_inner()
        .filter(|inner| inner.as_rule() == Rule::name)
        .map(|inner| name(&inner))
        .collect()
}

fn name_in(part: Part) -> At<String> {
    let outer = at(&part, String::new());
    names(part).into_iter().next().unwrap_or(outer)
}

pub fn lease(part: Part) -> At<Vec<LeaseKey>> {
    let place = place(&part);
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::lasts => Some(LeaseKey::Lasts(span_in(inner))),
        Rule::renew => Some(LeaseKey::Renew(span_in(inner))),
        Rule::drift => Some(LeaseKey::Drift(percent_in(inner))),
        _ => None,
    });
    At {
        what: keys.collect(),
        place,
    }
}

pub fn member(part: Part) -> MemberTree {
    let name = name_in(part.clone());
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::weight => Some(MemberKey::Weight(whole_in(inner))),
        Rule::floor => Some(MemberKey::Floor(whole_in(inner))),
        Rule::ceiling => Some(MemberKey::Ceiling(whole_in(inner))),
        Rule::lends => Some(MemberKey::Lends(lends(inner))),
        Rule::borrows => {
            let place = place(&inner);
            let says_yes = inside(inner).is_some_and(|word| word.as_rule() == Rule::yes);
            Some(MemberKey::Borrows(At {
                what: says_yes,
                place,
            }))
        }
        _ => None,
    });
    MemberTree {
        name,
        keys: keys.collect(),
    }
}

fn lends(part: Part) -> At<Lends> {
    let place = place(&part);
    let mut what = Lends::All;
    for inner in part.into_inner() {
        match inner.as_rule() {
            Rule::lend_none => what = Lends::Nothing,
            Rule::lend_to => what = Lends::To(names(inner)),
            _ => (),
        }
    }
    At { what, place }
}

pub fn budget(part: Part) -> BudgetTree {
    let outer = at(&part, Scope::Destination(0));
    let found = part
        .clone()
        .into_inner()
        .find(|inner| inner.as_rule() == Rule::scope);
    BudgetTree {
        scope: found.map_or(outer, scope),
        keys: budget_keys(part),
    }
}

fn budget_keys(part: Part) -> Vec<BudgetKey> {
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::connections => Some(BudgetKey::Connections(amount(inner))),
        Rule::reserve => Some(BudgetKey::Reserve(whole_in(inner))),
        Rule::standing => Some(BudgetKey::Standing(whole_in(inner))),
        Rule::over => Some(BudgetKey::Over(over(inner))),
        Rule::member => Some(BudgetKey::Member(member(inner))),
        _ => None,
    });
    keys.collect()
}

fn amount(part: Part) -> At<Amount> {
    let outer = at(&part, Amount::Whole(0));
    let Some(inner) = inside(part) else {
        return outer;
    };
    let what = match inner.as_rule() {
        Rule::percent => Amount::Part(percent(inner.as_str())),
        _ => Amount::Whole(number(inner.as_str())),
    };
    at(&inner, what)
}

fn over(part: Part) -> At<Over> {
    let place = place(&part);
    let ways = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::by_demand => Some(Over::ByDemand),
        Rule::by_zone => Some(Over::ByZone),
        _ => None,
    });
    At {
        what: ways.last().unwrap_or(Over::Evenly),
        place,
    }
}

fn scope(part: Part) -> At<Scope> {
    let place = place(&part);
    let mut what = Scope::Destination(0);
    for inner in part.into_inner() {
        what = match inner.as_rule() {
            Rule::one_target => Scope::Target(name_in(inner).what),
            Rule::one_destination => Scope::Destination(whole_in(inner).what),
            _ => each(inner),
        };
    }
    At { what, place }
}

fn each(part: Part) -> Scope {
    let (mut counted, mut of) = (Counted::Target, Of::All);
    for inner in part.into_inner() {
        match inner.as_rule() {
            Rule::counted_destination => counted = Counted::Destination,
            Rule::of_kind => of = Of::Kind(name_in(inner).what),
            Rule::of_destination => of = Of::Destination(whole_in(inner).what),
            _ => (),
        }
    }
    Scope::Each { counted, of }
}

pub fn rule(part: Part) -> RuleTree {
    let name = name_in(part.clone());
    let find = |asked| {
        part.clone()
            .into_inner()
            .find(|inner| inner.as_rule() == asked)
    };
    let when = find(Rule::either).map_or(When::All(Vec::new()), when);
    RuleTree {
        name,
        scope: find(Rule::scope).map(scope),
        when,
        keys: budget_keys(part),
    }
}

fn when(part: Part) -> When {
    let conditions = |part: Part| -> Vec<When> {
        let keyword = |it| matches!(it, Rule::k_or | Rule::k_and | Rule::k_not);
        part.into_inner()
            .filter(|inner| !keyword(inner.as_rule()))
            .map(when)
            .collect()
    };
    match part.as_rule() {
        Rule::either => flat(conditions(part), When::Any),
        Rule::both => flat(conditions(part), When::All),
        Rule::not => When::Not(Box::new(flat(conditions(part), When::All))),
        Rule::cold => When::Cold,
        Rule::draining => When::Draining,
        Rule::zone => When::Zone(names(part)),
        Rule::kind => When::Kind(names(part)),
        Rule::destination => When::Destination(whole_in(part).what),
        _ => flat(conditions(part), When::All),
    }
}

/// One condition is itself; several are joined.
fn flat(mut conditions: Vec<When>, join: fn(Vec<When>) -> When) -> When {
    match conditions.len() {
        1 => conditions.swap_remove(0),
        _ => join(conditions),
    }
}
