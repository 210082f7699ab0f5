//! Handles the requests that the listeners accept from callers and other nodes.

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

/// Answers requests of callers; internal headers that a caller sets are removed.
pub struct CallerHandler<S>(pub Arc<NodeCore<S>>);

/// Answers requests that other nodes forward.
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
        let request_id = caller_request_id(&parts.headers);
        let result = self.0.answer_caller(&parts, body, &request_id).await;
        self.0.finish_answer(result, &request_id)
    }
}

impl<S: PlatformStore> RequestHandler for PeerHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        // The sender checks that the answer carries its attempt identifier.
        let request_id: Arc<str> = header_text(&parts.headers, header::REQUEST_ID)
            .unwrap_or_default()
            .into();
        let result = self.0.answer_peer(&parts, body).await;
        self.0.finish_answer(result, &request_id)
    }
}

/// Longest request identifier that is accepted from a caller; a longer one is
/// replaced.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn caller_request_id(headers: &HeaderMap) -> Arc<str> {
    header_text(headers, header::REQUEST_ID)
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES)
        .unwrap_or_else(|| Uuid::new_v4().to_string())
        .into()
}
