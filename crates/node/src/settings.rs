//! Settings of a node, in INI.
//!
//! All faults of a file are found in one run, each with its line. A misspelt key is an error with
//! a suggestion: a setting that is silently ignored is worse than one that is refused.

use std::net::SocketAddr;

use ini::Ini;
use jacinthpoint_placement::RepairSettings;
use jacinthpoint_types::{DataCentreId, NodeId};

/// Requests without a deadline of their own get this one.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Open callers' connections beyond which new ones are refused.
const DEFAULT_MAX_CONNECTIONS: usize = 2_000;
/// Time for a caller to send a whole head, and then the whole body.
const DEFAULT_READ_DEADLINE_MS: u64 = 10_000;
/// Time between the loss of readiness and the close of the listener; a balancer that checks every
/// second and takes a node out after three failures sees it in time.
const DEFAULT_DRAIN_ANNOUNCE_MS: u64 = 5_000;
/// Shortest time between two writes of one page of at-most-once records.
const DEFAULT_LEDGER_BATCH_MS: u64 = 20;
/// Longest planned stop.
const DEFAULT_DRAIN_DEADLINE_MS: u64 = 120_000;

/// Checked settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The node's name.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub listen_callers: SocketAddr,
    /// Where operators and the balancer's checks connect.
    pub listen_operators: SocketAddr,
    /// Where other nodes reach it, UDP and TCP.
    pub listen_peers: SocketAddr,
    /// Where other nodes are told to reach it, if not at the address it listens on.
    pub advertise_peers: Option<SocketAddr>,
    /// The platform.
    pub platform: SocketAddr,
    /// Nodes to ask first; the platform's membership list brings the others.
    pub seeds: Vec<SocketAddr>,
    /// Deadline of requests that name none.
    pub default_deadline_ms: u64,
    /// Open callers' connections allowed.
    pub max_connections: usize,
    /// Time for a caller to send a whole head, and then the whole body.
    pub read_deadline_ms: u64,
    /// Time between the loss of readiness and the close of the listener in a planned stop.
    pub drain_announce_ms: u64,
    /// Longest planned stop, the announcement included.
    pub drain_deadline_ms: u64,
    /// Shortest time between two writes of one page of at-most-once records.
    pub ledger_batch_ms: u64,
    /// Where metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Weights, estimates and limits of repairs.
    pub repair: RepairSettings,
}

impl NodeSettings {
    /// Where other nodes reach it.
    pub fn peers_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.listen_peers)
    }
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}: {message}")]
pub struct SettingsError {
    /// Line in the file, from 1.
    pub line: usize,
    /// What is wrong, and what to write instead where that is clear.
    pub message: String,
}

/// Sections and keys, for checks and suggestions.
const KEYS: &[(&str, &[&str])] = &[
    ("node", &["name", "data_centre"]),
    (
        "listen",
        &["callers", "operators", "peers", "advertise_peers"],
    ),
    ("platform", &["address"]),
    ("peers", &["seeds"]),
    (
        "limits",
        &[
            "default_deadline_ms",
            "max_connections",
            "read_deadline_ms",
            "drain_announce_ms",
            "drain_deadline_ms",
        ],
    ),
    ("ledger", &["batch_ms"]),
    ("metrics", &["statsd"]),
    (
        "repair",
        &[
            "group_downtime_weight",
            "stranded_weight",
            "load_ms",
            "replace_ms",
            "wait_ms",
            "max_loads",
            "damping_ms",
        ],
    ),
];

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault found.
pub fn parse_settings(text: &str) -> Result<NodeSettings, Vec<SettingsError>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![SettingsError {
            line: error.line,
            message: error.msg.to_string(),
        }]
    })?;
    let mut reader = Reader {
        text,
        ini: &ini,
        errors: Vec::new(),
    };
    reader.check_keys();
    let settings = reader.read();
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(settings),
        _ => {
            reader.errors.sort_by_key(|error| error.line);
            Err(reader.errors)
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    errors: Vec<SettingsError>,
}

impl Reader<'_> {
    fn read(&mut self) -> Option<NodeSettings> {
        let name = self.required("node", "name");
        let data_centre = self.required("node", "data_centre");
        let listen_callers = self.required("listen", "callers");
        let listen_operators = self.required("listen", "operators");
        let listen_peers = self.required("listen", "peers");
        let advertise_peers = self.optional("listen", "advertise_peers");
        let platform = self.required("platform", "address");
        let seeds = self.list("peers", "seeds");
        let deadline_ms = self.optional("limits", "default_deadline_ms");
        let max_connections = self.optional("limits", "max_connections");
        let read_deadline_ms = self.optional("limits", "read_deadline_ms");
        let drain_announce_ms = self.optional("limits", "drain_announce_ms");
        let drain_deadline_ms = self.optional("limits", "drain_deadline_ms");
        let ledger_batch_ms = self.optional("ledger", "batch_ms");
        let statsd = self.optional("metrics", "statsd");
        let repair = self.repair();
        let settings = NodeSettings {
            name: name?,
            data_centre: data_centre?,
            listen_callers: listen_callers?,
            listen_operators: listen_operators?,
            listen_peers: listen_peers?,
            advertise_peers,
            platform: platform?,
            seeds,
            default_deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
            max_connections: max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            read_deadline_ms: read_deadline_ms.unwrap_or(DEFAULT_READ_DEADLINE_MS),
            drain_announce_ms: drain_announce_ms.unwrap_or(DEFAULT_DRAIN_ANNOUNCE_MS),
            drain_deadline_ms: drain_deadline_ms.unwrap_or(DEFAULT_DRAIN_DEADLINE_MS),
            ledger_batch_ms: ledger_batch_ms.unwrap_or(DEFAULT_LEDGER_BATCH_MS),
            statsd,
            repair,
        };
        self.check_clashes(&settings);
        Some(settings)
    }

    fn repair(&mut self) -> RepairSettings {
        const SECTION: &str = "repair";
        let defaults = RepairSettings::new();
        let downtime_weight = self.optional(SECTION, "group_downtime_weight");
        let stranded_weight = self.optional(SECTION, "stranded_weight");
        let load_ms = self.optional(SECTION, "load_ms");
        let replace_ms = self.optional(SECTION, "replace_ms");
        let wait_ms = self.optional(SECTION, "wait_ms");
        let max_loads = self.optional(SECTION, "max_loads");
        let damping_ms = self.optional(SECTION, "damping_ms");
        if max_loads == Some(0) {
            let message = "`max_loads` must be at least 1".to_owned();
            self.fail(SECTION, Some("max_loads"), message);
        }
        RepairSettings {
            group_downtime_weight: downtime_weight.unwrap_or(defaults.group_downtime_weight),
            stranded_weight: stranded_weight.unwrap_or(defaults.stranded_weight),
            load_ms: load_ms.unwrap_or(defaults.load_ms),
            replace_ms: replace_ms.unwrap_or(defaults.replace_ms),
            wait_ms: wait_ms.unwrap_or(defaults.wait_ms),
            max_loads: max_loads.unwrap_or(defaults.max_loads),
            damping_ms: damping_ms.unwrap_or(defaults.damping_ms),
            repairs: defaults.repairs,
        }
    }

    fn check_keys(&mut self) {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            let known = KEYS
                .iter()
                .find(|(name, _)| *name == section)
                .map(|(_, keys)| *keys);
            let Some(known) = known else {
                if section.is_empty() && properties.is_empty() {
                    continue;
                }
                let sections = KEYS.iter().map(|(name, _)| *name);
                let hint = suggestion(section, sections);
                self.fail(
                    section,
                    None,
                    format!("unknown section `[{section}]`{hint}"),
                );
                continue;
            };
            for (key, _) in properties.iter().filter(|(key, _)| !known.contains(key)) {
                let hint = suggestion(key, known.iter().copied());
                self.fail(section, Some(key), format!("unknown key `{key}`{hint}"));
            }
        }
    }

    fn check_clashes(&mut self, settings: &NodeSettings) {
        if settings.listen_callers == settings.listen_operators
            && settings.listen_callers.port() != 0
        {
            let message = "`operators` is the same address as `callers`".to_owned();
            self.fail("listen", Some("operators"), message);
        }
        if settings.max_connections == 0 {
            let message = "`max_connections` must be at least 1".to_owned();
            self.fail("limits", Some("max_connections"), message);
        }
    }

    fn required<T: std::str::FromStr<Err: std::fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.fail(
                section,
                None,
                format!("`{key}` is missing in `[{section}]`"),
            );
            return None;
        }
        self.optional(section, key)
    }

    fn optional<T: std::str::FromStr<Err: std::fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        let text = self.ini.get_from(Some(section), key)?.trim();
        self.parse(section, key, text)
    }

    fn list<T: std::str::FromStr<Err: std::fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Vec<T> {
        let text = self.ini.get_from(Some(section), key).unwrap_or_default();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items
            .filter_map(|item| self.parse(section, key, item))
            .collect()
    }

    fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fail(
                    section,
                    Some(key),
                    format!("`{key} = {text}`: {error}{}", unit_hint(key)),
                );
                None
            }
        }
    }

    fn fail(&mut self, section: &str, key: Option<&str>, message: String) {
        let line = line_of(self.text, section, key);
        self.errors.push(SettingsError { line, message });
    }
}

fn unit_hint(key: &str) -> &'static str {
    if key.ends_with("_ms") {
        " (a whole number of milliseconds, without a unit)"
    } else {
        ""
    }
}

fn suggestion<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    let best = known.map(|known| (strsim::jaro_winkler(word, known), known));
    match best.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((score, known)) if score > 0.8 => format!("; did you mean `{known}`?"),
        _ => String::new(),
    }
}

/// Line of a key, of its section if the key is absent, or 1.
fn line_of(text: &str, section: &str, key: Option<&str>) -> usize {
    let mut current = "";
    let mut section_line = 1;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
        {
            current = name.trim();
            if current == section {
                section_line = index + 1;
            }
        }
        let found = line.split_once('=').map(|(name, _)| name.trim());
        if current == section && key.is_some() && found == key {
            return index + 1;
        }
    }
    section_line
}
