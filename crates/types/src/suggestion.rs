//! What a misspelt word may have meant.

/// Similarity above which a known word is offered in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// The end of a complaint about an unknown word: the most similar known word, or nothing if none
/// is similar.
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
