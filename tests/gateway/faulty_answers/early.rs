//! Answers to uploads that upstreams send before they have read the whole request.
//!
//! The gateway is stopped while an upstream answers, so that it finds the answer and the reset at the same moment,
//! and its next write fails between two reads.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainService, RequestLimits};
use serde_json::json;
use socket2::SockRef;

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Answer, End, Request},
    faulty_answers::{REGISTRATION_MS, streams::events},
    pause_ms,
    site::{KEY, Site},
    unreachable_upstreams::partitioned_site,
};

/// Length of an upload, more than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;
/// Receive buffer of an upstream.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1_024;
/// Length of the part of an upload that an upstream reads after its head.
const READ_BYTES: usize = 512 * 1_024;
/// Time in which what was sent arrives.
const SETTLING_MS: u64 = 50;
/// Timeout of the routes, and time for all else that must happen: much more than it takes on a busy machine.
const TIMEOUT_MS: u64 = 30_000;

/// How an upstream ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// Resets it.
    Reset,
    /// Ends its sending side, and resets the connection when that has arrived.
    CloseThenReset,
    /// Ends its sending side, and reads the rest of the upload.
    CloseAndReadOn,
    /// Reads the rest of the upload.
    ReadOn,
}

/// What an upstream sends before it has read the request.
#[derive(Debug, Clone)]
struct EarlyAnswer {
    text: String,
    end: ConnectionEnd,
    /// Whether it reads some of the upload first, which makes room for more.
    reads_on: bool,
}

impl EarlyAnswer {
    fn resets(text: String) -> EarlyAnswer {
        EarlyAnswer {
            text,
            end: ConnectionEnd::Reset,
            reads_on: true,
        }
    }
}

/// A request as an upstream sees it.
#[derive(Debug, Clone)]
struct Upload {
    id: String,
    /// Number of times that it arrived before.
    earlier: usize,
    /// The event after which a stream goes on, if the request names one.
    last_event_id: u64,
    body_bytes: u64,
}

/// What an upstream replies to an upload.
enum UploadReply {
    /// Answers while the gateway is stopped.
    Early(EarlyAnswer),
    /// Reads the whole request, then sends this.
    Late(String),
}

/// An upload whose upstream waits until the gateway is stopped.
struct Arrival {
    may_answer: Sender<()>,
    answered: Receiver<()>,
}

/// Upstreams that share their reply and their counts.
struct Uploads {
    addresses: Vec<SocketAddr>,
    arrivals: Receiver<Arrival>,
    counts: Arc<Mutex<HashMap<String, usize>>>,
}

impl Uploads {
    /// Starts `count` upstreams.
    fn start(count: usize, reply: fn(&Upload) -> UploadReply) -> Uploads {
        let (sender, arrivals) = channel();
        let counts: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let addresses = (0..count).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
            let buffer = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
            buffer.expect("the size can be set");
            let address = listener.local_addr().expect("it is bound");
            let (sender, counts) = (sender.clone(), counts.clone());
            thread::spawn(move || {
                while let Ok((connection, _)) = listener.accept() {
                    let (sender, counts) = (sender.clone(), counts.clone());
                    // A broken connection is an error for the gateway to handle.
                    thread::spawn(move || serve(connection, reply, &sender, &counts).ok());
                }
            });
            address
        });
        Uploads {
            addresses: addresses.collect(),
            arrivals,
            counts,
        }
    }

    /// Returns the number of times that a request arrived.
    fn count(&self, id: &str) -> usize {
        let counts = self.counts.lock().expect("no upstream panics");
        counts.get(id).copied().unwrap_or(0)
    }

    /// Sends a request to a gateway, and stops the gateway while each upstream answers early.
    fn send(&self, site: &Site, gateway: usize, request: &Request<'_>) -> Answer {
        let body = request.id.clone() + &"x".repeat(UPLOAD_BYTES);
        let request = Request {
            body: &body,
            timeout_ms: TIMEOUT_MS,
            deadline_ms: TIMEOUT_MS,
            ..request.clone()
        };
        thread::scope(|scope| {
            let caller = scope.spawn(|| request.send(site.gateway(gateway)));
            while !caller.is_finished() {
                let Ok(arrival) = (self.arrivals).recv_timeout(Duration::from_millis(20)) else {
                    continue;
                };
                site.signal(gateway, "STOP");
                arrival.may_answer.send(()).expect("the upstream waits");
                let answered = arrival
                    .answered
                    .recv_timeout(Duration::from_millis(TIMEOUT_MS));
                site.signal(gateway, "CONT");
                answered.expect("the upstream answers");
            }
            caller.join().expect("the caller does not panic")
        })
    }
}

/// Reads the head of a request, and counts it; `None` at the end of the connection, or if it is no upload.
fn read_upload(
    connection: &mut TcpStream,
    counts: &Mutex<HashMap<String, usize>>,
) -> std::io::Result<Option<Upload>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if connection.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let value = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let named = lines.find(|(key, _)| *key == name);
        named.map(|(_, value)| value.to_owned())
    };
    let number = |name: &str| value(name).and_then(|text| text.parse().ok());
    let Some(id) = value("jacinthpoint-attempt-id") else {
        return Ok(None);
    };
    let mut counts = counts.lock().expect("no upstream panics");
    let count = counts.entry(id.clone()).or_default();
    *count += 1;
    Ok(Some(Upload {
        id,
        earlier: *count - 1,
        last_event_id: number("last-event-id").unwrap_or(0),
        body_bytes: number("content-length").unwrap_or(0),
    }))
}

/// Serves the requests of a connection.
fn serve(
    mut connection: TcpStream,
    reply: fn(&Upload) -> UploadReply,
    arrivals: &Sender<Arrival>,
    counts: &Mutex<HashMap<String, usize>>,
) -> std::io::Result<()> {
    while let Some(upload) = read_upload(&mut connection, counts)? {
        let mut left_bytes = upload.body_bytes;
        let mut text_after = String::new();
        match reply(&upload) {
            UploadReply::Early(answer) => {
                if answer.reads_on {
                    connection.read_exact(&mut vec![0; READ_BYTES])?;
                    left_bytes -= READ_BYTES as u64;
                }
                let (may_answer, is_stopped) = channel();
                let (has_answered, answered) = channel();
                let arrival = Arrival {
                    may_answer,
                    answered,
                };
                arrivals.send(arrival).expect("the test waits");
                is_stopped.recv().expect("the test waits");
                let rest = answer_early(connection, &answer);
                has_answered.send(()).expect("the test waits");
                let Some(rest) = rest? else {
                    return Ok(());
                };
                connection = rest;
            }
            UploadReply::Late(text) => text_after = text,
        }
        let mut body = Read::take(&mut connection, left_bytes);
        std::io::copy(&mut body, &mut std::io::sink())?;
        connection.write_all(text_after.as_bytes())?;
    }
    Ok(())
}

/// Sends an answer and ends the connection as the answer says. Returns the connection if the upstream reads on.
fn answer_early(
    mut connection: TcpStream,
    answer: &EarlyAnswer,
) -> std::io::Result<Option<TcpStream>> {
    connection.write_all(answer.text.as_bytes())?;
    match answer.end {
        ConnectionEnd::ReadOn => return Ok(Some(connection)),
        ConnectionEnd::CloseAndReadOn => {
            connection.shutdown(Shutdown::Write)?;
            return Ok(Some(connection));
        }
        ConnectionEnd::CloseThenReset => {
            connection.shutdown(Shutdown::Write)?;
            pause_ms(SETTLING_MS);
        }
        ConnectionEnd::Reset => {}
    }
    SockRef::from(&connection).set_linger(Some(Duration::ZERO))?;
    drop(connection);
    pause_ms(SETTLING_MS);
    Ok(None)
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Unframed,
    Length,
    Chunks,
}

impl Framing {
    /// Returns the framing that a request's id names at its end.
    fn of(upload: &Upload) -> Framing {
        match upload.id.rsplit('-').next() {
            Some("length") => Framing::Length,
            Some("chunks") => Framing::Chunks,
            _ => Framing::Unframed,
        }
    }

    /// Returns an answer with this body, or with this start of a body whose rest does not come.
    fn answer(self, upload: &Upload, body: &str, rest_bytes: usize) -> String {
        let id = &upload.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\njacinthpoint-attempt-id: {id}\r\njacinthpoint-server-seal: seal\r\n\
             gateway-forwarded-answer: 1\r\ncontent-type: text/event-stream\r\n"
        );
        let length = body.len();
        match self {
            Framing::Unframed => format!("{head}\r\n{body}"),
            Framing::Length => {
                let length = length + rest_bytes;
                format!("{head}content-length: {length}\r\n\r\n{body}")
            }
            Framing::Chunks => {
                let end = if rest_bytes == 0 { "0\r\n\r\n" } else { "" };
                let chunk = format!("{length:x}\r\n{body}\r\n{end}");
                format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}")
            }
        }
    }
}

/// Returns the next of four events, as an answer that breaks off.
fn broken_answer(upload: &Upload) -> EarlyAnswer {
    let framing = Framing::of(upload);
    let next = upload.last_event_id + 1;
    EarlyAnswer::resets(framing.answer(upload, &events(next..=next), 20))
}

/// Returns the rest of four events, and the framing of a whole answer.
fn whole_answer(upload: &Upload) -> String {
    Framing::Length.answer(upload, &events(upload.last_event_id + 1..=4), 0)
}

/// Returns a site with one gateway and these upstreams, three of the plain service, that takes uploads.
fn upload_site(uploads: &Uploads) -> Site {
    let site = Site::start(1);
    for (id, address) in PlainService::IDS.into_iter().zip(&uploads.addresses) {
        let entry = json!({ "service": "plain", "addr": address.to_string(), "zone": "dc-1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 2, "born": 2 });
        site.platform.store.put(paths::UPSTREAM_KIND, id, entry);
    }
    allow_uploads(&site);
    pause_ms(REGISTRATION_MS);
    site
}

/// Writes a configuration that allows uploads, and the time that they take.
fn allow_uploads(site: &Site) {
    let limits = RequestLimits {
        max_body_bytes: 2 * UPLOAD_BYTES,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], TIMEOUT_MS, limits);
    let store = &site.platform.store;
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("there is one");
    config["version"] = json!(config["version"].as_u64().expect("it is a number") + 1);
    for route in config["routes"].as_array_mut().expect("it is a list") {
        // An upload that takes long is no stalled attempt.
        route["slo_ms"] = json!(TIMEOUT_MS);
    }
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    pause_ms(CONFIG_APPLY_MS);
}

fn request(path: &'static str, id: &str) -> Request<'static> {
    Request {
        path,
        ..Request::once(id)
    }
}

/// Defines tests of uploads whose answer breaks off with a reset: name, framing of the answer, whether the
/// upstream reads some of the upload after the head.
macro_rules! reset_within_the_upload {
    ($($name:ident: $framing:literal, reads on $reads_on:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let uploads = Uploads::start(PlainService::IDS.len(), |upload| {
                    let broken = match upload.id.split('-').next() {
                        Some("again") => 1,
                        // The stream, and what comes first of its rest.
                        Some("resumed") => 2,
                        _ => usize::MAX,
                    };
                    if upload.earlier >= broken {
                        return UploadReply::Late(whole_answer(upload));
                    }
                    let reads_on = $reads_on;
                    UploadReply::Early(EarlyAnswer { reads_on, ..broken_answer(upload) })
                });
                let site = upload_site(&uploads);
                let paths = ["/once/", "/again/", "/events/", "/resumed/"];
                let ends = paths.map(|path| {
                    let id = format!("{}-{}", path.trim_matches('/'), $framing);
                    let answer = uploads.send(&site, 0, &request(path, &id));
                    let has_all = answer.text() == events(1..=4);
                    (path, answer.status, answer.end, has_all, uploads.count(&id))
                });
                let expected = [
                    ("/once/", 502, End::Whole, false, 1),
                    ("/again/", 200, End::Whole, true, 2),
                    ("/events/", 200, End::Broken, false, 1),
                    ("/resumed/", 200, End::Whole, true, 3),
                ];
                assert_eq!(ends, expected);
            }
        )+
    };
}

// Guards against broken answers that look whole: a write of the upload that fails takes the reset with it, and the
// next read finds the end of the stream.
reset_within_the_upload! {
    unframed_answer_that_is_reset_within_the_upload_is_not_whole: "unframed", reads on true;
    unframed_answer_that_is_reset_beside_an_unread_upload_is_not_whole: "unframed", reads on false;
    answer_with_a_length_that_is_reset_within_the_upload_is_not_whole: "length", reads on true;
    answer_in_chunks_that_is_reset_within_the_upload_is_not_whole: "chunks", reads on true;
}

/// Body that takes several reads, and fits a receive buffer.
fn long_body() -> String {
    events(1..=1_000)
}

/// Defines tests of uploads that are answered whole before they were read: name, framing of the answer, end of the
/// connection.
macro_rules! whole_before_the_upload {
    ($($name:ident: $framing:literal, $end:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let uploads = Uploads::start(PlainService::IDS.len(), |upload| {
                    let text = Framing::of(upload).answer(upload, &long_body(), 0);
                    UploadReply::Early(EarlyAnswer { end: $end, ..EarlyAnswer::resets(text) })
                });
                let site = upload_site(&uploads);
                for path in ["/once/", "/again/", "/events/", "/resumed/"] {
                    let id = format!("{}-{}", path.trim_matches('/'), $framing);
                    let answer = uploads.send(&site, 0, &request(path, &id));
                    assert_eq!((answer.status, answer.end), (200, End::Whole), "{path}");
                    assert_eq!(answer.text(), long_body(), "{path}");
                    assert_eq!(uploads.count(&id), 1, "{path}");
                }
            }
        )+
    };
}

// Guards against whole answers that are lost because the rest of the upload could not be written.
whole_before_the_upload! {
    unframed_answer_that_is_closed_before_the_reset_is_whole: "unframed", ConnectionEnd::CloseThenReset;
    answer_with_a_length_that_arrives_before_the_reset_is_whole: "length", ConnectionEnd::Reset;
    answer_in_chunks_that_arrives_before_the_reset_is_whole: "chunks", ConnectionEnd::Reset;
    unframed_answer_of_an_upstream_that_reads_on_is_whole: "unframed", ConnectionEnd::CloseAndReadOn;
    answer_with_a_length_of_an_upstream_that_reads_on_is_whole: "length", ConnectionEnd::ReadOn;
    answer_in_chunks_of_an_upstream_that_reads_on_is_whole: "chunks", ConnectionEnd::ReadOn;
}

/// Guards against broken answers that look whole: a gateway that a request was forwarded to resets its connection
/// within the upload.
#[test]
fn forwarded_upload_whose_answer_is_reset_gets_no_whole_success() {
    let uploads = Uploads::start(1, |upload| UploadReply::Early(broken_answer(upload)));
    let (mut site, partitioned) = partitioned_site();
    let others: Vec<usize> = (0..3).filter(|index| *index != partitioned).collect();
    others.into_iter().for_each(|index| site.kill(index));
    let registration = json!({ "data_centre": "dc-9", "address": uploads.addresses[0].to_string(),
        "core_permille": 1, "link_kbps": 1, "takes_forwarded": true });
    site.platform.store.put("gateways", "faulty", registration);
    allow_uploads(&site);
    for framing in ["unframed", "length", "chunks"] {
        let id = format!("forwarded-{framing}");
        let answer = uploads.send(&site, partitioned, &request("/once/", &id));
        let is_broken = (answer.status, answer.end) == (200, End::Broken);
        let is_failed = (answer.status, answer.end) == (502, End::Whole);
        assert!(
            is_broken || is_failed,
            "{framing}: {} {:?}",
            answer.status,
            answer.end
        );
        assert_eq!(uploads.count(&id), 1, "{framing}");
    }
}
