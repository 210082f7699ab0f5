//! Datagrams that VMs send each other.
//!
//! A datagram begins with a byte that names its kind, followed by the message,
//! encoded with postcard. A datagram that cannot be decoded is dropped.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaring_policy::dispatch::allowance::AllowanceStatement;
use verbenaring_policy::dispatch::build::DeclaredBuild;
use verbenaring_policy::dispatch::evidence::SuspectNews;
use verbenaring_policy::dispatch::limit::LimitUpdate;
use verbenaring_policy::dispatch::origin::OriginRecord;
use verbenaring_policy::dispatch::presence::{ServiceWait, VmNews, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::{PromptRecord, name_hash};
use verbenaring_policy::dispatch::retry_share::RetryStatement;
use verbenaring_policy::dispatch::server::LoadShare;
use verbenaring_policy::id::{CentreName, DataCentre, RegionName, VmId};
use verbenaring_policy::time::Moment;

use crate::settings::FrontSettings;

/// Size of a datagram that common links carry without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Most bytes that one limit takes.
const MAX_LIMIT_BYTES: usize = 15;

const REPORT: u8 = 1;
const LOADS: u8 = 2;
const MEMBERS: u8 = 3;
const READS: u8 = 4;
const SUSPECTS: u8 = 5;
const ORIGINS: u8 = 6;
const BUILDS: u8 = 7;
const RETRIES: u8 = 8;
const ALLOWANCES: u8 = 9;

/// Format of the statements behind the limits.
const STATEMENTS_FORMAT: u8 = 1;
/// Format of the use of quotas behind these statements.
const ALLOWANCES_FORMAT: u8 = 1;
/// Bytes that a relay puts before an encoded digest.
const LOADS_PREFIX_BYTES: usize = 5;

/// What a VM states about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmDescription {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub centre: CentreName,
    /// Address that receives reports.
    pub report_address: SocketAddr,
    /// Address that accepts calls forwarded by other VMs.
    pub peer_address: SocketAddr,
    /// Address that accepts calls from callers.
    pub caller_address: SocketAddr,
    /// Boot number of the process.
    pub boot: u64,
    /// Sequence number of the report within its boot.
    pub sequence: u32,
    /// Lifecycle state.
    pub state: VmState,
    /// Version of the routes in force.
    pub routes_version: u64,
    /// Revision of the operators' entries in force.
    pub operator_revision: u64,
    /// Revision of the newest change of a server that is known.
    pub servers_revision: u64,
    /// Whether the VM watches the configuration source.
    pub watching: bool,
    /// Capacity relative to other VMs; 0 while the VM reaches no servers.
    pub capacity: u32,
}

impl VmDescription {
    /// Description of a VM that is to be passed on.
    pub fn of(record: &VmRecord) -> Self {
        Self {
            vm: record.vm.clone(),
            centre: record.centre.name.clone(),
            report_address: record.report_address,
            peer_address: record.peer_address,
            caller_address: record.caller_address,
            boot: record.boot,
            sequence: record.sequence,
            state: record.state,
            routes_version: record.routes_version,
            operator_revision: record.operator_revision,
            servers_revision: record.servers_revision,
            watching: record.watching,
            capacity: record.capacity,
        }
    }

    /// Record of the VM, of which news arrive every `interval`.
    pub fn into_record(
        self,
        settings: &FrontSettings,
        interval: Duration,
        now: Moment,
    ) -> VmRecord {
        VmRecord {
            centre: DataCentre {
                region: settings.region_of(&self.centre).clone(),
                name: self.centre,
            },
            name_hash: name_hash(self.vm.as_str()),
            vm: self.vm,
            report_address: self.report_address,
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            boot: self.boot,
            sequence: self.sequence,
            state: self.state,
            routes_version: self.routes_version,
            operator_revision: self.operator_revision,
            servers_revision: self.servers_revision,
            watching: self.watching,
            capacity: self.capacity,
            interval,
            received_at: now,
        }
    }
}

/// Report of one VM about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmReport {
    /// Sender.
    pub vm: VmDescription,
    /// Time until the next report, in ms.
    pub interval_ms: u32,
    /// Expected waits in the sender's region, by service.
    pub waits: Vec<ServiceWait>,
    /// Outstanding work of the sender, by short hash of the server name.
    pub loads: Vec<(u32, LoadShare)>,
    /// Prompts that the sender gave to servers since its last report.
    pub reads: Vec<PromptRecord>,
}

/// Which VMs a stated load includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadScope {
    /// The sending relay and the VMs that report to it.
    Group,
    /// All VMs of the region, the receiver included.
    Region,
}

/// Loads of the servers of a region, as a relay states them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Relay that sends the digest.
    pub vm: VmDescription,
    /// Time until the next digest, in ms.
    pub interval_ms: u32,
    /// VMs that the loads include.
    pub scope: LoadScope,
    /// Outstanding work, by short hash of the server name.
    pub loads: Vec<(u32, LoadShare)>,
}

/// Prompts given to servers, as a relay passes them on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadDigest {
    /// Whether the prompts are those of the group of the sender, which the receiver
    /// passes on if it is a relay.
    pub scope: LoadScope,
    /// Prompts, with the short name hash of the VM that gave them to servers.
    pub reads: Vec<(u32, PromptRecord)>,
}

/// Waits of one region and their age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionDigest {
    /// Name of the region.
    pub region: RegionName,
    /// Time since a VM of the region stated the waits, in ms.
    pub age_ms: u32,
    /// Expected waits, by service.
    pub waits: Vec<ServiceWait>,
}

/// VMs and regions that the sender knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Sender.
    pub vm: VmDescription,
    /// Time within which news of each VM arrive again, in ms.
    pub interval_ms: u32,
    /// Waits of the regions that the sender knows.
    pub regions: Vec<RegionDigest>,
    /// Some of the VMs that the sender knows.
    pub members: Vec<VmDescription>,
    /// News of some of the VMs that the sender knows.
    pub news: Vec<VmNews>,
    /// Prompts given to servers that other regions may copy from.
    pub reads: Vec<PromptRecord>,
}

/// What a datagram states behind its message, where there is room.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MessageTail {
    /// Limits of servers that the sender knows.
    pub limits: Vec<LimitUpdate>,
    /// What the sender has spent of the retry budgets; empty if it does not state it now.
    pub retries: Vec<RetryStatement>,
    /// Use of the tenants' quotas; at most one statement.
    pub allowances: Vec<AllowanceStatement>,
}

/// Message of one datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum VmMessage {
    /// Report of a VM about itself.
    Report(VmReport, MessageTail),
    /// Loads, and the sequence number of the receiver's report that they include.
    Loads(u32, LoadDigest, MessageTail),
    /// VMs and regions.
    Members(MemberDigest),
    /// Prompts given to servers.
    Reads(ReadDigest),
    /// Requests and parts of prompts under which servers ended.
    Suspects(Vec<SuspectNews>),
    /// Where streams began.
    Origins(Vec<OriginRecord>),
    /// Declared software versions, and the time in ms for which their streams may be taken
    /// up.
    Builds(Vec<(DeclaredBuild, u32)>),
    /// What the process of the receiver's VM before this one has spent of the retry
    /// budgets.
    Retries(RetryStatement),
    /// Use of the tenants' quotas by the group of a relay of another region.
    Allowances(AllowanceStatement),
}

/// Encodes the report of a VM, with as much of the tail as fits.
pub fn encode_report(report: &VmReport, tail: &MessageTail) -> Result<Vec<u8>, postcard::Error> {
    let datagram = postcard::to_extend(report, vec![REPORT])?;
    append_tail(datagram, tail)
}

/// Appends limits and statements to a datagram. Receivers of an earlier version ignore
/// what they do not know: first the use of quotas, then the statements of retries, then
/// the limits as well.
fn append_tail(datagram: Vec<u8>, tail: &MessageTail) -> Result<Vec<u8>, postcard::Error> {
    let room = MAX_DATAGRAM_BYTES.saturating_sub(datagram.len() + 1);
    let retries = match tail.retries.is_empty() {
        true => Vec::new(),
        false => postcard::to_extend(&tail.retries, vec![STATEMENTS_FORMAT])?,
    };
    let retries = if retries.len() <= room {
        retries
    } else {
        Vec::new()
    };
    let room = room.saturating_sub(retries.len());
    // Neither limits nor quotas crowd the other out.
    let allowances = encode_allowance_tail(&tail.allowances, room / 2, retries.is_empty())?;
    let room = room.saturating_sub(allowances.len()) / MAX_LIMIT_BYTES;
    let limits = &tail.limits[..tail.limits.len().min(room)];
    if limits.is_empty() && retries.is_empty() && allowances.is_empty() {
        return Ok(datagram);
    }
    let mut datagram = postcard::to_extend(limits, datagram)?;
    datagram.extend_from_slice(&retries);
    datagram.extend_from_slice(&allowances);
    Ok(datagram)
}

/// Encodes as much of the use of quotas as fits; with an empty list of statements of
/// retries before it if there are none.
fn encode_allowance_tail(
    allowances: &[AllowanceStatement],
    room: usize,
    needs_retries: bool,
) -> Result<Vec<u8>, postcard::Error> {
    let mut fitting = allowances.to_vec();
    while !fitting.is_empty() {
        let mut bytes = match needs_retries {
            true => postcard::to_extend::<[RetryStatement], _>(&[], vec![STATEMENTS_FORMAT])?,
            false => Vec::new(),
        };
        bytes.push(ALLOWANCES_FORMAT);
        let bytes = postcard::to_extend(&fitting, bytes)?;
        if bytes.len() + LOADS_PREFIX_BYTES <= room {
            return Ok(bytes);
        }
        let shortened = fitting.iter_mut().map(|statement| statement.uses.pop());
        if shortened.flatten().count() == 0 {
            break;
        }
    }
    Ok(Vec::new())
}

/// Decodes a message and what is stated behind it. Datagrams of earlier versions end
/// sooner; statements in a format of a later version are left out.
fn decode_with_tail<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, MessageTail), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((message, MessageTail::default()));
    }
    let (limits, rest) = postcard::take_from_bytes(rest)?;
    let (retries, rest) = match rest.split_first() {
        Some((&STATEMENTS_FORMAT, statements)) => postcard::take_from_bytes(statements)?,
        Some(_) | None => (Vec::new(), &[][..]),
    };
    let allowances = match rest.split_first() {
        Some((&ALLOWANCES_FORMAT, allowances)) => postcard::from_bytes(allowances)?,
        Some(_) | None => Vec::new(),
    };
    let tail = MessageTail {
        limits,
        retries,
        allowances,
    };
    Ok((message, tail))
}

/// Encodes a digest of VMs.
pub fn encode_members(digest: &MemberDigest) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(digest, vec![MEMBERS])
}

/// Encodes prompts.
pub fn encode_reads(digest: &ReadDigest) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(digest, vec![READS])
}

/// Encodes evidence about requests and parts of prompts.
pub fn encode_suspects(news: &[SuspectNews]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(news, vec![SUSPECTS])
}

/// Encodes where streams began.
pub fn encode_origins(origins: &[OriginRecord]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(origins, vec![ORIGINS])
}

/// Encodes declared software versions.
pub fn encode_builds(declared: &[(DeclaredBuild, u32)]) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(declared, vec![BUILDS])
}

/// Encodes what the process before the receiver's has spent.
pub fn encode_retries(statement: &RetryStatement) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(statement, vec![RETRIES])
}

/// Encodes the use of quotas for a relay of another region.
pub fn encode_allowances(statement: &AllowanceStatement) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(statement, vec![ALLOWANCES])
}

/// Encodes loads and their tail, which are the same for all receivers.
pub fn encode_digest(digest: &LoadDigest, tail: &MessageTail) -> Result<Vec<u8>, postcard::Error> {
    append_tail(postcard::to_allocvec(digest)?, tail)
}

/// Encodes loads for a receiver whose report `included` they include. `digest` is the
/// encoded digest.
pub fn encode_loads(included: u32, digest: &[u8]) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(1 + 4 + digest.len());
    datagram.push(LOADS);
    datagram.extend_from_slice(&included.to_le_bytes());
    datagram.extend_from_slice(digest);
    datagram
}

/// Decodes a datagram.
pub fn decode(datagram: &[u8]) -> Result<VmMessage, postcard::Error> {
    let end = postcard::Error::DeserializeUnexpectedEnd;
    let (kind, body) = datagram.split_first().ok_or(end.clone())?;
    match *kind {
        REPORT => {
            let (report, tail) = decode_with_tail(body)?;
            Ok(VmMessage::Report(report, tail))
        }
        LOADS => {
            let (included, body) = body.split_first_chunk::<4>().ok_or(end)?;
            let (digest, tail) = decode_with_tail(body)?;
            let included = u32::from_le_bytes(*included);
            Ok(VmMessage::Loads(included, digest, tail))
        }
        MEMBERS => Ok(VmMessage::Members(postcard::from_bytes(body)?)),
        READS => Ok(VmMessage::Reads(postcard::from_bytes(body)?)),
        SUSPECTS => Ok(VmMessage::Suspects(postcard::from_bytes(body)?)),
        ORIGINS => Ok(VmMessage::Origins(postcard::from_bytes(body)?)),
        BUILDS => Ok(VmMessage::Builds(postcard::from_bytes(body)?)),
        RETRIES => Ok(VmMessage::Retries(postcard::from_bytes(body)?)),
        ALLOWANCES => Ok(VmMessage::Allowances(postcard::from_bytes(body)?)),
        _ => Err(postcard::Error::DeserializeBadEnum),
    }
}
