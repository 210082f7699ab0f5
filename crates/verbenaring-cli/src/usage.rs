//! Usage of members and the check of its statements.

use std::collections::BTreeMap;
use std::io::Write;

use serde::Serialize;
use verbenaring_policy::id::MemberId;
use verbenaring_policy::usage::{ChainVerifier, UsageCounters};
use verbenaring_protocol::operator::{ContractReport, UsageReport};

use crate::console::OutputConsole;
use crate::error::{Error, Result};
use crate::table::{or_dash, text_table};

/// JSON value of the command `report`.
#[derive(Serialize)]
pub struct WholeReport<'a> {
    /// Counters of the node.
    #[serde(flatten)]
    pub report: &'a ContractReport,
    /// Usage in the data centre of the node.
    pub usage: &'a UsageReport,
}

/// Shows usage by customer, and share and consumption by member.
pub fn show_usage<W: Write>(usage: &UsageReport, console: &mut OutputConsole<W>) -> Result<()> {
    console.say(format!("\nData centre {}, kept epochs", usage.centre.name))?;
    let rows = usage.customers.iter().map(|line| {
        [
            line.member.to_string(),
            line.customer.to_string(),
            line.usage.requests.to_string(),
            line.usage.prompt_tokens.to_string(),
            line.usage.answer_tokens.to_string(),
        ]
    });
    let titles = ["MEMBER", "CUSTOMER", "REQUESTS", "PROMPT", "ANSWER"];
    console.say(text_table(titles, rows))?;

    let totals = member_totals(usage);
    let tokens: u64 = totals.values().map(UsageCounters::tokens).sum();
    let shares: u32 = usage.shares.iter().map(|member| member.share).sum();
    let rows = totals.iter().map(|(member, total)| {
        let share = usage.shares.iter().find(|share| share.member == *member);
        let share = share.map(|share| percent(share.share.into(), shares.into()));
        [
            member.to_string(),
            or_dash(share),
            percent(total.tokens(), tokens),
            total.requests.to_string(),
            total.tokens().to_string(),
        ]
    });
    let titles = ["MEMBER", "SHARE", "CONSUMED", "REQUESTS", "TOKENS"];
    console.say(format!("\nAll {} statements", usage.statements.len()))?;
    console.say(text_table(titles, rows))?;
    match usage.statements.last() {
        Some(last) => console.say(format!("Newest digest {}", last.digest)),
        None => Ok(()),
    }
}

/// Checks that the statements are an unchanged chain that contains `head`.
pub fn check_statements(usage: &UsageReport, head: Option<&str>) -> Result<()> {
    if let Some(fault) = &usage.store_fault {
        let text = format!("the usage statements cannot be read: {fault}");
        return Err(Error::Failed(text));
    }
    let mut check = ChainVerifier::new(usage.centre.clone());
    let start = check.head();
    for statement in &usage.statements {
        check
            .append(statement)
            .map_err(|fault| Error::Failed(fault.to_string()))?;
        let lines = usage.lines.get(&statement.epoch).into_iter().flatten();
        for (member, lines) in lines {
            if !statement.matches_lines(member, lines) {
                return Err(Error::Failed(format!(
                    "statement of epoch {} was not made from the lines of {member}",
                    statement.epoch
                )));
            }
        }
    }
    let digests = usage.statements.iter().map(|statement| statement.digest);
    let mut digests = digests.chain([start]);
    match head {
        Some(head) if !digests.any(|digest| digest.to_string() == head) => Err(Error::Failed(
            format!("no usage statement has the digest {head}"),
        )),
        _ => Ok(()),
    }
}

/// Totals per member over all statements.
pub fn member_totals(usage: &UsageReport) -> BTreeMap<MemberId, UsageCounters> {
    let mut totals: BTreeMap<MemberId, UsageCounters> = BTreeMap::new();
    for (member, stated) in usage.statements.iter().flat_map(|made| &made.members) {
        let total = totals.entry(member.clone()).or_default();
        *total = total.plus(&stated.total);
    }
    totals
}

fn percent(part: u64, whole: u64) -> String {
    let ratio = part as f64 / whole.max(1) as f64;
    format!("{:.1}%", ratio * 100.0)
}
