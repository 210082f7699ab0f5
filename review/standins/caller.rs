// Stand-in for callers.

#[derive(Debug, Clone, PartialEq)]
enum End {
    /// Whole answer with this status.
    Whole(u16),
    /// The channel ended inside the answer.
    Cut,
    /// The channel ended without an answer.
    NoAnswer,
    /// No channel could be opened.
    NoChannel,
    /// The caller's own time limit passed.
    Limit,
}

#[derive(Clone)]
struct Try {
    id: String,
    vm: SocketAddr,
    /// When an answer with `Server-Leaving` began to arrive.
    leaving: Option<f64>,
    /// When its last byte was sent.
    sent: f64,
    ended: f64,
    end: End,
    /// Events of a stream that arrived whole.
    events: usize,
}

static IDS: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + IDS.fetch_add(1, Ordering::Relaxed))
}

struct Call<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a str,
    limit: Duration,
    body: &'a [u8],
    /// Bytes a second at which the body is sent.
    rate: Option<usize>,
}

/// Sends one request on a channel of its own.
fn send(vm: SocketAddr, call: &Call, record: &Record) -> Try {
    let id = new_id();
    let mut result = Try { id: id.clone(), vm, leaving: None, sent: record.now(), ended: 0.0, end: End::NoChannel, events: 0 };
    let begun = Instant::now();
    if let Ok(mut stream) = TcpStream::connect_timeout(&vm, ms(1_000)) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(call.limit));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            call.method, call.path, call.limit.as_millis(), call.headers, call.body.len()
        );
        let mut ok = stream.write_all(head.as_bytes()).is_ok();
        for (at, part) in call.body.chunks(65_536).enumerate() {
            if let Some(rate) = call.rate {
                let due = Duration::from_secs_f64((at * 65_536) as f64 / rate as f64);
                thread::sleep(due.saturating_sub(begun.elapsed()));
            }
            ok = ok && stream.write_all(part).is_ok();
        }
        result.sent = record.now();
        let mut buffer = Vec::new();
        result.end = match read_head(&mut stream, &mut buffer) {
            Ok(Some(mut answer)) => {
                let status = answer.status();
                result.leaving = answer.header("server-leaving").map(|_| record.now());
                let whole = read_body(&mut stream, &mut buffer, &mut answer, |_| {});
                result.events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
                match whole {
                    true => End::Whole(status),
                    false if begun.elapsed() >= call.limit => End::Limit,
                    false => End::Cut,
                }
            }
            _ if begun.elapsed() >= call.limit => End::Limit,
            _ => End::NoAnswer,
        };
    }
    result.ended = record.now();
    record.say(&format!("caller: {id} at {vm} sent {:.3} ended {:?}, events {}", result.sent, result.end, result.events));
    result
}
