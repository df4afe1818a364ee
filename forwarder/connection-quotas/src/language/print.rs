//! A tree as text again, which reads into the same tree.

use std::fmt::{self, Display, Formatter};

use super::tree::*;

impl Display for Tree {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "language {}\nedition {}",
            self.language.what, self.edition.what
        )?;
        for lease in &self.lease {
            writeln!(f, "\nlease {{")?;
            for key in &lease.what {
                match key {
                    LeaseKey::Lasts(ms) => writeln!(f, "  lasts {}ms", ms.what)?,
                    LeaseKey::Renew(ms) => writeln!(f, "  renew {}ms", ms.what)?,
                    LeaseKey::Drift(percent) => writeln!(f, "  drift {}", percent.what)?,
                }
            }
            writeln!(f, "}}")?;
        }
        for member in &self.members {
            writeln!(f)?;
            print_member(f, member, "")?;
        }
        for budget in &self.budgets {
            writeln!(f, "\nbudget {} {{", budget.scope.what)?;
            print_keys(f, &budget.keys)?;
            writeln!(f, "}}")?;
        }
        for rule in &self.rules {
            write!(f, "\nrule \"{}\"", rule.name.what)?;
            if let Some(scope) = &rule.scope {
                write!(f, " for {}", scope.what)?;
            }
            writeln!(f, " when {} {{", rule.when)?;
            print_keys(f, &rule.keys)?;
            writeln!(f, "}}")?;
        }
        Ok(())
    }
}

fn print_keys(f: &mut Formatter<'_>, keys: &[BudgetKey]) -> fmt::Result {
    for key in keys {
        match key {
            BudgetKey::Connections(At {
                what: Amount::Whole(n),
                ..
            }) => writeln!(f, "  connections {n}")?,
            BudgetKey::Connections(At {
                what: Amount::Part(p),
                ..
            }) => writeln!(f, "  connections {p}")?,
            BudgetKey::Reserve(n) => writeln!(f, "  reserve {}", n.what)?,
            BudgetKey::Standing(n) => writeln!(f, "  standing {}", n.what)?,
            BudgetKey::Over(At {
                what: Over::Evenly, ..
            }) => writeln!(f, "  over forwarders evenly")?,
            BudgetKey::Over(At {
                what: Over::ByDemand,
                ..
            }) => writeln!(f, "  over forwarders by demand")?,
            BudgetKey::Over(At {
                what: Over::ByZone, ..
            }) => writeln!(f, "  over forwarders by zone")?,
            BudgetKey::Member(member) => print_member(f, member, "  ")?,
        }
    }
    Ok(())
}

fn print_member(f: &mut Formatter<'_>, member: &MemberTree, indent: &str) -> fmt::Result {
    writeln!(f, "{indent}member \"{}\" {{", member.name.what)?;
    for key in &member.keys {
        match key {
            MemberKey::Weight(n) => writeln!(f, "{indent}  weight {}", n.what)?,
            MemberKey::Floor(n) => writeln!(f, "{indent}  floor {}", n.what)?,
            MemberKey::Ceiling(n) => writeln!(f, "{indent}  ceiling {}", n.what)?,
            MemberKey::Lends(At {
                what: Lends::All, ..
            }) => writeln!(f, "{indent}  lends all")?,
            MemberKey::Lends(At {
                what: Lends::Nothing,
                ..
            }) => writeln!(f, "{indent}  lends nothing")?,
            MemberKey::Lends(At {
                what: Lends::To(names),
                ..
            }) => {
                writeln!(f, "{indent}  lends to {}", listed(names))?;
            }
            MemberKey::Borrows(At { what, .. }) => {
                writeln!(f, "{indent}  borrows {}", if *what { "yes" } else { "no" })?;
            }
        }
    }
    writeln!(f, "{indent}}}")
}

fn listed(names: &[At<String>]) -> String {
    names
        .iter()
        .map(|name| format!("\"{}\"", name.what))
        .collect::<Vec<_>>()
        .join(", ")
}

impl Display for When {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let joined = |f: &mut Formatter<'_>, conditions: &[When], word: &str| -> fmt::Result {
            for (at, condition) in conditions.iter().enumerate() {
                write!(f, "{}({condition})", if at > 0 { word } else { "" })?;
            }
            Ok(())
        };
        match self {
            When::Any(conditions) => joined(f, conditions, " or "),
            When::All(conditions) => joined(f, conditions, " and "),
            When::Not(condition) => write!(f, "not ({condition})"),
            When::Cold => f.write_str("cold"),
            When::Draining => f.write_str("draining"),
            When::Zone(names) => write!(f, "zone in ({})", listed(names)),
            When::Kind(names) => write!(f, "kind in ({})", listed(names)),
            When::Destination(number) => write!(f, "destination is {number}"),
        }
    }
}
