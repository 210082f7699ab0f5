// Reads and writes HTTP messages.

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut block = [0u8; 65536];
    let n = stream.read(&mut block)?;
    buffer.extend_from_slice(&block[..n]);
    Ok(n > 0)
}

/// Reads the head of a message; `None` if the connection ends before.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            return Ok(Some(Message { first, headers, body: Vec::new() }));
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
}

/// Reads a whole request with its body; `None` if the connection ends before.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, buffer).ok()??;
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer).ok()? {
            return None;
        }
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// Reads a body as it arrives; calls `seen` with the bytes so far. True if it is complete.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    message: &mut Message,
    mut seen: impl FnMut(usize),
) -> bool {
    if message.header("transfer-encoding").is_some() {
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if !matches!(fill(stream, buffer), Ok(true)) {
                    return false;
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
                return false;
            };
            while buffer.len() < end + 2 + size + 2 {
                if !matches!(fill(stream, buffer), Ok(true)) {
                    return false;
                }
            }
            message.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return true;
            }
            seen(message.body.len());
        }
    }
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !matches!(fill(stream, buffer), Ok(true)) {
            return false;
        }
    }
    message.body = buffer.drain(..length).collect();
    true
}

fn reply(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
