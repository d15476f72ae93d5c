//! Servers of a plain service, which follow the platform's pages: they run a few requests at once, queue some
//! more, say that they did not run what they turn away, and write their entries at each heartbeat.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use jacinthpoint_platform_standins::Store;
use serde_json::{Value, json};

use crate::{Record, lock, read_message, sleep_ms};

/// Kind of the entries in the store.
pub const KIND: &str = "servers";
/// Time between two writes of an entry.
pub const HEARTBEAT_MS: u64 = 1_200;
/// One way to a server, as between two zones of the site.
const LINK_MS: u64 = 1;
/// Work of a request.
const WORK_MS: u64 = 120;
const SLOTS: u64 = 6;

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub server: String,
    pub at: Instant,
    /// Status of the answer; 0 without one, since the server ended before.
    pub status: u16,
}

/// What a server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It runs them.
    Serves,
    /// It has ended.
    Ended,
}

/// One server.
pub struct Server {
    pub id: String,
    address: SocketAddr,
    mode: Mutex<Mode>,
    born: u64,
    seq: AtomicU64,
    state: Mutex<&'static str>,
    is_listed: AtomicBool,
    running: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    store: Store,
    record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Time of the last heartbeat.
    beat_at: Mutex<Instant>,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    /// Starts a server and writes its first entry.
    pub fn start(
        id: &str,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            mode: Mutex::new(Mode::Serves),
            born: unix_ms(),
            seq: AtomicU64::new(0),
            state: Mutex::new("ready"),
            is_listed: AtomicBool::new(true),
            running: AtomicU64::new(0),
            connections: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            arrivals: arrivals.clone(),
            beat_at: Mutex::new(Instant::now()),
        });
        server.publish();
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(HEARTBEAT_MS);
                *lock(&beating.beat_at) = Instant::now();
                if beating.mode() != Mode::Ended {
                    beating.publish();
                }
            }
        });
        let accepting = server.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if accepting.mode() == Mode::Ended {
                    drop(stream);
                    continue;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    lock(&accepting.connections).push(copy);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    pub fn mode(&self) -> Mode {
        *lock(&self.mode)
    }

    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.mode) = mode;
        if mode == Mode::Ended {
            for stream in lock(&self.connections).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Begins to leave: the server says so in its entry and in all its answers.
    pub fn drain(&self) {
        *lock(&self.state) = "draining";
        self.publish();
    }

    /// Returns the time since the last heartbeat, in milliseconds.
    pub fn since_beat_ms(&self) -> u64 {
        lock(&self.beat_at).elapsed().as_millis() as u64
    }

    /// Ends the server, which removes its entry.
    pub fn leave(&self) {
        self.is_listed.store(false, Ordering::Relaxed);
        self.set_mode(Mode::Ended);
        self.store.remove(KIND, &self.id);
    }

    /// Returns what the server writes into its entry now.
    pub fn entry(&self) -> Value {
        json!({ "service": "plain", "addr": self.address.to_string(), "zone": "zone-a", "version": "v1",
            "slots": SLOTS, "state": *lock(&self.state), "cold_left_ms": 0, "stage": "unified", "models": [],
            "seq": self.seq.fetch_add(1, Ordering::Relaxed), "born": self.born })
    }

    fn publish(&self) {
        if self.is_listed.load(Ordering::Relaxed) {
            self.store.put(KIND, &self.id, self.entry());
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_message(&mut stream) {
            sleep_ms(LINK_MS);
            let mode = self.mode();
            if mode == Mode::Ended {
                return;
            }
            let id = request
                .field("jacinthpoint-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let at = Instant::now();
            let is_other = request
                .field("jacinthpoint-target-instance")
                .is_some_and(|named| named != self.id);
            let is_full = self.running.load(Ordering::Relaxed) >= 5 * SLOTS;
            let (status, fields, body) = match () {
                () if is_other => (421, "Jacinthpoint-Not-Executed: 1\r\n".to_owned(), ""),
                () if is_full => (503, "Jacinthpoint-Not-Executed: 1\r\n".to_owned(), ""),
                () => {
                    let waiting = self.running.fetch_add(1, Ordering::Relaxed) / SLOTS;
                    sleep_ms(WORK_MS * (1 + waiting));
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    (
                        200,
                        format!("Jacinthpoint-Server-Seal: seal.{}\r\n", self.id),
                        "the answer",
                    )
                }
            };
            let status = if self.mode() == Mode::Ended {
                0
            } else {
                status
            };
            lock(&self.arrivals).push(Arrival {
                id: id.clone(),
                server: self.id.clone(),
                at,
                status,
            });
            if status == 0 {
                self.record.say(format!(
                    "{id} reached {}, which ended while it ran",
                    self.id
                ));
                return;
            }
            self.record.say(format!(
                "{id} reached {} and was answered {status}",
                self.id
            ));
            let leaving = if *lock(&self.state) == "draining" {
                "Server-Leaving: 1\r\n"
            } else {
                ""
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nJacinthpoint-Attempt-Id: {id}\r\n{fields}{leaving}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            sleep_ms(LINK_MS);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
