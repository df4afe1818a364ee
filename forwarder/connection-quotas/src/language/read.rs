//! From text to tree: what the grammar accepts, without a look at its meaning.

use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use pest::Parser;

use super::diagnostic::{nearest, Diagnostic, PolicyErrors};
use super::grammar::{describe, Grammar, Rule};
use super::parse_parts;
use super::tree::{Located, Position, Tree};

/// A longer text is refused unread: pest's stack and the checks then have a bound.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Brackets and `not` that may stand in each other. Each takes a few frames of the parser's stack.
pub const MAX_NESTING: usize = 64;

/// The tree of a text; `file` names the text in errors.
///
/// # Errors
/// The text is too long, nested too deep, or not what the grammar accepts: one error, the first.
pub fn read(file: &str, text: &str) -> Result<Tree, PolicyErrors> {
    if text.len() > MAX_TEXT_BYTES {
        let problem = format!("is longer than {MAX_TEXT_BYTES} bytes");
        return Err(whole_text(
            file,
            problem,
            "say it in fewer budgets and rules",
        ));
    }
    if nesting(text) > MAX_NESTING {
        let problem = format!("more than {MAX_NESTING} `not` or `(` in one condition");
        return Err(whole_text(file, problem, "write a flatter one"));
    }
    let mut parsed = Grammar::parse(Rule::file, text)
        .map_err(|error| PolicyErrors(vec![not_accepted(file, text, &error)]))?;
    let mut tree = Tree {
        language: Located::from(0),
        edition: Located::from(0),
        lease: vec![],
        members: vec![],
        budgets: vec![],
        rules: vec![],
    };
    for part in parsed.next().into_iter().flat_map(Pair::into_inner) {
        match part.as_rule() {
            Rule::language => tree.language = parse_parts::whole_number(part),
            Rule::edition => tree.edition = parse_parts::whole_number(part),
            Rule::lease => tree.lease.push(parse_parts::lease(part)),
            Rule::member => tree.members.push(parse_parts::member(part)),
            Rule::budget => tree.budgets.push(parse_parts::budget(part)),
            Rule::rule => tree.rules.push(parse_parts::rule(part)),
            _ => {}
        }
    }
    Ok(tree)
}

fn whole_text(file: &str, problem: String, way_out: &str) -> PolicyErrors {
    PolicyErrors(vec![Diagnostic {
        file: file.into(),
        position: Position { line: 1, column: 1 },
        key: "policy".into(),
        problem,
        way_out: way_out.to_owned(),
    }])
}

/// An upper bound of how deep conditions nest: brackets and `not` count until a brace.
fn nesting(text: &str) -> usize {
    let mut depth = 0;
    let mut deepest = 0;
    for word in text.split_inclusive(|c: char| !c.is_ascii_alphanumeric()) {
        depth += usize::from(word.trim_end() == "not") + word.matches('(').count();
        deepest = deepest.max(depth);
        if word.contains(['{', '}']) {
            depth = 0;
        }
    }
    deepest
}

fn not_accepted(file: &str, text: &str, error: &pest::error::Error<Rule>) -> Diagnostic {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(position) | LineColLocation::Span(position, _) => position,
    };
    let found = word_at(text, line, column);
    let mut expected: Vec<&str> = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => positives
            .iter()
            .map(|expected| describe(*expected))
            .collect(),
        ErrorVariant::CustomError { .. } => Vec::new(),
    };
    expected.sort_unstable();
    expected.dedup();
    let way_out = match nearest(&found, expected.iter().copied()) {
        Some(meant) => format!("did you mean `{meant}`?"),
        None if expected.is_empty() => "see the reference in docs/pools.md".into(),
        None => format!("here may stand: {}", expected.join(", ")),
    };
    Diagnostic {
        file: file.into(),
        position: Position { line, column },
        key: found,
        problem: "cannot stand here".into(),
        way_out,
    }
}

/// The word or sign at a position, or which end is there.
fn word_at(text: &str, line: usize, column: usize) -> String {
    let line_text = text.lines().nth(line - 1).unwrap_or("");
    let start = line_text
        .char_indices()
        .nth(column - 1)
        .map_or(line_text.len(), |(at, _)| at);
    let rest = &line_text[start..];
    let end = rest
        .find(|c: char| !c.is_ascii_alphanumeric() && !"_-%".contains(c))
        .unwrap_or(rest.len());
    match (&rest[..end], rest.chars().next()) {
        ("", None) if text.lines().count() <= line => "end of the file".to_owned(),
        ("", None) => "end of the line".to_owned(),
        ("", Some(sign)) => sign.to_string(),
        (word, _) => word.to_owned(),
    }
}
