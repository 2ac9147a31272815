//! Suggestions for misspelt words.

/// The maximum number of single-character edits at which a known word is suggested.
const EDIT_DISTANCE_LIMIT: usize = 2;

/// Returns a hint for an unknown word: the closest known word, or the list of all known words.
pub fn hint_for_unknown(word: &str, known: &[&str]) -> String {
    match closest(word, known) {
        Some(candidate) => format!("write `{candidate}`, or remove it"),
        None => format!("remove it, or write one of: {}", known.join(", ")),
    }
}

/// Returns the known word closest to `word`, if few single-character edits separate them.
pub fn closest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let best = known.iter().map(|candidate| (edit_distance(word, candidate), *candidate)).min();
    best.filter(|(edits, _)| *edits <= EDIT_DISTANCE_LIMIT).map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance: the minimum number of insertions, removals and substitutions.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, letter) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, other) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(letter != *other);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
