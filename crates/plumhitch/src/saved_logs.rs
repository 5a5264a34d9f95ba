//! Logs of daemons, as they were saved.

use crate::failure::Failure;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;

/// Longest text read, in bytes.
const MAX_BYTES: u64 = 4 << 30;

/// One line of a log.
#[derive(Clone, Debug)]
pub(crate) struct Line<'a> {
    /// Where it comes from: the file, or what stands before its time.
    pub(crate) process: String,
    pub(crate) time_ms: u64,
    pub(crate) fields: BTreeMap<&'a str, String>,
}

impl Line<'_> {
    /// Returns a field; empty if the line has none of this name.
    pub(crate) fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Reads saved logs, or standard input if there are no files; returns each
/// with its name.
///
/// # Errors
///
/// Returns which one can't be read.
pub(crate) fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, Failure> {
    let failed = |name: &str, err: &io::Error| Failure::Failed(format!("{name}: {err}"));
    if files.is_empty() {
        let mut text = String::new();
        let read = io::stdin().take(MAX_BYTES).read_to_string(&mut text);
        read.map_err(|err| failed("standard input", &err))?;
        return Ok(vec![(String::new(), text)]);
    }
    let files = files.iter().map(|path| {
        let name = path.display().to_string();
        let text = fs::read(path).map_err(|err| failed(&name, &err))?;
        Ok((name, String::from_utf8_lossy(&text).into_owned()))
    });
    files.collect()
}

/// Returns the lines of logs; what else stands in them is left out.
pub(crate) fn lines(texts: &[(String, String)]) -> Vec<Line<'_>> {
    let named = texts
        .iter()
        .flat_map(|(file, text)| text.lines().map(move |line| (file, line)));
    named.filter_map(|(file, line)| parse(file, line)).collect()
}

/// Reads a line; one of another kind is none.
fn parse<'a>(file: &str, line: &'a str) -> Option<Line<'a>> {
    let at = line.find("time=")?;
    let before = line[..at].split_whitespace().last().unwrap_or_default();
    let fields = fields(&line[at..]);
    fields.contains_key("event").then(|| Line {
        process: if before.is_empty() { file } else { before }.to_owned(),
        time_ms: fields.get("time").and_then(|t| t.parse().ok()).unwrap_or(0),
        fields,
    })
}

/// Splits `key=value` pairs; a value in quotes may hold spaces.
fn fields(text: &str) -> BTreeMap<&str, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key, value.to_owned());
        rest = next;
    }
    fields
}
