//! Whether a layer decides, only watches, or is switched off.

/// Mode of one layer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LayerMode {
    /// The layer does nothing: the kill switch.
    Off,
    /// The layer counts what it would refuse, and refuses nothing.
    Watch,
    /// The layer decides.
    #[default]
    Enforce,
}
