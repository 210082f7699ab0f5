//! Tests of pooled connections on which servers send copies of earlier answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::header::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use verbenaring_core::upstream::pool::{ConnectOptions, ConnectionPool, SendError};
use verbenaring_core::upstream::request_body::RequestBody;

const ID_HEADER: HeaderName = HeaderName::from_static("call-id");

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    max_idle: Duration::from_secs(5),
    probe: false,
};

fn answer(status: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nCall-Id: {id}\r\nKeep-Alive: timeout=15\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Server that answers the n-th request of each connection with the n-th text; counts
/// connections.
async fn start_server(answers: Vec<String>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            let answers = answers.clone();
            tokio::spawn(async move {
                for answer in answers {
                    let mut received = Vec::new();
                    while !received.ends_with(b"\r\n\r\n") {
                        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, connections)
}

/// Sends a call and returns its status and body.
async fn call(
    pool: &Arc<ConnectionPool>,
    address: SocketAddr,
    id: &str,
) -> Result<(u16, String), SendError> {
    let mut request = Request::new(RequestBody::default());
    request.headers_mut().insert(ID_HEADER, id.parse().unwrap());
    request.headers_mut().insert("host", "h".parse().unwrap());
    let (answer, lease) = pool.send(address, request, OPTIONS).await?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await;
    let body = body.map_err(|error| SendError::Broken(error.to_string()))?;
    lease.release();
    let body = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    Ok((status, body))
}

fn new_pool() -> Arc<ConnectionPool> {
    Arc::new(ConnectionPool::with_call_ids(ID_HEADER))
}

/// Guards against a call whose answer is given up because copies of earlier answers, of
/// whatever status, precede it.
#[tokio::test]
async fn copies_of_any_answer_are_skipped() {
    let first = answer("200 OK", "a", "one");
    let second = answer("500 Internal Server Error", "b", "two");
    let long = answer("503 Service Unavailable", "a", &"x".repeat(100_000));
    let third = answer("200 OK", "c", "three");
    let (address, connections) = start_server(vec![
        first.clone(),
        first.clone() + &second,
        format!("{second}{first}{long}{third}"),
    ])
    .await;
    let pool = new_pool();
    assert_eq!(
        call(&pool, address, "a").await.unwrap(),
        (200, "one".to_owned())
    );
    assert_eq!(
        call(&pool, address, "b").await.unwrap(),
        (500, "two".to_owned())
    );
    assert_eq!(
        call(&pool, address, "c").await.unwrap(),
        (200, "three".to_owned())
    );
    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

/// Guards against a call that takes the copy of its own earlier answer for the new one.
#[tokio::test]
async fn no_call_is_sent_twice_on_a_connection() {
    let refusal = answer("503 Service Unavailable", "a", "full");
    let copied = refusal.clone() + &answer("200 OK", "b", "done");
    let (address, connections) = start_server(vec![refusal, copied]).await;
    let pool = new_pool();
    for count in 1..=3 {
        assert_eq!(call(&pool, address, "a").await.unwrap().0, 503);
        assert_eq!(connections.load(Ordering::SeqCst), count);
    }
    // Another call may use the connections.
    let (status, _) = call(&pool, address, "b").await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(connections.load(Ordering::SeqCst), 3);
}

/// Guards against bytes that are dropped although they are no copy.
#[tokio::test]
async fn what_is_no_copy_passes() {
    let first = answer("200 OK", "a", "one");
    for (second, expected) in [
        (answer("200 OK", "unknown", "other"), Some("other")),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare".to_owned(),
            Some("bare"),
        ),
        ("no answer at all\r\n\r\n".to_owned(), None),
        (first.clone() + "no answer at all\r\n\r\n", None),
    ] {
        let (address, connections) = start_server(vec![first.clone(), second.clone()]).await;
        let pool = new_pool();
        call(&pool, address, "a").await.unwrap();
        let answered = call(&pool, address, "b").await.ok();
        let body = answered.as_ref().map(|(_, body)| body.as_str());
        assert_eq!(body, expected, "{second}");
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    }
}

/// Guards against a connection whose history grows without end.
#[tokio::test]
async fn a_connection_carries_a_limited_number_of_calls() {
    const CALLS: usize = 2_000;
    let answers = (0..CALLS).map(|id| answer("200 OK", &id.to_string(), "done"));
    let (address, connections) = start_server(answers.collect()).await;
    let pool = new_pool();
    for id in 0..CALLS {
        // The second connection begins with the first answer of the server again.
        let id = id % 1_024;
        assert_eq!(call(&pool, address, &id.to_string()).await.unwrap().0, 200);
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// Guards against a connection that reads copies without end while its call waits.
#[tokio::test]
async fn copies_without_end_break_the_connection() {
    let first = answer("200 OK", "a", "one");
    let endless = answer("200 OK", "a", &"x".repeat(300_000)) + &answer("200 OK", "b", "two");
    let (address, _) = start_server(vec![first, endless]).await;
    let pool = new_pool();
    call(&pool, address, "a").await.unwrap();
    let failed = call(&pool, address, "b").await;
    assert!(matches!(failed, Err(SendError::Broken(_))), "{failed:?}");
}
