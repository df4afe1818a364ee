//! The parser that pest generates from `grammar.pest`, and descriptions of its rules for error messages.

#[derive(pest_derive::Parser)]
#[grammar = "language/grammar.pest"]
pub(super) struct Grammar;

/// The description of a grammar rule in error messages: a keyword, or the kind of value.
pub(super) fn describe(expected: Rule) -> &'static str {
    match expected {
        Rule::whole | Rule::language => "a whole number",
        Rule::percent => "a percentage as `2.5%`",
        Rule::span => "a time as `10s` or `500ms`",
        Rule::name | Rule::bare | Rule::quoted | Rule::inner => "a name",
        Rule::EOI => "the end of the file",
        Rule::lend_all => "all",
        Rule::lend_none => "nothing",
        Rule::yes => "yes",
        Rule::no => "no",
        Rule::evenly => "evenly",
        Rule::cold => "cold",
        Rule::draining => "draining",
        Rule::k_language => "language",
        Rule::k_edition | Rule::edition => "edition",
        Rule::k_lease | Rule::lease => "lease",
        Rule::k_lasts | Rule::lasts => "lasts",
        Rule::k_renew | Rule::renew => "renew",
        Rule::k_drift | Rule::drift => "drift",
        Rule::k_member | Rule::member => "member",
        Rule::k_weight | Rule::weight => "weight",
        Rule::k_floor | Rule::floor => "floor",
        Rule::k_ceiling | Rule::ceiling => "ceiling",
        Rule::k_lends | Rule::lends => "lends",
        Rule::k_to | Rule::lend_to => "to",
        Rule::k_borrows | Rule::borrows => "borrows",
        Rule::k_budget | Rule::budget => "budget",
        Rule::k_connections | Rule::connections => "connections",
        Rule::k_reserve | Rule::reserve => "reserve",
        Rule::k_standing | Rule::standing => "standing",
        Rule::k_over | Rule::over => "over",
        Rule::k_forwarders => "forwarders",
        Rule::k_by | Rule::by_demand | Rule::by_zone => "by",
        Rule::k_demand => "demand",
        Rule::k_zone | Rule::zone => "zone",
        Rule::k_kind | Rule::kind | Rule::of_kind => "kind",
        Rule::k_target | Rule::one_target | Rule::counted_target => "target",
        Rule::k_destination | Rule::destination | Rule::one_destination | Rule::of_destination => {
            "destination"
        }
        Rule::counted_destination => "destination",
        Rule::k_each | Rule::each => "each",
        Rule::scope => "each, target or destination",
        Rule::k_of => "of",
        Rule::k_rule | Rule::rule => "rule",
        Rule::k_for => "for",
        Rule::k_when => "when",
        Rule::k_or => "or",
        Rule::k_and => "and",
        Rule::k_not | Rule::not => "not",
        Rule::k_in => "in",
        Rule::k_is => "is",
        _ => "a condition",
    }
}
