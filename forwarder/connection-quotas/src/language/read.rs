//! From text to tree: what the grammar lets through, without a look at what it means.

use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use pest::Parser;

use super::fault::{nearest, Fault, Faults};
use super::grammar::{named, Grammar, Rule};
use super::parts;
use super::tree::*;

/// A file that is longer is refused unread: pest's stack and the checks then have a bound.
pub const LONGEST: usize = 256 * 1024;
/// Brackets and `not` that may stand in each other. Each takes a few frames of the parser's stack.
pub const DEEPEST: usize = 64;

/// The tree of a text; `file` names it in faults.
pub fn read(file: &str, text: &str) -> Result<Tree, Faults> {
    let whole = |what: String, way_out: &str| {
        let place = Place { line: 1, column: 1 };
        let way_out = way_out.to_owned();
        Faults(vec![Fault {
            file: file.into(),
            place,
            key: "policy".into(),
            what,
            way_out,
        }])
    };
    if text.len() > LONGEST {
        return Err(whole(
            format!("is longer than {LONGEST} bytes"),
            "say it in fewer budgets and rules",
        ));
    }
    if deepest(text) > DEEPEST {
        return Err(whole(
            format!("more than {DEEPEST} `not` or `(` in one condition"),
            "write a flatter one",
        ));
    }
    let mut parsed =
        Grammar::parse(Rule::file, text).map_err(|e| Faults(vec![not_grammar(file, text, e)]))?;
    let parts = parsed.next().into_iter().flat_map(Pair::into_inner);
    let (language, edition) = (At::from(0), At::from(0));
    let mut tree = Tree {
        language,
        edition,
        lease: vec![],
        members: vec![],
        budgets: vec![],
        rules: vec![],
    };
    for part in parts {
        match part.as_rule() {
            Rule::language => tree.language = parts::whole_in(part),
            Rule::edition => tree.edition = parts::whole_in(part),
            Rule::lease => tree.lease.push(parts::lease(part)),
            Rule::member => tree.members.push(parts::member(part)),
            Rule::budget => tree.budgets.push(parts::budget(part)),
            Rule::rule => tree.rules.push(parts::rule(part)),
            _ => (),
        }
    }
    Ok(tree)
}

/// A bound from above on how deep conditions nest. Both words count until a brace or a quote resets them.
fn deepest(text: &str) -> usize {
    let (mut depth, mut most) = (0, 0);
    for word in text.split_inclusive(|c: char| !c.is_ascii_alphanumeric()) {
        depth += usize::from(word.trim_end() == "not") + word.matches('(').count();
        most = most.max(depth);
        if word.contains(['{', '}']) {
            depth = 0;
        }
    }
    most
}

fn not_grammar(file: &str, text: &str, error: pest::error::Error<Rule>) -> Fault {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(place) | LineColLocation::Span(place, _) => place,
    };
    let here = text.lines().nth(line - 1).map_or("", |line| {
        line.char_indices()
            .nth(column - 1)
            .map_or("", |(at, _)| &line[at..])
    });
    let ends = here
        .find(|c: char| !c.is_ascii_alphanumeric() && !"_-%".contains(c))
        .unwrap_or(here.len());
    let found = match (&here[..ends], here.chars().next()) {
        ("", None) if text.lines().count() <= line => "end of the file".to_owned(),
        ("", None) => "end of the line".to_owned(),
        ("", Some(other)) => other.to_string(),
        (word, _) => word.to_owned(),
    };
    let mut expected: Vec<&str> = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            positives.iter().map(|asked| named(*asked)).collect()
        }
        ErrorVariant::CustomError { .. } => Vec::new(),
    };
    expected.sort_unstable();
    expected.dedup();
    let meant = nearest(&found, expected.iter().copied());
    let way_out = match (meant, expected.is_empty()) {
        (Some(meant), _) => format!("did you mean `{meant}`?"),
        (None, true) => "see the reference in docs/pools.md".into(),
        (None, false) => format!("here may stand: {}", expected.join(", ")),
    };
    let place = Place { line, column };
    Fault {
        file: file.into(),
        place,
        key: found,
        what: "cannot stand here".into(),
        way_out,
    }
}
