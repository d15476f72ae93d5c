//! Fronts of engines, and what the scripts on replica groups share.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use jacinthpoint_platform_standins::{EngineSpec, Engines, Platform, RequestLimits};
use serde_json::{Value, json};

use crate::{
    Counts, Gateways, Message, Record, exchange, lock, read_message, sleep_ms, status, tunnel,
    wait_until,
};

/// Kind of the entries in the store.
pub const KIND: &str = "servers";
/// Members of a group.
pub const SIZE: usize = 2;

/// Returns for how many milliseconds an order is held back that gets no answer; `None` for the others. Gets the
/// engine's id and the order.
pub type Hold = Box<dyn FnMut(&str, &Value) -> Option<u64> + Send>;

/// State that the fronts of all engines share.
pub struct Fronts {
    pub record: Record,
    /// Addresses of the engines themselves.
    pub engines: Mutex<BTreeMap<String, SocketAddr>>,
    /// Members of each group by name, as ordered.
    pub lists: Mutex<BTreeMap<String, Vec<String>>>,
    /// Engines, one of which writes a copy of a report from before it joined its group ahead of its next one.
    pub repeats: Mutex<Vec<String>>,
    pub reports: Counts,
    /// Which orders get no answer.
    pub holds: Mutex<Option<Hold>>,
    /// All orders and those that got no answer.
    pub orders: Counts,
    pub broken: AtomicBool,
}

impl Fronts {
    /// Returns the group that an engine is in, as it reports itself.
    pub fn group(&self, id: &str) -> Value {
        let address = lock(&self.engines).get(id).copied();
        let request = b"GET /report HTTP/1.1\r\nHost: engine\r\nConnection: close\r\n\r\n";
        let answer = address
            .and_then(|address| exchange(address, request, 1_000))
            .unwrap_or_default();
        let answer = read_message(&mut answer.as_slice());
        answer.map_or(Value::Null, |answer| answer.json()["group"].clone())
    }

    /// Returns the state of the head of a group.
    fn head_state(&self, group: &str) -> Option<(String, String)> {
        let head = lock(&self.lists).get(group)?.first()?.clone();
        let of_head = self.group(&head);
        let state = (of_head["name"] == group)
            .then(|| of_head["state"].as_str().unwrap_or("").to_owned())?;
        Some((head, state))
    }

    /// Carries out an order later that got no answer.
    fn carry_out_late(self: &Arc<Self>, id: &str, order: Message, engine: SocketAddr, ms: u64) {
        self.record.say(format!(
            "order to {id}: {} -> no answer; it is carried out {ms} ms later",
            order.json()
        ));
        let (fronts, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            sleep_ms(ms);
            let Ok(mut upstream) = TcpStream::connect(engine) else {
                return;
            };
            let before = fronts.group(&id);
            let head = before["name"]
                .as_str()
                .and_then(|group| fronts.head_state(group));
            if upstream.write_all(&order.bytes).is_err() {
                return;
            }
            let Some(answer) = read_message(&mut upstream) else {
                return;
            };
            let order = order.json();
            fronts.record.say(format!(
                "late order at {id}: {order} -> {}",
                answer.status()
            ));
            fronts.on_order(&id, &order, answer.status(), &before, head);
        });
    }

    fn serve(self: &Arc<Self>, id: &str, mut stream: TcpStream, engine: SocketAddr) {
        let mut first = [0; 16];
        let Ok(count) = stream.peek(&mut first) else {
            return;
        };
        let Ok(mut upstream) = TcpStream::connect(engine) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let first = String::from_utf8_lossy(&first[..count]).into_owned();
        if !first.contains("/report") && !first.contains("/order") {
            return tunnel(stream, upstream);
        }
        let mut previous: Option<Vec<u8>> = None;
        let mut previous_group = Value::Null;
        while let Some(request) = read_message(&mut stream) {
            let is_order = request.line().contains("/order");
            let order = request.json();
            if is_order {
                self.orders.answers.fetch_add(1, Ordering::Relaxed);
                let held = lock(&self.holds)
                    .as_mut()
                    .and_then(|holds| holds(id, &order));
                if let Some(ms) = held {
                    self.orders.changed.fetch_add(1, Ordering::Relaxed);
                    self.carry_out_late(id, request, engine, ms);
                    // The gateway gives up the wait and ends the connection.
                    let _ = read_message(&mut stream);
                    return;
                }
            }
            let (before, head) = match is_order && order["op"] == "join" {
                true => {
                    let before = self.group(id);
                    let head = before["name"]
                        .as_str()
                        .and_then(|group| self.head_state(group));
                    (before, head)
                }
                false => (Value::Null, None),
            };
            if upstream.write_all(&request.bytes).is_err() {
                return;
            }
            let Some(answer) = read_message(&mut upstream) else {
                return;
            };
            if is_order {
                let what = format!("order to {id}: {order} -> {}", answer.status());
                self.record.say(what);
                self.on_order(id, &order, answer.status(), &before, head);
            } else {
                self.reports.answers.fetch_add(1, Ordering::Relaxed);
                let is_old = previous.is_some()
                    && previous_group.is_null()
                    && !answer.json()["group"].is_null();
                let is_late = is_old && lock(&self.repeats).iter().any(|engine| engine == id);
                if is_late {
                    lock(&self.repeats).clear();
                    self.reports.changed.fetch_add(1, Ordering::Relaxed);
                    let shown = answer.json()["group"].clone();
                    self.record.say(format!(
                        "{id} writes its last report once more (group {previous_group}), and then the present one (group {shown})"
                    ));
                    let extra = previous.take().unwrap_or_default();
                    if stream.write_all(&extra).is_err() {
                        return;
                    }
                    sleep_ms(5);
                }
                previous = Some(answer.bytes.clone());
                previous_group = answer.json()["group"].clone();
            }
            if stream.write_all(&answer.bytes).is_err() {
                return;
            }
        }
    }

    /// Keeps the list of an accepted join, and checks that the head of the engine's group serves no more.
    fn on_order(
        &self,
        id: &str,
        order: &Value,
        status: u16,
        before: &Value,
        head: Option<(String, String)>,
    ) {
        if order["op"] != "join" || !matches!(status, 200 | 202) {
            return;
        }
        let group = order["group"].as_str().unwrap_or_default().to_owned();
        let members = order["members"].as_array().cloned().unwrap_or_default();
        let members = members
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect();
        lock(&self.lists).insert(group.clone(), members);
        let is_other = before["name"].as_str().is_some_and(|name| name != group);
        if let Some((head, state)) =
            head.filter(|(_, state)| is_other && (state == "open" || state == "closing"))
        {
            self.broken.store(true, Ordering::Relaxed);
            self.record.say(format!(
                "BROKEN: {id} took a join of {group}, while the head {head} of its group {} was {state}",
                before["name"]
            ));
        }
    }
}

impl Fronts {
    /// Returns the state before the start.
    pub fn new(record: &Record) -> Arc<Fronts> {
        Arc::new(Fronts {
            record: record.clone(),
            engines: Mutex::default(),
            lists: Mutex::default(),
            repeats: Mutex::default(),
            reports: Counts::default(),
            holds: Mutex::default(),
            orders: Counts::default(),
            broken: AtomicBool::new(false),
        })
    }
}

fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({ "name": name, "host": "model.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 8_000, "slo_ms": 500, "priority": 1, "service": service, "attempts": 2, "public": false,
        "sticky": true, "resumable": true, "gap_target_ms": 300 })
}

/// A site: the platform's stand-ins, with a front for each engine.
pub struct Site {
    pub platform: Platform,
    /// Entries of the engines that are not listed yet.
    pub later: Vec<(String, Value)>,
}

impl Site {
    /// Starts `engines` engines in one fabric domain, of which the first `first` are listed, and `others` in another
    /// domain, which are not.
    pub fn start(fronts: &Arc<Fronts>, engines: usize, first: usize, others: usize) -> Site {
        let all = engines + others;
        let specs = (0..all).map(|index| EngineSpec {
            id: format!("i-{index}"),
            domain: format!("domain-{}", usize::from(index >= engines)),
            data_centre: "zone-a".to_owned(),
        });
        let shared = fronts.clone();
        let front = move |id: &str, engine: SocketAddr| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("it is bound");
            let (fronts, id) = (shared.clone(), id.to_owned());
            lock(&fronts.engines).insert(id.clone(), engine);
            thread::spawn(move || {
                while let Ok((stream, _)) = listener.accept() {
                    let (fronts, id) = (fronts.clone(), id.clone());
                    thread::spawn(move || fronts.serve(&id, stream, engine));
                }
            });
            address
        };
        let platform = Platform::start_behind(specs.collect(), front);
        let store = platform.store.clone();
        let later = (first..all).map(|index| {
            let id = format!("i-{index}");
            let entry = store.get_content(KIND, &id).expect("it is registered");
            store.remove(KIND, &id);
            (id, entry)
        });
        let later = later.collect();
        store.put_config(
            json!([route("stream", "stream", "engines")]),
            json!([Engines::service("engines", SIZE)]),
            json!([{ "name": "customer-1", "api_keys": ["key-1"], "priority": 1 }]),
            RequestLimits::default(),
        );
        Site { platform, later }
    }

    /// Waits until the gateways are ready and a group is open.
    pub fn wait(&self, gateways: &Gateways) {
        for index in 0..gateways.addresses.len() {
            wait_until("the gateways are ready", 15_000, || {
                gateways.is_ready(index)
            });
        }
        wait_until("the first group is open", 15_000, || {
            !self.groups().is_empty()
        });
    }

    /// Returns the members of each open group.
    pub fn groups(&self) -> Vec<Vec<String>> {
        self.platform.engines.open_groups()
    }

    /// Adds the engines that were not listed.
    pub fn list_later(&self, record: &Record) {
        for (id, entry) in &self.later {
            self.platform.store.put(KIND, id, entry.clone());
        }
        record.say(format!("{} empty engines are added", self.later.len()));
    }

    /// Adds the engines that were not listed, and returns the members of the group that opens then.
    pub fn add_engines(&self, record: &Record) -> Vec<String> {
        let known = self.groups().concat();
        self.list_later(record);
        let newest = || {
            self.groups()
                .into_iter()
                .find(|members| !known.contains(&members[0]))
        };
        wait_until("another group is open", 15_000, || newest().is_some());
        record.say(format!("open: {:?}", self.groups()));
        newest().unwrap_or_default()
    }
}

/// Callers that send one stream after the other until they are stopped.
pub struct Callers {
    is_busy: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Numbers of requests that were sent and of those whose answers were whole.
#[derive(Debug, Clone, Default)]
pub struct Requests {
    pub sent: Arc<AtomicU64>,
    pub whole: Arc<AtomicU64>,
}

impl Callers {
    /// Starts callers, who pause for `pause_ms` after each answer.
    pub fn start(
        count: usize,
        pause_ms: u64,
        addresses: &[SocketAddr],
        requests: &Requests,
        record: &Record,
    ) -> Callers {
        let is_busy = Arc::new(AtomicBool::new(true));
        let threads = (0..count).map(|caller| {
            let index = caller % addresses.len();
            let (address, is_busy) = (addresses[index], is_busy.clone());
            let (requests, record) = (requests.clone(), record.clone());
            thread::spawn(move || {
                while is_busy.load(Ordering::Relaxed) {
                    let number = requests.sent.fetch_add(1, Ordering::Relaxed);
                    let request = format!(
                        "POST /stream/1 HTTP/1.1\r\nHost: model.example\r\nJacinthpoint-Attempt-Id: a{number:06}\r\n\
                         Jacinthpoint-Model: model-a\r\nJacinthpoint-Token-Usage: 500,100\r\n\
                         Jacinthpoint-Prompt-Prefix: {:x}:40,{number:x}:460\r\nJacinthpoint-Deadline-Ms: 8000\r\n\
                         Api-Key: key-1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}",
                        1_000_000 + caller
                    );
                    let answer = exchange(address, request.as_bytes(), 9_000).unwrap_or_default();
                    let is_whole = status(&answer) == Some(200) && answer.ends_with(b"0\r\n\r\n");
                    requests.whole.fetch_add(u64::from(is_whole), Ordering::Relaxed);
                    let (code, end) = (status(&answer), if is_whole { "whole" } else { "not whole" });
                    record.say(format!("request a{number:06} to front-{index}: answered {code:?}, {end}"));
                    sleep_ms(if is_whole { pause_ms } else { pause_ms.max(100) });
                }
            })
        });
        Callers {
            threads: threads.collect(),
            is_busy,
        }
    }

    /// Waits until all callers have their last answer.
    pub fn stop(self) {
        self.is_busy.store(false, Ordering::Relaxed);
        self.threads
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

/// Ends a script: adds what the engines ran and the verdict, writes the record, and returns the exit status.
pub fn finish(site: &Site, fronts: &Fronts, gateways: Gateways) -> i32 {
    let record = &fronts.record;
    for run in site.platform.runs.all() {
        record.say(format!(
            "{} had run request {}",
            run.upstream, run.attempt_id
        ));
    }
    let is_broken = fronts.broken.load(Ordering::Relaxed);
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    record.write(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned()),
    );
    if let Some(folder) = std::env::var_os("KEEP") {
        gateways.keep_logs(std::path::Path::new(&folder));
    }
    drop(gateways);
    i32::from(is_broken)
}
