//! Conversion of parsed pairs into parts of the tree. The grammar has accepted the pairs, so their required inner pairs
//! are present.

use pest::iterators::Pair;

use super::grammar::Rule;
use super::tree::{
    Amount, BudgetKey, BudgetTree, Condition, CountedAt, LeaseKey, Lends, Located, MemberKey,
    MemberTree, Over, Percent, Position, RuleTree, Scope, Selection,
};

type Part<'a> = Pair<'a, Rule>;

fn position(part: &Part) -> Position {
    let (line, column) = part.line_col();
    Position { line, column }
}

fn located<T>(part: &Part, value: T) -> Located<T> {
    Located {
        value,
        position: position(part),
    }
}

/// The first inner pair that is a value.
fn first_value(part: Part) -> Option<Part> {
    part.into_inner().find(|inner| {
        matches!(
            inner.as_rule(),
            Rule::whole | Rule::percent | Rule::span | Rule::name | Rule::yes | Rule::no
        )
    })
}

/// Parses a number. One that does not fit in 64 bits saturates, and the checks then refuse it at its position.
fn number(text: &str) -> u64 {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    digits.parse().unwrap_or(u64::MAX)
}

pub(super) fn whole_number(part: Part) -> Located<u64> {
    let default = located(&part, 0);
    match first_value(part) {
        Some(whole) => located(&whole, number(whole.as_str())),
        None => default,
    }
}

/// A time span, in milliseconds.
fn span(part: Part) -> Located<u64> {
    let is_in_ms = part.as_str().trim_end().ends_with("ms");
    let mut span = whole_number(part);
    span.value = span.value.saturating_mul(if is_in_ms { 1 } else { 1_000 });
    span
}

fn percent_value(part: Part) -> Located<Percent> {
    let default = located(&part, Percent(0));
    match first_value(part) {
        Some(inner) => located(&inner, percent(inner.as_str())),
        None => default,
    }
}

/// Parses a percentage. Digits after the second decimal place are ignored.
fn percent(text: &str) -> Percent {
    let text = text.trim_end_matches('%');
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let hundredths: String = fraction.chars().chain("00".chars()).take(2).collect();
    Percent(
        number(whole)
            .saturating_mul(100)
            .saturating_add(number(&hundredths)),
    )
}

fn names(part: Part) -> Vec<Located<String>> {
    let names = part
        .into_inner()
        .filter(|inner| inner.as_rule() == Rule::name);
    names
        .map(|name| located(&name, name.as_str().trim_matches('"').to_owned()))
        .collect()
}

fn first_name(part: Part) -> Located<String> {
    let default = located(&part, String::new());
    names(part).into_iter().next().unwrap_or(default)
}

pub(super) fn lease(part: Part) -> Located<Vec<LeaseKey>> {
    let position = position(&part);
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::lasts => Some(LeaseKey::Lasts(span(inner))),
        Rule::renew => Some(LeaseKey::Renew(span(inner))),
        Rule::drift => Some(LeaseKey::Drift(percent_value(inner))),
        _ => None,
    });
    Located {
        value: keys.collect(),
        position,
    }
}

pub(super) fn member(part: Part) -> MemberTree {
    let name = first_name(part.clone());
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::weight => Some(MemberKey::Weight(whole_number(inner))),
        Rule::floor => Some(MemberKey::Floor(whole_number(inner))),
        Rule::ceiling => Some(MemberKey::Ceiling(whole_number(inner))),
        Rule::lends => Some(MemberKey::Lends(lends(inner))),
        Rule::borrows => Some(MemberKey::Borrows(borrows(inner))),
        _ => None,
    });
    MemberTree {
        name,
        keys: keys.collect(),
    }
}

fn borrows(part: Part) -> Located<bool> {
    let position = position(&part);
    let value = first_value(part).is_some_and(|word| word.as_rule() == Rule::yes);
    Located { value, position }
}

fn lends(part: Part) -> Located<Lends> {
    let position = position(&part);
    let mut value = Lends::All;
    for inner in part.into_inner() {
        match inner.as_rule() {
            Rule::lend_none => value = Lends::Nothing,
            Rule::lend_to => value = Lends::To(names(inner)),
            _ => {}
        }
    }
    Located { value, position }
}

pub(super) fn budget(part: Part) -> BudgetTree {
    let default = located(&part, Scope::Destination(0));
    let found = part
        .clone()
        .into_inner()
        .find(|inner| inner.as_rule() == Rule::scope);
    BudgetTree {
        scope: found.map_or(default, scope),
        keys: budget_keys(part),
    }
}

fn budget_keys(part: Part) -> Vec<BudgetKey> {
    let keys = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::connections => Some(BudgetKey::Connections(amount(inner))),
        Rule::reserve => Some(BudgetKey::Reserve(whole_number(inner))),
        Rule::standing => Some(BudgetKey::Standing(whole_number(inner))),
        Rule::over => Some(BudgetKey::Over(over(inner))),
        Rule::member => Some(BudgetKey::Member(member(inner))),
        _ => None,
    });
    keys.collect()
}

fn amount(part: Part) -> Located<Amount> {
    let default = located(&part, Amount::Count(0));
    let Some(inner) = first_value(part) else {
        return default;
    };
    let value = match inner.as_rule() {
        Rule::percent => Amount::Percent(percent(inner.as_str())),
        _ => Amount::Count(number(inner.as_str())),
    };
    located(&inner, value)
}

fn over(part: Part) -> Located<Over> {
    let position = position(&part);
    let modes = part.into_inner().filter_map(|inner| match inner.as_rule() {
        Rule::by_demand => Some(Over::ByDemand),
        Rule::by_zone => Some(Over::ByZone),
        _ => None,
    });
    Located {
        value: modes.last().unwrap_or(Over::Evenly),
        position,
    }
}

fn scope(part: Part) -> Located<Scope> {
    let position = position(&part);
    let mut value = Scope::Destination(0);
    for inner in part.into_inner() {
        value = match inner.as_rule() {
            Rule::one_target => Scope::Target(first_name(inner).value),
            Rule::one_destination => Scope::Destination(whole_number(inner).value),
            _ => each(inner),
        };
    }
    Located { value, position }
}

fn each(part: Part) -> Scope {
    let mut counted = CountedAt::Target;
    let mut of = Selection::All;
    for inner in part.into_inner() {
        match inner.as_rule() {
            Rule::counted_destination => counted = CountedAt::Destination,
            Rule::of_kind => of = Selection::Kind(first_name(inner).value),
            Rule::of_destination => of = Selection::Destination(whole_number(inner).value),
            _ => {}
        }
    }
    Scope::Each { counted, of }
}

pub(super) fn rule(part: Part) -> RuleTree {
    let find = |wanted| {
        part.clone()
            .into_inner()
            .find(|inner| inner.as_rule() == wanted)
    };
    let when = match find(Rule::either) {
        Some(either) => condition(either),
        None => Condition::All(Vec::new()),
    };
    let scope = find(Rule::scope).map(scope);
    RuleTree {
        name: first_name(part.clone()),
        scope,
        when,
        keys: budget_keys(part),
    }
}

fn condition(part: Part) -> Condition {
    match part.as_rule() {
        Rule::either => join(conditions(part), Condition::Any),
        Rule::both => join(conditions(part), Condition::All),
        Rule::not => Condition::Not(Box::new(join(conditions(part), Condition::All))),
        Rule::cold => Condition::WarmingUp,
        Rule::draining => Condition::Draining,
        Rule::zone => Condition::Zone(names(part)),
        Rule::kind => Condition::Kind(names(part)),
        Rule::destination => Condition::Destination(whole_number(part).value),
        _ => join(conditions(part), Condition::All),
    }
}

fn conditions(part: Part) -> Vec<Condition> {
    let is_keyword = |word| matches!(word, Rule::k_or | Rule::k_and | Rule::k_not);
    part.into_inner()
        .filter(|inner| !is_keyword(inner.as_rule()))
        .map(condition)
        .collect()
}

/// A single condition is returned as it is; several are combined by `join`.
fn join(mut conditions: Vec<Condition>, join: fn(Vec<Condition>) -> Condition) -> Condition {
    match conditions.len() {
        1 => conditions.swap_remove(0),
        _ => join(conditions),
    }
}
