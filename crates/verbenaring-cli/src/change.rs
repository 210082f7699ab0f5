//! Changes of configuration documents: comparison with the current version, write
//! by compare-and-swap, and wait until all nodes have the change in force.

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
use verbenaring_protocol::rules::{DocumentKind, with_defaults};

use crate::client::{AmendResult, NodeClient};
use crate::difference::{difference_text, document_difference};
use crate::document::CheckedDocument;
use crate::error::{Error, Result};

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Change of one document that has been checked but not written.
#[derive(Debug, Clone)]
pub struct ProposedChange {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name of the document, which follows the prefix of the kind in its key.
    pub name: String,
    /// New document; `None` deletes the current one.
    pub document: Option<CheckedDocument>,
    /// Revision that the change amends; 0 for a new document.
    pub expected: Revision,
    /// Content at the expected revision; null if it is unknown or absent.
    pub base: Value,
    /// Content in force at the node; null if it has none.
    pub in_force: Value,
    /// Revision in force at the node; `None` if it has none.
    pub in_force_revision: Option<Revision>,
}

impl ProposedChange {
    /// Creates a change that writes a document. It amends the revision `expected`,
    /// or the stored one if that is `None`.
    pub async fn for_document(
        client: &NodeClient,
        document: CheckedDocument,
        expected: Option<Revision>,
    ) -> Result<Self> {
        let view = client.document(document.kind, &document.name).await?;
        let (kind, name) = (document.kind, document.name.clone());
        Self::from_view(kind, name, Some(document), expected, view)
    }

    /// Creates a change that deletes a document, which must exist.
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
        Self::from_view(kind, name.to_owned(), None, None, view)
    }

    fn from_view(
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

    /// Proposed content with defaults filled in; null for a deletion.
    pub fn content(&self) -> Value {
        let document = self.document.as_ref();
        document.map_or(Value::Null, |document| document.content.clone())
    }

    /// Difference between the content in force and the proposed one, one line per
    /// changed value.
    pub fn difference(&self) -> Vec<String> {
        document_difference(&self.in_force, &self.content())
    }

    /// Writes the change if the document is still at the expected revision, and
    /// fails with [`Error::Conflict`] otherwise.
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
            AmendResult::Conflict(conflict) => Err(Error::Conflict {
                comparison: self.compare_with_current(&conflict),
                conflict,
            }),
        }
    }

    fn compare_with_current(&self, conflict: &AmendConflict) -> String {
        let current = conflict.current.as_ref();
        let current = content(
            self.kind,
            current.and_then(|entry| entry.document.as_deref()),
        );
        if self.base.is_null() && self.expected != 0 {
            // The content at the expected revision is unknown, because the store keeps
            // only the current one.
            let lines = document_difference(&current, &self.content());
            return difference_text("Your document against the current one", &lines);
        }
        let theirs = document_difference(&self.base, &current);
        let yours = document_difference(&self.base, &self.content());
        let theirs = difference_text("Written by the other operator", &theirs);
        theirs + &difference_text("Your change, not written", &yours)
    }
}

/// Waits until every node has the written revision in force, and returns the number
/// of nodes. Fails with [`Error::NotInForce`] after `limit`, also if some nodes
/// cannot be asked.
pub async fn wait_until_in_force(
    client: &NodeClient,
    answer: &AmendAnswer,
    limit: Duration,
) -> Result<usize> {
    let deadline = Instant::now() + limit;
    loop {
        // The change is written already, so a failed status request counts as a
        // missing node instead of failing the command.
        let (nodes, missing) = match client.statuses().await {
            Ok(statuses) => (statuses.nodes.len(), nodes_not_in_force(&statuses, answer)),
            Err(error) => (0, vec![error.to_string()]),
        };
        if missing.is_empty() {
            return Ok(nodes);
        }
        if Instant::now() >= deadline {
            return Err(Error::NotInForce {
                revision: answer.revision,
                missing: missing.join(", "),
            });
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

/// Nodes that do not have the change in force, each with the reason.
fn nodes_not_in_force(statuses: &StatusList, answer: &AmendAnswer) -> Vec<String> {
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

/// Content of a document with defaults filled in, or as written if it is invalid;
/// null without a document or if it is not JSON.
fn content(kind: DocumentKind, document: Option<&RawValue>) -> Value {
    let Some(text) = document.map(RawValue::get) else {
        return Value::Null;
    };
    with_defaults(kind, text)
        .or_else(|_| serde_json::from_str(text))
        .unwrap_or(Value::Null)
}
