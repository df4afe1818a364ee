//! Parses a text into a tree. Only the syntax is checked here.

use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use pest::Parser;

use super::diagnostic::{nearest, Diagnostic, PolicyErrors};
use super::grammar::{describe, Grammar, Rule};
use super::parse_parts;
use super::tree::{Located, Position, Tree};

/// Maximum size of a text. A longer one is refused before it is parsed, which bounds pest's stack and the checks.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Maximum nesting of parentheses and `not` in a condition. Each level takes a few frames of the parser's stack.
pub const MAX_NESTING: usize = 64;

/// Parses a text into a tree. `file` names the text in errors.
///
/// # Errors
/// The text is too long, nested too deeply, or not accepted by the grammar. Only the first error is reported.
pub fn read(file: &str, text: &str) -> Result<Tree, PolicyErrors> {
    if text.len() > MAX_TEXT_BYTES {
        let problem = format!("is longer than {MAX_TEXT_BYTES} bytes");
        return Err(text_error(file, problem, "use fewer budgets and rules"));
    }
    if nesting_depth(text) > MAX_NESTING {
        let problem = format!("more than {MAX_NESTING} `not` or `(` in one condition");
        return Err(text_error(file, problem, "reduce the nesting"));
    }
    let mut parsed = Grammar::parse(Rule::file, text)
        .map_err(|error| PolicyErrors(vec![syntax_error(file, text, &error)]))?;
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

fn text_error(file: &str, problem: String, suggestion: &str) -> PolicyErrors {
    PolicyErrors(vec![Diagnostic {
        file: file.into(),
        position: Position { line: 1, column: 1 },
        key: "policy".into(),
        problem,
        suggestion: suggestion.to_owned(),
    }])
}

/// An upper bound of the nesting depth of conditions: all `(` and `not` since the last brace.
fn nesting_depth(text: &str) -> usize {
    let mut depth = 0;
    let mut max_depth = 0;
    for word in text.split_inclusive(|c: char| !c.is_ascii_alphanumeric()) {
        depth += usize::from(word.trim_end() == "not") + word.matches('(').count();
        max_depth = max_depth.max(depth);
        if word.contains(['{', '}']) {
            depth = 0;
        }
    }
    max_depth
}

fn syntax_error(file: &str, text: &str, error: &pest::error::Error<Rule>) -> Diagnostic {
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
    let suggestion = match nearest(&found, expected.iter().copied()) {
        Some(similar) => format!("did you mean `{similar}`?"),
        None if expected.is_empty() => "see the reference in docs/pools.md".into(),
        None => format!("expected: {}", expected.join(", ")),
    };
    Diagnostic {
        file: file.into(),
        position: Position { line, column },
        key: found,
        problem: "cannot stand here".into(),
        suggestion,
    }
}

/// The word or character at a position, or the end of the line or file.
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
        ("", Some(character)) => character.to_string(),
        (word, _) => word.to_owned(),
    }
}
