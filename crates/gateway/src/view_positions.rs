//! How far this gateway knows the store's history, and how far another one says that it does.
//!
//! A gateway decides for another one only with a view that is at least as new. A view is as new if it has the
//! newest change that decides anything at the other gateway: a configuration, an evacuation, the removal of an
//! upstream, or that an upstream drains. Entries that are written again without that would make each gateway older than
//! each other one at nearly all times.

use std::{collections::BTreeMap, fmt};

use jacinthpoint_adapter::paths;
use jacinthpoint_fleet::{ConfigVersion, Continuity, HistoryPosition, StoreEra};
use tokio::sync::watch;

/// Kinds of which a view states the position, if this gateway reads them.
const KINDS: [&str; 3] = [
    paths::CONFIG_KIND,
    paths::UPSTREAM_KIND,
    paths::EVACUATION_KIND,
];

/// What is known of the history of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KindPosition {
    /// Position up to which all changes are in the view.
    complete: HistoryPosition,
    /// Revision of the newest change in the view that decides anything.
    decisive: u64,
}

/// Positions of all kinds in the view of this gateway.
#[derive(Debug, Default)]
pub(crate) struct ViewPositions(watch::Sender<BTreeMap<&'static str, KindPosition>>);

impl ViewPositions {
    /// Records that a list of a kind was applied. `newest` is the latest revision of its objects.
    pub(crate) fn on_list(&self, kind: &'static str, position: HistoryPosition, newest: u64) {
        self.0.send_modify(|kinds| {
            let known = kinds
                .get(kind)
                .filter(|known| position.continuity(&known.complete) == Continuity::Continues);
            let decisive = known.map_or(newest, |known| known.decisive.max(newest));
            let complete = position;
            kinds.insert(kind, KindPosition { complete, decisive });
        });
    }

    /// Records that changes were applied, after the first list: all up to `complete`, if given. `newest` is the
    /// revision of the latest one that decides anything, if there is one.
    pub(crate) fn on_changes(
        &self,
        kind: &'static str,
        complete: Option<HistoryPosition>,
        newest: Option<u64>,
    ) {
        self.0.send_modify(|kinds| {
            let Some(known) = kinds.get_mut(kind) else {
                return;
            };
            known.complete = complete.unwrap_or(known.complete);
            known.decisive = newest.map_or(known.decisive, |newest| newest.max(known.decisive));
        });
    }

    /// Returns what this gateway states of its view, in which the configuration has this version.
    pub(crate) fn stated(&self, version: ConfigVersion) -> StatedView {
        let known = self.0.borrow();
        let kinds = KINDS.into_iter().filter_map(|kind| {
            let known = known.get(kind)?;
            let position = HistoryPosition {
                era: known.complete.era,
                revision: known.decisive,
            };
            Some((kind.to_owned(), position))
        });
        StatedView {
            version,
            kinds: kinds.collect(),
        }
    }

    /// Waits until the positions are at least as new as those that another gateway states.
    pub(crate) async fn wait_for(&self, stated: &StatedView) {
        let mut known = self.0.subscribe();
        // The sender lives as long as the gateway.
        let _ = known
            .wait_for(|known| {
                stated.kinds.iter().all(|(kind, position)| {
                    let own = known.get(kind.as_str());
                    own.is_some_and(|own| {
                        matches!(
                            own.complete.continuity(position),
                            Continuity::Continues | Continuity::Restored
                        )
                    })
                })
            })
            .await;
    }
}

/// How new a gateway says that its view is.
///
/// As text: the version of its configuration, then for each kind its name, era (or `-`) and revision, as in
/// `7 config:2:1042 servers:2:1100`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StatedView {
    pub(crate) version: ConfigVersion,
    kinds: Vec<(String, HistoryPosition)>,
}

impl StatedView {
    /// Parses the text form; `None` if it cannot be read.
    pub(crate) fn parse(text: &str) -> Option<StatedView> {
        let mut words = text.split(' ');
        let version = ConfigVersion(words.next()?.parse().ok()?);
        let kinds = words.map(|word| {
            let mut parts = word.splitn(3, ':');
            let kind = parts.next()?.to_owned();
            let era = match parts.next()? {
                "-" => None,
                era => Some(StoreEra(era.parse().ok()?)),
            };
            let revision = parts.next()?.parse().ok()?;
            Some((kind, HistoryPosition { era, revision }))
        });
        Some(StatedView {
            version,
            kinds: kinds.collect::<Option<_>>()?,
        })
    }
}

impl fmt::Display for StatedView {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.version.0)?;
        for (kind, position) in &self.kinds {
            let era = position
                .era
                .map_or_else(|| "-".to_owned(), |era| era.0.to_string());
            write!(formatter, " {kind}:{era}:{}", position.revision)?;
        }
        Ok(())
    }
}
