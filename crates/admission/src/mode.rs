//! Operating mode of an admission layer: enforce, watch or off.

/// Operating mode of one layer of the limiter or of a gate.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LayerMode {
    /// The layer does nothing. Serves as its kill switch.
    Off,
    /// The layer reports the requests that it would refuse, but refuses none. A layer that only
    /// delays requests reports nothing and does nothing in this mode.
    Watch,
    /// The layer refuses or delays requests.
    #[default]
    Enforce,
}
