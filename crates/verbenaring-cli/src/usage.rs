//! Usage of the members, and the check of the usage statements that account for it.

use std::collections::BTreeMap;
use std::io::Write;

use serde::Serialize;
use verbenaring_policy::id::MemberId;
use verbenaring_policy::usage::{ChainVerifier, UsageCounters};
use verbenaring_protocol::operator::{ContractReport, UsageReport};

use crate::console::OutputConsole;
use crate::error::{Error, Result};
use crate::table::{or_dash, text_table};

/// Counters and usage that the command `report` writes as one JSON object.
#[derive(Serialize)]
pub struct CombinedReport<'a> {
    /// Counters of each contract at the node; its fields are part of the object.
    #[serde(flatten)]
    pub report: &'a ContractReport,
    /// Usage and usage statements of the data centre of the node.
    pub usage: &'a UsageReport,
}

/// Shows the usage of each customer in the kept epochs, and the configured share and
/// the consumption of each member over all statements.
pub fn show_usage<W: Write>(usage: &UsageReport, console: &mut OutputConsole<W>) -> Result<()> {
    console.print(format!("\nData centre {}, kept epochs", usage.centre.name))?;
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
    console.print(text_table(titles, rows))?;

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
    console.print(format!("\nAll {} statements", usage.statements.len()))?;
    console.print(text_table(titles, rows))?;
    match usage.statements.last() {
        Some(last) => console.print(format!("Newest digest {}", last.digest)),
        None => Ok(()),
    }
}

/// Checks that the statements form an unchanged hash chain, that they match the
/// customers' lines known to the node, and that one has the digest `head`, if given.
/// The start of the chain also counts as a digest of it.
pub fn check_statements(usage: &UsageReport, head: Option<&str>) -> Result<()> {
    if let Some(fault) = &usage.store_fault {
        let text = format!("the usage statements cannot be read: {fault}");
        return Err(Error::Failed(text));
    }
    let mut verifier = ChainVerifier::new(usage.centre.clone());
    let start = verifier.head();
    for statement in &usage.statements {
        verifier
            .append(statement)
            .map_err(|error| Error::Failed(error.to_string()))?;
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

/// Total usage of each member over all statements.
pub fn member_totals(usage: &UsageReport) -> BTreeMap<MemberId, UsageCounters> {
    let mut totals: BTreeMap<MemberId, UsageCounters> = BTreeMap::new();
    for (member, member_usage) in usage
        .statements
        .iter()
        .flat_map(|statement| &statement.members)
    {
        let total = totals.entry(member.clone()).or_default();
        *total = total.plus(&member_usage.total);
    }
    totals
}

fn percent(part: u64, whole: u64) -> String {
    let ratio = part as f64 / whole.max(1) as f64;
    format!("{:.1}%", ratio * 100.0)
}
