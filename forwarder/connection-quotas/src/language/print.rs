//! Prints a tree as text that parses into the same tree.

use std::fmt::{self, Display, Formatter};

use super::tree::{
    Amount, BudgetKey, Condition, LeaseKey, Lends, Located, MemberKey, MemberTree, Over, Tree,
};

impl Display for Tree {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "language {}\nedition {}",
            self.language.value, self.edition.value
        )?;
        for lease in &self.lease {
            writeln!(f, "\nlease {{")?;
            for key in &lease.value {
                write_lease_key(f, key)?;
            }
            writeln!(f, "}}")?;
        }
        for member in &self.members {
            writeln!(f)?;
            write_member(f, member, "")?;
        }
        for budget in &self.budgets {
            writeln!(f, "\nbudget {} {{", budget.scope.value)?;
            write_budget_keys(f, &budget.keys)?;
            writeln!(f, "}}")?;
        }
        for rule in &self.rules {
            write!(f, "\nrule \"{}\"", rule.name.value)?;
            if let Some(scope) = &rule.scope {
                write!(f, " for {}", scope.value)?;
            }
            writeln!(f, " when {} {{", rule.when)?;
            write_budget_keys(f, &rule.keys)?;
            writeln!(f, "}}")?;
        }
        Ok(())
    }
}

fn write_lease_key(f: &mut Formatter<'_>, key: &LeaseKey) -> fmt::Result {
    match key {
        LeaseKey::Lasts(ms) => writeln!(f, "  lasts {}ms", ms.value),
        LeaseKey::Renew(ms) => writeln!(f, "  renew {}ms", ms.value),
        LeaseKey::Drift(percent) => writeln!(f, "  drift {}", percent.value),
    }
}

fn write_budget_keys(f: &mut Formatter<'_>, keys: &[BudgetKey]) -> fmt::Result {
    for key in keys {
        match key {
            BudgetKey::Connections(amount) => match amount.value {
                Amount::Count(number) => writeln!(f, "  connections {number}")?,
                Amount::Percent(percent) => writeln!(f, "  connections {percent}")?,
            },
            BudgetKey::Reserve(number) => writeln!(f, "  reserve {}", number.value)?,
            BudgetKey::Standing(number) => writeln!(f, "  standing {}", number.value)?,
            BudgetKey::Over(over) => match over.value {
                Over::Evenly => writeln!(f, "  over forwarders evenly")?,
                Over::ByDemand => writeln!(f, "  over forwarders by demand")?,
                Over::ByZone => writeln!(f, "  over forwarders by zone")?,
            },
            BudgetKey::Member(member) => write_member(f, member, "  ")?,
        }
    }
    Ok(())
}

fn write_member(f: &mut Formatter<'_>, member: &MemberTree, indent: &str) -> fmt::Result {
    writeln!(f, "{indent}member \"{}\" {{", member.name.value)?;
    for key in &member.keys {
        write!(f, "{indent}  ")?;
        match key {
            MemberKey::Weight(number) => writeln!(f, "weight {}", number.value)?,
            MemberKey::Floor(number) => writeln!(f, "floor {}", number.value)?,
            MemberKey::Ceiling(number) => writeln!(f, "ceiling {}", number.value)?,
            MemberKey::Lends(lends) => match &lends.value {
                Lends::All => writeln!(f, "lends all")?,
                Lends::Nothing => writeln!(f, "lends nothing")?,
                Lends::To(names) => writeln!(f, "lends to {}", quoted_list(names))?,
            },
            MemberKey::Borrows(borrows) => {
                writeln!(f, "borrows {}", if borrows.value { "yes" } else { "no" })?;
            }
        }
    }
    writeln!(f, "{indent}}}")
}

fn quoted_list(names: &[Located<String>]) -> String {
    let quoted: Vec<String> = names
        .iter()
        .map(|name| format!("\"{}\"", name.value))
        .collect();
    quoted.join(", ")
}

impl Display for Condition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Condition::Any(conditions) => write_joined(f, conditions, " or "),
            Condition::All(conditions) => write_joined(f, conditions, " and "),
            Condition::Not(condition) => write!(f, "not ({condition})"),
            Condition::WarmingUp => f.write_str("cold"),
            Condition::Draining => f.write_str("draining"),
            Condition::Zone(names) => write!(f, "zone in ({})", quoted_list(names)),
            Condition::Kind(names) => write!(f, "kind in ({})", quoted_list(names)),
            Condition::Destination(number) => write!(f, "destination is {number}"),
        }
    }
}

fn write_joined(f: &mut Formatter<'_>, conditions: &[Condition], operator: &str) -> fmt::Result {
    for (at, condition) in conditions.iter().enumerate() {
        let separator = if at > 0 { operator } else { "" };
        write!(f, "{separator}({condition})")?;
    }
    Ok(())
}
