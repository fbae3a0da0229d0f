//! HTTP by hand, so that tests can break it where they like.

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
    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
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

/// A connection of either side.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).expect("an option");
        Connection { stream, buffer: Vec::new() }
    }

    pub async fn open(address: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(address).await.expect("a connection"))
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("a write");
    }

    /// Sends a request with a body.
    pub async fn request(&mut self, path: &str, attempt_id: &str, body: &str) {
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: {attempt_id}\r\ndeadline-ms: 8000\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        self.write(&request).await;
    }

    /// Sends requests without bodies in one write, before any of them is answered.
    pub async fn pipeline(&mut self, path: &str, attempt_ids: &[&str]) {
        let request = |id: &&str| {
            format!(
                "POST {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
            )
        };
        let requests: String = attempt_ids.iter().map(request).collect();
        self.write(&requests).await;
    }

    /// Answers a request with a complete success.
    pub async fn respond(&mut self, request: &Message, body: &str) {
        let length = body.len();
        self.head(request, 200, &format!("server-stamp: st\r\ncontent-length: {length}\r\n")).await;
        self.write(body).await;
    }

    /// Begins a response; `headers` are complete lines.
    pub async fn head(&mut self, request: &Message, status: u16, headers: &str) {
        let id = request.header("attempt-id").expect("an id");
        self.write(&format!("HTTP/1.1 {status} X\r\nattempt-id: {id}\r\n{headers}\r\n")).await;
    }

    /// Begins a stream.
    pub async fn stream_head(&mut self, request: &Message, stamp: &str) {
        let headers = format!(
            "server-stamp: {stamp}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        );
        self.head(request, 200, &headers).await;
    }

    /// Writes one chunk.
    pub async fn chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len())).await;
    }

    /// Ends a body in chunks.
    pub async fn end_chunks(&mut self) {
        self.write("0\r\n\r\n").await;
    }

    /// Reads a complete request.
    pub async fn read_request(&mut self) -> Message {
        let mut message = self.read_head().await;
        message.body = self.read_body(&message).await.expect("a whole body");
        message
    }

    /// Reads a complete request; `None` once the connection has ended.
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

    /// Reads a head.
    pub async fn read_head(&mut self) -> Message {
        let head = self.read_until("\r\n\r\n").await.expect("a whole head");
        Message::parse_head(&head)
    }

    /// Reads one chunk; `None` for the last.
    pub async fn read_chunk(&mut self) -> Option<String> {
        let size = self.read_until("\r\n").await.expect("a chunk");
        let size = usize::from_str_radix(&size, 16).expect("the size of a chunk");
        let mut text = self.read_exact(size + 2).await.expect("a whole chunk");
        text.truncate(size);
        (size > 0).then_some(text)
    }

    /// What comes until the end of the connection.
    pub async fn read_rest(&mut self) -> String {
        while self.fill().await {}
        String::from_utf8(std::mem::take(&mut self.buffer)).expect("text")
    }

    /// Waits until the other side has closed or reset the connection, without a byte before.
    pub async fn closed(&mut self) {
        assert_eq!(self.read_rest().await, "");
    }

    /// Reads so many bytes, or what comes before the end of the connection.
    pub async fn read_up_to(&mut self, length: usize) -> String {
        while self.buffer.len() < length && self.fill().await {}
        let length = length.min(self.buffer.len());
        String::from_utf8(self.buffer.drain(..length).collect()).expect("text")
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("an option");
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

    /// The text before a mark, which is taken too; `None` if the connection ends first.
    async fn read_until(&mut self, mark: &str) -> Option<String> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|window| window == mark.as_bytes());
            if let Some(position) = found {
                let text = self.read_exact(position + mark.len()).await?;
                return Some(text[..position].to_owned());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            if !self.fill().await {
                return None;
            }
        }
        let text = self.buffer.drain(..length).collect();
        Some(String::from_utf8(text).expect("text"))
    }

    /// Reads more; `false` at the end, be it proper or a reset.
    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..))
    }
}
