//! Bad input from callers: a clear error, nothing run, nothing of another organisation, and other
//! callers served meanwhile.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use jacinthpoint_platform::{Platform, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use serde_json::{Value, json};

use crate::util::{KEYS, LoneNode, Process};

mod connections;

/// Time for an answer, or for a connection to be closed.
const END_DEADLINE_MS: u64 = 30_000;

/// A node without upstreams, whose deployment and service belong to the first organisation.
struct Target {
    node: LoneNode,
    _platform: Process,
}

/// Open files of a node of which a test uses up all.
const FEW_OPEN_FILES: u32 = 64;

impl Target {
    fn start(limits: &str) -> Target {
        Target::start_by(|platform| LoneNode::start(platform, limits))
    }

    /// As [`Target::start`], with a node that may have [`FEW_OPEN_FILES`].
    fn with_few_open_files() -> Target {
        Target::start_by(|platform| LoneNode::with_open_files(platform, FEW_OPEN_FILES))
    }

    fn start_by(start: impl FnOnce(SocketAddr) -> LoneNode) -> Target {
        let (platform, address) = Process::standin(&["platform"]);
        let organisation = |(name, key): (&str, &str)| {
            let digest = key_digest(key).to_string();
            json!({ "schema": 2, "kind": "organisation", "name": name, "key_sha256": [digest] })
        };
        let mut records: Vec<Value> = KEYS.into_iter().map(organisation).collect();
        let owners = [KEYS[0].0];
        records.push(json!({
            "schema": 2, "kind": "deployment", "name": "desk", "model": "jp-model",
            "version": "v1", "replicas": 1, "organisations": owners,
        }));
        records.push(json!({
            "schema": 2, "kind": "service", "name": "enquiries", "organisations": owners,
        }));
        let written = Platform::new(address).update(
            CONFIG_KIND,
            CONFIG_NAME,
            Version(0),
            &RecordsObject { records },
        );
        written.expect("the platform accepts");
        Target {
            node: start(address),
            _platform: platform,
        }
    }

    /// What the node answers to these bytes until it closes the connection.
    fn answer_to(&self, bytes: &[u8]) -> String {
        let mut connection = connect(self.node.callers);
        // The node may refuse and close before it has all.
        let _ = connection.write_all(bytes);
        let _ = connection.shutdown(Shutdown::Write);
        read_to_end(&mut connection)
    }

    fn assert_serves(&self) {
        let answer = self.answer_to(models_request(KEYS[0].1).as_bytes());
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

fn connect(node: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(node).expect("the node accepts");
    let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
    connection.set_read_timeout(timeout).expect("a timeout");
    connection
}

fn read_to_end(connection: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    match connection.read_to_end(&mut answer) {
        Ok(_) => String::from_utf8(answer).expect("answers are UTF-8"),
        Err(error) => panic!("{error} after {:?}", String::from_utf8_lossy(&answer)),
    }
}

fn models_request(key: &str) -> String {
    format!("GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {key}\r\n\r\n")
}

/// A completion request with the first organisation's key, these header lines and this body.
fn completion(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\n{headers}\r\n",
        KEYS[0].1
    );
    [head.as_bytes(), body].concat()
}

fn sized(body: &[u8]) -> Vec<u8> {
    completion(&format!("content-length: {}\r\n", body.len()), body)
}

/// One answer, whole and in the form that every refusal has.
fn assert_refused(answer: &str, status: u16, code: u64) {
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let status_line = format!("HTTP/1.1 {status} ");
    assert!(head.starts_with(&status_line), "{answer}");
    assert!(head.contains("x-outcome: not-run"), "{answer}");
    let body: Value = serde_json::from_str(body).expect("exactly one JSON body follows");
    assert_eq!(body["error"]["code"], code, "{answer}");
    let has_retry_after = head.contains("retry-after: ");
    assert_eq!(has_retry_after, (2_000..3_000).contains(&code), "{answer}");
    for (organisation, key) in KEYS {
        assert!(!answer.contains(organisation), "{answer}");
        assert!(!answer.contains(key), "{answer}");
    }
}

/// Bytes of a request, the status and the result code of its refusal. Whatever follows the
/// refused request on the connection must not be answered.
macro_rules! refused {
    ($($name:ident: $bytes:expr => $status:expr, $code:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let target = Target::start("");
                let bytes: Vec<u8> = $bytes.into();
                let bytes = [&bytes[..], models_request(KEYS[0].1).as_bytes()].concat();
                assert_refused(&target.answer_to(&bytes), $status, $code);
                target.assert_serves();
            }
        )+
    };
}

refused! {
    garbage: "no request at all\r\n\r\n" => 400, 1001;
    tls_hello: [0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3] => 400, 1001;
    http2_preface: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" => 400, 1001;
    oversized_head: format!("GET / HTTP/1.1\r\nhost: n\r\nx: {}\r\n\r\n", "a".repeat(40_000))
        => 413, 1005;
    oversized_target: format!("GET /{} HTTP/1.1\r\n", "a".repeat(40_000)) => 413, 1005;
    too_many_headers: format!("GET / HTTP/1.1\r\nhost: n\r\n{}\r\n", "x: y\r\n".repeat(100))
        => 413, 1005;
    oversized_body: completion("content-length: 9000000\r\n", &[b'a'; 9_000_000]) => 413, 1005;
    length_beyond_integers: completion("content-length: 99999999999999999999999\r\n", b"{}")
        => 413, 1005;
    length_with_plus: completion("content-length: +2\r\n", b"{}") => 400, 1001;
    length_with_minus: completion("content-length: -2\r\n", b"{}") => 400, 1001;
    length_in_hexadecimal: completion("content-length: 0x2\r\n", b"{}") => 400, 1001;
    length_as_list: completion("content-length: 2, 2\r\n", b"{}") => 400, 1001;
    length_empty: completion("content-length:\r\n", b"{}") => 400, 1001;
    two_equal_lengths: completion("content-length: 2\r\ncontent-length: 2\r\n", b"{}")
        => 400, 1001;
    two_different_lengths: completion("content-length: 2\r\nContent-Length: 9\r\n", b"{}")
        => 400, 1001;
    chunked: completion("transfer-encoding: chunked\r\n", b"0\r\n\r\n") => 400, 1001;
    chunked_with_length:
        completion("content-length: 5\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n")
        => 400, 1001;
    chunked_misspelt: completion("transfer-encoding: xchunked\r\ncontent-length: 2\r\n", b"{}")
        => 400, 1001;
    space_before_colon: completion("transfer-encoding : chunked\r\ncontent-length: 2\r\n", b"{}")
        => 400, 1001;
    folded_header: completion("x-folded: a\r\n b\r\ncontent-length: 2\r\n", b"{}") => 400, 1001;
    bare_line_feed: format!("GET /v1/models HTTP/1.1\nhost: n\nauthorization: Bearer {}\n\n",
        KEYS[0].1) => 400, 1001;
    one_bare_line_feed: completion("x-a: b\ncontent-length: 2\r\n", b"{}") => 400, 1001;
    bare_carriage_return: completion("x-a: b\rcontent-length: 2\r\n", b"{}") => 400, 1001;
    nul_in_header: completion("x-a: \0\r\n", b"") => 400, 1001;
    header_not_utf8: [&completion("", b"")[..40], b"x-a: \xff\xfe\r\n\r\n"].concat()
        => 400, 1001;
    no_host: "GET /v1/models HTTP/1.1\r\n\r\n" => 400, 1001;
    two_hosts: "GET /v1/models HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n" => 400, 1001;
    two_keys: completion("authorization: Bearer key-tongyeong\r\ncontent-length: 0\r\n", b"")
        => 400, 1001;
    two_idempotency_keys: completion("idempotency-key: a\r\nidempotency-key: b\r\n", b"")
        => 400, 1001;
    two_repeatable_marks: completion("x-repeatable: true\r\nX-Repeatable: false\r\n", b"")
        => 400, 1001;
    absolute_target: "GET http://n/v1/models HTTP/1.1\r\nhost: n\r\n\r\n" => 400, 1001;
    connect_method: "CONNECT n:80 HTTP/1.1\r\nhost: n\r\n\r\n" => 405, 1008;
    unknown_method: "BREW /v1/models HTTP/1.1\r\nhost: n\r\n\r\n" => 405, 1008;
    head_method: "HEAD /v1/models HTTP/1.1\r\nhost: n\r\n\r\n" => 405, 1008;
    method_in_lower_case: "get /v1/models HTTP/1.1\r\nhost: n\r\n\r\n" => 405, 1008;
}

/// As `refused!`, for requests whose end is known, so that the connection may go on.
macro_rules! answered_with {
    ($($name:ident: $bytes:expr => $status:expr, $code:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let target = Target::start("");
                let bytes: Vec<u8> = $bytes.into();
                assert_refused(&target.answer_to(&bytes), $status, $code);
                target.assert_serves();
            }
        )+
    };
}

answered_with! {
    missing_key: "GET /v1/models HTTP/1.1\r\nhost: n\r\n\r\n" => 401, 1002;
    wrong_key: models_request("key") => 401, 1002;
    empty_key: models_request("") => 401, 1002;
    digest_as_key: models_request(&key_digest(KEYS[0].1).to_string()) => 401, 1002;
    other_scheme: models_request(KEYS[0].1).replace("Bearer", "Basic") => 401, 1002;
    unknown_path: models_request(KEYS[0].1).replace("/v1/models", "/v2/models") => 404, 1004;
    wrong_method: models_request(KEYS[0].1).replace("GET", "POST") => 405, 1008;
    body_not_utf8: sized(b"{\"model\": \"\xff\xfe\"}") => 400, 1001;
    body_not_json: sized(b"model=jp-model") => 400, 1001;
    body_cut_short: sized(b"{\"model\": \"jp-mod") => 400, 1001;
    body_nested_deeply: sized(&[b'['; 100_000]) => 400, 1001;
    body_empty: sized(b"") => 400, 1001;
    body_an_array: sized(b"[]") => 400, 1001;
    no_model: sized(b"{}") => 400, 1001;
    model_not_a_text: sized(b"{\"model\": 7}") => 400, 1001;
    stream_not_a_bool: sized(b"{\"model\": \"jp-model\", \"stream\": \"yes\"}") => 400, 1001;
    unknown_model: sized(b"{\"model\": \"no-such\"}") => 404, 1004;
    request_id_not_a_uuid: completion("x-request-id: 7\r\n", b"") => 400, 1001;
    priority_unknown: completion("x-priority: urgent\r\n", b"") => 400, 1001;
    repeatable_unknown: completion("x-repeatable: yes\r\n", b"") => 400, 1001;
    deadline_not_a_number: completion("x-deadline-unix-ms: soon\r\n", b"") => 400, 1001;
    deadline_passed: completion("x-deadline-unix-ms: 1\r\n", b"") => 503, 2003;
    unknown_service: models_request(KEYS[0].1).replace("/v1/models", "/services/no/x")
        => 404, 1004;
}

/// Another organisation's model and service look just like ones that do not exist.
#[test]
fn nothing_of_another_organisation_is_shown() {
    let target = Target::start("");
    let foreign = KEYS[1].1;
    let models = target.answer_to(models_request(foreign).as_bytes());
    assert!(models.contains("\"data\":[]"), "{models}");
    for (real, invented) in [("jp-model", "no-model"), ("desk", "none")] {
        let ask = |model: &str| {
            let body = json!({ "model": model }).to_string();
            let bytes = String::from_utf8(sized(body.as_bytes())).expect("UTF-8");
            let answer = target.answer_to(bytes.replace(KEYS[0].1, foreign).as_bytes());
            let answer = answer.replace(model, "MODEL");
            answer.split_once("\r\n\r\n").expect("a head").1.to_owned()
        };
        assert_eq!(ask(real), ask(invented));
    }
    let ask = |service: &str| {
        let path = format!("/services/{service}/x");
        let request = models_request(foreign).replace("/v1/models", &path);
        let answer = target.answer_to(request.as_bytes());
        answer.replace(service, "SERVICE")
    };
    assert_eq!(ask("enquiries"), ask("registers"));
}

/// Operators see what is refused, also where no organisation is known.
#[test]
fn refusals_are_counted_by_code() {
    let target = Target::start("");
    for _ in 0..3 {
        target.answer_to(models_request("key").as_bytes());
    }
    let url = format!("http://{}/metrics", target.node.operators);
    let answer = attohttpc::get(url).send().and_then(|answer| answer.text());
    let page = answer.expect("the page");
    let line = "requests_refused{code=\"1002\",type=\"unauthenticated\"} 3\n";
    assert!(page.contains(line), "{page}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let target = Target::start("");
    let bodies = ["no-model-1", "no-model-2", "no-model-3"];
    let requests = bodies.map(|model| sized(json!({ "model": model }).to_string().as_bytes()));
    let answer = target.answer_to(&requests.concat());
    let places: Vec<_> = bodies.iter().map(|model| answer.find(model)).collect();
    assert!(places.iter().all(Option::is_some), "{answer}");
    assert!(places.is_sorted(), "{answer}");
}

#[test]
fn request_in_a_body_is_not_run() {
    let target = Target::start("");
    let answer = target.answer_to(&sized(models_request(KEYS[0].1).as_bytes()));
    assert_refused(&answer, 400, 1001);
}
