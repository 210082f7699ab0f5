//! Requests of callers and of other nodes, as the listeners hand them over.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use uuid::Uuid;
use verbenaring_protocol::header;

use crate::answer::header_text;
use crate::body::AnswerBody;
use crate::controller::NodeCore;
use crate::listener::RequestHandler;
use crate::store::PlatformStore;

/// Answers callers.
pub struct CallerHandler<S>(pub Arc<NodeCore<S>>);

/// Answers other nodes.
pub struct PeerHandler<S>(pub Arc<NodeCore<S>>);

impl<S> Clone for CallerHandler<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S> Clone for PeerHandler<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S: PlatformStore> RequestHandler for CallerHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (mut parts, body) = request.into_parts();
        for name in header::INTERNAL {
            parts.headers.remove(name);
        }
        let identifier = request_identifier(&parts.headers);
        let outcome = self.0.answer_caller(&parts, body, &identifier).await;
        self.0.finish(outcome, &identifier)
    }
}

impl<S: PlatformStore> RequestHandler for PeerHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        // The sender checks that the answer carries its attempt identifier.
        let identifier: Arc<str> = header_text(&parts.headers, header::REQUEST_ID)
            .unwrap_or_default()
            .into();
        let outcome = self.0.answer_peer(&parts, body).await;
        self.0.finish(outcome, &identifier)
    }
}

/// Longest request identifier taken over from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn request_identifier(headers: &HeaderMap) -> Arc<str> {
    header_text(headers, header::REQUEST_ID)
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES)
        .unwrap_or_else(|| Uuid::new_v4().to_string())
        .into()
}
