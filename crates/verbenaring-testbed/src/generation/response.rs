//! Responses of the engine stand-in, made from the steps of an attempt.

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{FLUSH_TIME, Job, Step};
use crate::answer::TokenUsage;
use crate::http::{self, Closed, HandlerResult};

/// Returns the response as soon as the first step is ready.
pub(super) async fn start_response(
    job: Job,
    mut steps: mpsc::UnboundedReceiver<Step>,
) -> HandlerResult {
    let first = steps.recv().await.ok_or(Closed)?;
    let id = job.template.id.clone();
    let resume_from = job.resume_from;
    let stated_bytes = job.stated_bytes;
    let response = if job.streamed {
        let cursor = StreamCursor {
            job,
            first: Some(first),
            steps,
        };
        let response = http::stream_response("text/event-stream", stream_events(cursor));
        match stated_bytes {
            Some(bytes) => http::with_header(response, "content-length", &bytes.to_string()),
            None => response,
        }
    } else {
        let answer = collect_answer(&job, first, &mut steps).await?;
        match job.unframed_bytes {
            Some(limit) => {
                let mut bytes = Bytes::from(answer.to_string());
                bytes.truncate(limit);
                http::unframed_response("application/json", bytes)
            }
            None => http::json_response(StatusCode::OK, &answer),
        }
    };
    let response = http::with_header(response, "x-request-id", &id);
    if resume_from == 0 {
        return Ok(response);
    }
    Ok(http::with_header(
        response,
        "x-resume-from",
        &resume_from.to_string(),
    ))
}

async fn collect_answer(
    job: &Job,
    first: Step,
    steps: &mut mpsc::UnboundedReceiver<Step>,
) -> std::result::Result<Value, Closed> {
    let mut text = String::new();
    let mut step = first;
    loop {
        match step {
            Step::Token(word) => text.push_str(&word),
            Step::Truncated { .. } => return Err(Closed),
            Step::End(usage) => return Ok(job.template.whole(&text, job.finish_reason(), usage)),
        }
        step = steps.recv().await.ok_or(Closed)?;
    }
}

struct StreamCursor {
    job: Job,
    first: Option<Step>,
    steps: mpsc::UnboundedReceiver<Step>,
}

fn stream_events(cursor: StreamCursor) -> impl Stream<Item = std::result::Result<Bytes, Closed>> {
    stream::unfold(Some(cursor), |cursor| async move {
        let mut cursor = cursor?;
        let step = match cursor.first.take() {
            Some(step) => Some(step),
            None => cursor.steps.recv().await,
        };
        let template = &cursor.job.template;
        match step {
            Some(Step::Token(word)) => {
                let event = sse_event(&template.event(&word, None));
                Some((Ok(Bytes::from(event)), Some(cursor)))
            }
            Some(Step::End(usage)) => Some((Ok(last_events(&cursor.job, usage)), None)),
            Some(Step::Truncated { cleanly: true }) => None,
            Some(Step::Truncated { cleanly: false }) => {
                sleep(FLUSH_TIME).await;
                Some((Err(Closed), None))
            }
            None => Some((Err(Closed), None)),
        }
    })
}

fn last_events(job: &Job, usage: TokenUsage) -> Bytes {
    let mut text = sse_event(&job.template.event("", Some(job.finish_reason())));
    if job.include_usage {
        text.push_str(&sse_event(&job.template.usage_event(usage)));
    }
    text.push_str("data: [DONE]\n\n");
    Bytes::from(text)
}

fn sse_event(event: &Value) -> String {
    format!("data: {event}\n\n")
}
