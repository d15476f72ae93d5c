//! Callers of a site.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use jacinthpoint_types::RequestId;
use serde_json::{Value, json};

/// Organisations and their callers' keys.
pub const KEYS: [(&str, &str); 2] = [
    ("coralbank", "key-coralbank"),
    ("tongyeong", "key-tongyeong"),
];

/// A call to a model, or to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    pub request: RequestId,
    pub key: &'static str,
    pub prompt: String,
    pub max_tokens: u64,
    pub stream: bool,
    /// The plain service to call, which may not be called twice.
    pub service: Option<&'static str>,
    pub headers: Vec<(&'static str, String)>,
}

/// What the caller saw.
#[derive(Debug, Clone)]
pub struct Answer {
    pub request: String,
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub text: String,
    pub body: String,
}

impl Call {
    /// A call with defaults.
    pub fn new(prompt: &str) -> Call {
        Call {
            request: RequestId::new(),
            key: KEYS[0].1,
            prompt: prompt.to_owned(),
            max_tokens: 16,
            stream: false,
            service: None,
            headers: Vec::new(),
        }
    }

    /// Sends it and reads the whole answer; the error is a failed connection.
    pub fn send(&self, node: SocketAddr) -> Result<Answer, String> {
        self.read(self.begin(node)?)
    }

    /// Sends it and reads the head of the answer.
    pub fn begin(&self, node: SocketAddr) -> Result<attohttpc::Response, String> {
        let (path, body) = self.path_and_body();
        let mut request = attohttpc::post(format!("http://{node}{path}"))
            .read_timeout(Duration::from_secs(30))
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-id", self.request.to_string());
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
            .json(&body)
            .and_then(|r| r.send())
            .map_err(|e| e.to_string())
    }

    /// Sends it and leaves after `stay`, without reading the answer.
    pub fn send_and_leave(&self, node: SocketAddr, stay: Duration) -> std::io::Result<()> {
        let (path, body) = self.path_and_body();
        let body = body.to_string();
        let mut stream = TcpStream::connect(node)?;
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\nx-request-id: {}\r\n\
             content-length: {}\r\n\r\n{body}",
            self.key,
            self.request,
            body.len()
        )?;
        std::thread::sleep(stay);
        Ok(())
    }

    fn path_and_body(&self) -> (String, Value) {
        if let Some(service) = self.service {
            let body = json!({ "text": self.prompt });
            return (format!("/services/{service}/send"), body);
        }
        let body = json!({
            "model": "jp-model",
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        });
        ("/v1/completions".to_owned(), body)
    }

    fn read(&self, answer: attohttpc::Response) -> Result<Answer, String> {
        let (status, headers, mut reader) = answer.split();
        let header = |name: &str| {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let mut body = String::new();
        reader
            .read_to_string(&mut body)
            .map_err(|error| error.to_string())?;
        let streamed = header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        let (text, outcome) = if streamed {
            read_events(&body)
        } else {
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            let text = value["choices"][0]["text"].as_str();
            let text = text.or(value["echo"].as_str());
            let text = text.unwrap_or_default().to_owned();
            (text, header("x-outcome").unwrap_or_default())
        };
        Ok(Answer {
            request: self.request.to_string(),
            status: status.as_u16(),
            outcome,
            retry_after: header("retry-after"),
            text,
            body,
        })
    }

    /// Whether it may run only once.
    pub fn is_marked(&self) -> bool {
        let marked = ("x-repeatable", "false".to_owned());
        self.service.is_some() || self.is_keyed() || self.headers.contains(&marked)
    }

    /// Whether it may be sent again.
    pub fn is_keyed(&self) -> bool {
        self.headers
            .iter()
            .any(|(name, _)| *name == "idempotency-key")
    }

    /// The text that this call must get.
    pub fn expected(&self) -> String {
        if self.service.is_some() {
            return json!({ "text": self.prompt }).to_string();
        }
        expected_text(&self.prompt, self.max_tokens)
    }
}

/// The text of the whole answer to a prompt.
pub fn expected_text(prompt: &str, max_tokens: u64) -> String {
    jacinthpoint_standins::text::answer("jp-model@v1", prompt, max_tokens)
}

fn read_events(body: &str) -> (String, String) {
    let mut text = String::new();
    let mut outcome = "cut".to_owned();
    for line in body.lines() {
        if let Some(told) = line.strip_prefix(": outcome ") {
            outcome = told.to_owned();
        }
        let Some(data) = line.strip_prefix("data: ").filter(|data| *data != "[DONE]") else {
            continue;
        };
        let event: Value = serde_json::from_str(data).expect("an event is JSON");
        if let Some(told) = event["error"]["outcome"].as_str() {
            outcome = told.to_owned();
        }
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    (text, outcome)
}
