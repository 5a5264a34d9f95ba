//! Reads and parses saved logs of daemons, also those of earlier versions.

use crate::failure::Failure;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;

/// Longest text read from standard input, in bytes.
const MAX_STDIN_BYTES: u64 = 4 << 30;

/// Parsed line of a log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine<'a> {
    /// Process that wrote the line: the word before its time, or else the file
    /// name.
    pub(crate) process: String,
    pub(crate) time_ms: u64,
    pub(crate) fields: BTreeMap<&'a str, String>,
}

impl LogLine<'_> {
    /// Returns the value of a field, or an empty string if the line lacks it.
    pub(crate) fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Reads the given files, or standard input if there are none. Returns the name
/// and text of each.
///
/// # Errors
///
/// Returns the name of the input that cannot be read.
pub(crate) fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, Failure> {
    let failed = |name: &str, err: &io::Error| Failure::Failed(format!("{name}: {err}"));
    if files.is_empty() {
        let mut text = String::new();
        let result = io::stdin().take(MAX_STDIN_BYTES).read_to_string(&mut text);
        result.map_err(|err| failed("standard input", &err))?;
        return Ok(vec![(String::new(), text)]);
    }
    let files = files.iter().map(|path| {
        let name = path.display().to_string();
        let text = fs::read(path).map_err(|err| failed(&name, &err))?;
        Ok((name, String::from_utf8_lossy(&text).into_owned()))
    });
    files.collect()
}

/// Parses logs; text that is not a log line is skipped.
pub(crate) fn parse_logs(texts: &[(String, String)]) -> Vec<LogLine<'_>> {
    let lines = texts
        .iter()
        .flat_map(|(file, text)| text.lines().map(move |line| (file, line)));
    lines
        .filter_map(|(file, line)| parse_line(file, line))
        .collect()
}

/// Parses a line; `None` if it has no `time` and `event`.
fn parse_line<'a>(file: &str, line: &'a str) -> Option<LogLine<'a>> {
    let start = line.find("time=")?;
    let prefix = line[..start].split_whitespace().last().unwrap_or_default();
    let fields = parse_fields(&line[start..]);
    fields.contains_key("event").then(|| LogLine {
        process: if prefix.is_empty() { file } else { prefix }.to_owned(),
        time_ms: fields.get("time").and_then(|t| t.parse().ok()).unwrap_or(0),
        fields,
    })
}

/// Parses `key=value` pairs; a quoted value may contain spaces.
fn parse_fields(text: &str) -> BTreeMap<&str, String> {
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
