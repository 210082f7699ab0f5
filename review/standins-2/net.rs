//! HTTP/1.1 and JSON, reduced to what the stand-ins need.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// Request that a stand-in has received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Query parameter, with percent-encoding removed.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[at + 1..at + 3], 16).ok())
            .flatten();
        match hex {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Splits a whole message off the front of `buffer`; the start line, headers and body.
fn take_message(buffer: &mut Vec<u8>) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let head_end = find(buffer, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let end = head_end + 4 + length;
    if buffer.len() < end {
        return None;
    }
    let body = buffer[head_end + 4..end].to_vec();
    buffer.drain(..end);
    Some((start, headers, body))
}

/// Splits a whole request off the front of `buffer`. The VMs send bodies with a length.
pub fn take_request(buffer: &mut Vec<u8>) -> Option<Request> {
    let (start, headers, body) = take_message(buffer)?;
    let mut words = start.split(' ');
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body,
    })
}

/// Reads further bytes; false at the end of the connection.
pub fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut block = [0; 16 * 1024];
    match stream.read(&mut block) {
        Ok(0) | Err(_) => false,
        Ok(length) => {
            buffer.extend_from_slice(&block[..length]);
            true
        }
    }
}

/// Sends a request on a new connection and reads an answer that has a length; its status.
pub fn exchange(address: SocketAddr, request: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    loop {
        if let Some((start, ..)) = take_message(&mut buffer) {
            return start.split(' ').nth(1)?.parse().ok();
        }
        if !read_more(&mut stream, &mut buffer) {
            return None;
        }
    }
}

/// Ports of 127.0.0.1 that are free for TCP and UDP.
pub fn free_ports(count: usize) -> Vec<u16> {
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let port = listener.local_addr().expect("bound").port();
        if let Ok(socket) = UdpSocket::bind(("127.0.0.1", port)) {
            held.push((port, listener, socket));
        }
    }
    held.iter().map(|(port, ..)| *port).collect()
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..block.len()].copy_from_slice(block);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            match place <= block.len() {
                true => text.push(BASE64[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// JSON value, as far as transactions of the VMs need it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        Self::value(bytes, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(known, _)| known == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && b" \t\r\n,:".contains(&bytes[*at]) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Json {
        Self::skip(bytes, at);
        match bytes.get(*at) {
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if *at >= bytes.len() || bytes[*at] == b'}' {
                        *at += 1;
                        return Json::Table(fields);
                    }
                    let name = Self::string(bytes, at);
                    fields.push((name, Self::value(bytes, at)));
                }
            }
            Some(b'[') => {
                *at += 1;
                let mut values = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if *at >= bytes.len() || bytes[*at] == b']' {
                        *at += 1;
                        return Json::List(values);
                    }
                    values.push(Self::value(bytes, at));
                }
            }
            Some(b'"') => Json::Text(Self::string(bytes, at)),
            _ => {
                let begin = *at;
                while *at < bytes.len() && !b",]} \r\n".contains(&bytes[*at]) {
                    *at += 1;
                }
                let word = String::from_utf8_lossy(&bytes[begin..*at]);
                match word.parse() {
                    Ok(number) => Json::Number(number),
                    Err(_) if word == "null" => Json::Null,
                    Err(_) => Json::Bool,
                }
            }
        }
    }

    fn string(bytes: &[u8], at: &mut usize) -> String {
        *at += 1;
        let mut out = Vec::new();
        while *at < bytes.len() && bytes[*at] != b'"' {
            if bytes[*at] == b'\\' {
                *at += 1;
            }
            out.push(bytes[*at]);
            *at += 1;
        }
        *at += 1;
        String::from_utf8_lossy(&out).into_owned()
    }
}
