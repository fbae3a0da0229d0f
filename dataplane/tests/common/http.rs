//! A minimal HTTP/1.1 peer, which lets tests send malformed and truncated messages.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status code")
    }

    /// The value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    fn parse_head(head: &str) -> Message {
        let mut lines = head.split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers =
            pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
        Message { start_line, headers, body: String::new() }
    }
}

/// A connection of a client or a server.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).expect("set socket option");
        Connection { stream, buffer: Vec::new() }
    }

    pub async fn open(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).await.expect("open connection"))
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("write to connection");
    }

    /// Sends a request with a body.
    pub async fn send_request(&mut self, path: &str, attempt_id: &str, body: &str) {
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: {attempt_id}\r\ndeadline-ms: 8000\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        self.write(&request).await;
    }

    /// Sends several requests without bodies in a single write.
    pub async fn send_pipelined(&mut self, path: &str, attempt_ids: &[&str]) {
        let request = |id: &&str| {
            format!(
                "POST {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
            )
        };
        let requests: String = attempt_ids.iter().map(request).collect();
        self.write(&requests).await;
    }

    /// Sends a complete successful response.
    pub async fn respond(&mut self, request: &Message, body: &str) {
        let length = body.len();
        self.send_head(request, 200, &format!("server-stamp: st\r\ncontent-length: {length}\r\n")).await;
        self.write(body).await;
    }

    /// Sends the head of a response with the `Attempt-Id` of `request`. `headers` are further header lines,
    /// each with its line break.
    pub async fn send_head(&mut self, request: &Message, status: u16, headers: &str) {
        let id = request.header("attempt-id").expect("request has an attempt id");
        self.write(&format!("HTTP/1.1 {status} X\r\nattempt-id: {id}\r\n{headers}\r\n")).await;
    }

    /// Sends the head of an event stream.
    pub async fn send_stream_head(&mut self, request: &Message, stamp: &str) {
        let headers = format!(
            "server-stamp: {stamp}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        );
        self.send_head(request, 200, &headers).await;
    }

    /// Sends a chunk of a chunked body.
    pub async fn send_chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len())).await;
    }

    /// Ends a chunked body.
    pub async fn send_last_chunk(&mut self) {
        self.write("0\r\n\r\n").await;
    }

    /// Reads a complete request.
    pub async fn read_request(&mut self) -> Message {
        let mut message = self.read_head().await;
        message.body = self.read_body(&message).await.expect("complete body");
        message
    }

    /// Reads a complete request; `None` if the connection has ended.
    pub async fn next_request(&mut self) -> Option<Message> {
        let head = self.read_until("\r\n\r\n").await?;
        let mut message = Message::parse_head(&head);
        message.body = self.read_body(&message).await?;
        Some(message)
    }

    /// Reads a complete response.
    pub async fn read_response(&mut self) -> Message {
        self.read_request().await
    }

    /// Reads the head of a request or a response.
    pub async fn read_head(&mut self) -> Message {
        let head = self.read_until("\r\n\r\n").await.expect("complete head");
        Message::parse_head(&head)
    }

    /// Reads a chunk of a chunked body; `None` for the last one.
    pub async fn read_chunk(&mut self) -> Option<String> {
        let size = self.read_until("\r\n").await.expect("chunk size line");
        let size = usize::from_str_radix(&size, 16).expect("hexadecimal chunk size");
        let mut text = self.read_exact(size + 2).await.expect("complete chunk");
        text.truncate(size);
        (size > 0).then_some(text)
    }

    /// Reads until the connection ends.
    pub async fn read_to_end(&mut self) -> String {
        while self.read_more().await {}
        String::from_utf8(std::mem::take(&mut self.buffer)).expect("UTF-8 text")
    }

    /// Waits until the peer closes or resets the connection, and asserts that it sends nothing before.
    pub async fn expect_closed(&mut self) {
        assert_eq!(self.read_to_end().await, "");
    }

    /// Reads `length` bytes, or fewer if the connection ends.
    pub async fn read_up_to(&mut self, length: usize) -> String {
        while self.buffer.len() < length && self.read_more().await {}
        let length = length.min(self.buffer.len());
        String::from_utf8(self.buffer.drain(..length).collect()).expect("UTF-8 text")
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("set socket option");
    }

    async fn read_body(&mut self, message: &Message) -> Option<String> {
        if message.header("transfer-encoding") == Some("chunked") {
            let mut body = String::new();
            while let Some(chunk) = self.read_chunk().await {
                body.push_str(&chunk);
            }
            return Some(body);
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.read_exact(length).await
    }

    /// Reads up to and including `mark` and returns the text before it; `None` if the connection ends first.
    async fn read_until(&mut self, mark: &str) -> Option<String> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|window| window == mark.as_bytes());
            if let Some(position) = found {
                let text = self.read_exact(position + mark.len()).await?;
                return Some(text[..position].to_owned());
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if !self.read_more().await {
                return None;
            }
        }
        let text = self.buffer.drain(..length).collect();
        Some(String::from_utf8(text).expect("UTF-8 text"))
    }

    /// Reads into the buffer; false if the connection has been closed or reset.
    async fn read_more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..))
    }
}
