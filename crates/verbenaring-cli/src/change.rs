//! Changes of configuration documents: propose, write, wait until accepted.

use std::time::Duration;

use serde_json::Value;
use serde_json::value::RawValue;
use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::ChangeId;
use verbenaring_protocol::operator::{
    AmendAnswer, AmendConflict, AmendRequest, DocumentView, StatusList,
};
use verbenaring_protocol::rules::{DocumentKind, normal_form};

use crate::client::{AmendResult, NodeClient};
use crate::difference::{difference_text, document_difference};
use crate::document::CheckedDocument;
use crate::error::{Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Change that is ready to be written.
#[derive(Debug, Clone)]
pub struct ProposedChange {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name below the prefix of the kind.
    pub name: String,
    /// New document; none deletes it.
    pub document: Option<CheckedDocument>,
    /// Revision that the change amends.
    pub expected: Revision,
    /// Document at the expected revision; null if it is not known or absent.
    pub base: Value,
    /// Document in force at the node; null if none.
    pub in_force: Value,
    /// Revision in force at the node.
    pub in_force_revision: Option<Revision>,
}

impl ProposedChange {
    /// Proposes a document; without `expected` it amends the stored revision.
    pub async fn for_document(
        client: &NodeClient,
        document: CheckedDocument,
        expected: Option<Revision>,
    ) -> Result<Self> {
        let view = client.document(document.kind, &document.name).await?;
        let (kind, name) = (document.kind, document.name.clone());
        Self::on(kind, name, Some(document), expected, view)
    }

    /// Proposes the deletion of a document.
    pub async fn for_deletion(client: &NodeClient, kind: DocumentKind, name: &str) -> Result<Self> {
        let view = client.document(kind, name).await?;
        let exists = view.as_ref().is_some_and(|view| {
            let stored = view.stored.as_ref();
            stored.is_none_or(|stored| stored.document.is_some())
        });
        if !exists {
            return Err(Error::Failed(format!(
                "{}{name} does not exist",
                kind.prefix()
            )));
        }
        Self::on(kind, name.to_owned(), None, None, view)
    }

    fn on(
        kind: DocumentKind,
        name: String,
        document: Option<CheckedDocument>,
        expected: Option<Revision>,
        view: Option<DocumentView>,
    ) -> Result<Self> {
        let stored = view.as_ref().and_then(|view| view.stored.as_ref());
        let in_force = view.as_ref().and_then(|view| view.in_force.as_ref());
        if let (None, None, Some(_)) = (stored, expected, in_force) {
            return Err(Error::Failed(
                "the platform store cannot be read by the node: \
                 try again later or give --expect REVISION"
                    .into(),
            ));
        }
        let expected = expected.unwrap_or(stored.map_or(0, |stored| stored.revision));
        let stored_base = stored.filter(|stored| stored.revision == expected);
        let in_force_base = in_force.filter(|document| document.revision == expected);
        let base = stored_base
            .and_then(|stored| stored.document.as_deref())
            .or(in_force_base.map(|document| &*document.document));
        Ok(Self {
            kind,
            base: content(kind, base),
            in_force: content(kind, in_force.map(|document| &*document.document)),
            in_force_revision: in_force.map(|document| document.revision),
            name,
            document,
            expected,
        })
    }

    /// Content that the change proposes.
    pub fn content(&self) -> Value {
        let document = self.document.as_ref();
        document.map_or(Value::Null, |document| document.content.clone())
    }

    /// Difference between the revision in force and the proposed document.
    pub fn difference(&self) -> Vec<String> {
        document_difference(&self.in_force, &self.content())
    }

    /// Writes the change if the document is still at the expected revision.
    pub async fn submit(&self, client: &NodeClient) -> Result<AmendAnswer> {
        let document = self.document.as_ref().map(|document| &document.text);
        let document = document
            .map(|text| RawValue::from_string(text.trim().to_owned()))
            .transpose()
            .map_err(|error| Error::Failed(error.to_string()))?;
        let request = AmendRequest {
            expected: self.expected,
            change: ChangeId(Uuid::new_v4()),
            repeated: false,
            document,
        };
        match client.amend(self.kind, &self.name, request).await? {
            AmendResult::Written(answer) => Ok(answer),
            AmendResult::Conflict(conflict) => Err(Error::LostRace {
                comparison: self.compare(&conflict),
                conflict,
            }),
        }
    }

    fn compare(&self, conflict: &AmendConflict) -> String {
        let current = conflict.current.as_ref();
        let current = content(
            self.kind,
            current.and_then(|entry| entry.document.as_deref()),
        );
        if self.base.is_null() && self.expected != 0 {
            // The content of an older revision is not kept by the store.
            let lines = document_difference(&current, &self.content());
            return difference_text("Your document against the current one", &lines);
        }
        let theirs = document_difference(&self.base, &current);
        let yours = document_difference(&self.base, &self.content());
        let theirs = difference_text("Written by the other operator", &theirs);
        theirs + &difference_text("Your change, not written", &yours)
    }
}

/// Waits until every node that can be asked has the revision in force.
pub async fn wait_until_in_force(
    client: &NodeClient,
    answer: &AmendAnswer,
    limit: Duration,
) -> Result<usize> {
    let deadline = Instant::now() + limit;
    loop {
        // The change is written, so a failed status is not a failed command.
        let (nodes, missing) = match client.statuses().await {
            Ok(statuses) => (statuses.nodes.len(), nodes_behind(&statuses, answer)),
            Err(error) => (0, vec![error.to_string()]),
        };
        if missing.is_empty() {
            return Ok(nodes);
        }
        if Instant::now() >= deadline {
            return Err(Error::NotAccepted {
                revision: answer.revision,
                missing: missing.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Nodes that do not have the change in force, with the reason.
fn nodes_behind(statuses: &StatusList, answer: &AmendAnswer) -> Vec<String> {
    let behind = statuses.nodes.iter().filter_map(|node| {
        if node.revision < answer.revision {
            return Some(format!("{} is at revision {}", node.vm, node.revision));
        }
        let mut faults = node.faults.iter();
        let fault = faults.find(|fault| fault.key == answer.key)?;
        Some(format!("{} cannot read it: {}", node.vm, fault.reason))
    });
    let missing = statuses.missing.iter();
    let missing = missing.map(|vm| format!("{vm} could not be asked"));
    behind.chain(missing).collect()
}

/// Content with defaults filled in, as written if it cannot be read.
fn content(kind: DocumentKind, document: Option<&RawValue>) -> Value {
    let Some(text) = document.map(RawValue::get) else {
        return Value::Null;
    };
    normal_form(kind, text)
        .or_else(|_| serde_json::from_str(text))
        .unwrap_or(Value::Null)
}
