//! Corrections of wrong units: a value with a unit although the key's name already has one, and a
//! key with a missing or different unit in its name.

/// Recognised units of time, each with its length in milliseconds.
const UNITS_MS: [(&str, f64); 9] = [
    ("ms", 1.0),
    ("msec", 1.0),
    ("s", 1_000.0),
    ("sec", 1_000.0),
    ("seconds", 1_000.0),
    ("m", 60_000.0),
    ("min", 60_000.0),
    ("minutes", 60_000.0),
    ("h", 3_600_000.0),
];

/// Returns the end of an error message that says how to write a value in milliseconds; empty if
/// the key is not in milliseconds.
pub(crate) fn value_hint(key: &str, text: &str) -> String {
    if !key.ends_with("_ms") {
        return String::new();
    }
    match parse_with_unit(text) {
        Some(ms) => format!("; the unit is in the name of the key, so write `{key} = {ms}`"),
        None => " (a whole number of milliseconds, without a unit)".to_owned(),
    }
}

/// Converts a value with a unit, such as `30s` or `1.5 min`, to milliseconds.
fn parse_with_unit(text: &str) -> Option<u64> {
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let number: f64 = number.trim().parse().ok()?;
    let (_, ms) = UNITS_MS.into_iter().find(|(name, _)| *name == unit)?;
    let total = (number * ms).round();
    (0.0..1e15).contains(&total).then_some(total as u64)
}

/// Returns the known key in milliseconds that differs from the unknown key only in its unit, which
/// may be missing.
pub(crate) fn key_in_ms(
    unknown: &str,
    known: impl Iterator<Item = &'static str>,
) -> Option<&'static str> {
    let stem = match unknown.rsplit_once('_') {
        Some((stem, unit)) if UNITS_MS.iter().any(|(name, _)| *name == unit) => stem,
        _ => unknown,
    };
    let mut known = known;
    known.find(|name| name.strip_suffix("_ms") == Some(stem))
}
