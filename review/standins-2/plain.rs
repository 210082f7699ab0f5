//! Stand-in for a plain server: it runs each request at once.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::net::{read_more, take_request};

/// Request that a server has run.
#[derive(Debug, Clone)]
pub struct PlainRun {
    pub server: String,
    pub attempt: String,
    pub arrived: Instant,
}

/// Records of all servers, shared by them.
pub type PlainRuns = Arc<Mutex<Vec<PlainRun>>>;

#[derive(Clone)]
pub struct PlainServer {
    pub id: String,
    service: String,
    pub address: SocketAddr,
    born: u64,
    leaving: Arc<AtomicBool>,
    runs: PlainRuns,
}

impl PlainServer {
    pub fn start(id: &str, service: &str, born: u64, runs: &PlainRuns) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("bound"),
            born,
            leaving: Arc::default(),
            runs: runs.clone(),
        };
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = acceptor.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// States in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        let Self {
            service,
            address,
            born,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":{born}}}"#
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            while let Some(request) = take_request(&mut buffer) {
                let answer = match request.path() {
                    "/api/report" => {
                        let body = format!(
                            r#"{{"busy":false,"seq":1,"waiting":0,"running":0,"born":{}}}"#,
                            self.born
                        );
                        format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        )
                    }
                    _ => self.run(&request),
                };
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            if !read_more(&mut stream, &mut buffer) {
                return;
            }
        }
    }

    fn run(&self, request: &crate::net::Request) -> String {
        let attempt = request.header("attempt-id").unwrap_or_default();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.runs.lock().expect("runs").push(PlainRun {
            server: self.id.clone(),
            attempt: attempt.to_owned(),
            arrived: Instant::now(),
        });
        let body = format!("done by {}", self.id);
        let leaving = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp-{}\r\n{leaving}Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}
