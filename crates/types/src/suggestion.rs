//! Suggests known words for misspelt ones in error messages.

/// Jaro-Winkler similarity above which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the end of an error message about an unknown word: a suggestion of the most similar
/// known word, or an empty text if no known word is similar.
pub fn suggestion<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let scored = known
        .into_iter()
        .map(|known| (strsim::jaro_winkler(word, known), known));
    match scored.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((similarity, known)) if similarity > MIN_SIMILARITY => {
            format!("; did you mean `{known}`?")
        }
        _ => String::new(),
    }
}
