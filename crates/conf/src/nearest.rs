//! Suggests the valid name that is most similar to an unknown one.

/// Returns the candidate with the smallest edit distance, if it is close enough
/// to be a likely typo.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let max_edits = name.len() / 3 + 1;
    candidates
        .map(|c| (edit_distance(name.as_bytes(), c.as_bytes()), c))
        .min()
        .filter(|(edits, _)| *edits <= max_edits)
        .map(|(_, c)| c)
}

/// Returns the Levenshtein distance between two texts, in bytes.
fn edit_distance(a: &[u8], b: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replacement = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replacement.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
