//! INI parser that keeps the location of every token, so that findings can
//! refer to it.
//!
//! A line is a section `[NAME]`, a setting `KEY = VALUE`, or empty. `;` and
//! `#` start a comment at the beginning of a line or after whitespace.

use crate::finding::{Finding, Findings, Source};
use std::collections::HashSet;
use std::ops::Range;

/// A trimmed slice of the text with its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Token<'a> {
    /// Text without surrounding whitespace.
    pub(crate) text: &'a str,
    /// Byte offset of its start.
    pub(crate) start: usize,
}

impl Token<'_> {
    /// Returns the byte range of the token.
    pub(crate) fn span(&self) -> Range<usize> {
        self.start..self.start + self.text.len()
    }
}

/// A setting, `KEY = VALUE`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub(crate) key: Token<'a>,
    /// May be empty.
    pub(crate) value: Token<'a>,
}

/// A section with its settings.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Name, without the brackets.
    pub(crate) name: Token<'a>,
    /// Settings with unique keys.
    pub(crate) entries: Vec<Entry<'a>>,
}

/// Parses a text into sections with unique names.
///
/// Invalid lines are reported as findings and skipped.
pub(crate) fn read<'a>(
    source: &Source,
    text: &'a str,
    findings: &mut Findings,
) -> Vec<Section<'a>> {
    let mut parser = Parser {
        source,
        findings,
        sections: Vec::new(),
        section_names: HashSet::new(),
        section_keys: HashSet::new(),
        skip_entries: false,
    };
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        parser.read_line(trimmed_token(line, start));
        start += line.len();
    }
    parser.sections
}

struct Parser<'a, 'b> {
    source: &'b Source,
    findings: &'b mut Findings,
    sections: Vec<Section<'a>>,
    section_names: HashSet<&'a str>,
    section_keys: HashSet<&'a str>,
    skip_entries: bool,
}

impl<'a> Parser<'a, '_> {
    fn read_line(&mut self, line: Token<'a>) {
        let line = without_comment(line);
        if line.text.is_empty() {
            return;
        }
        if line.text.starts_with('[') {
            self.read_section(line);
        } else if let Some(at) = line.text.find('=') {
            let key = trimmed_token(&line.text[..at], line.start);
            let value = trimmed_token(&line.text[at + 1..], line.start + at + 1);
            self.read_entry(Entry { key, value });
        } else {
            self.add_finding(
                line,
                "neither a section nor a setting",
                "[NAME] or KEY = VALUE",
            );
        }
    }

    fn read_section(&mut self, line: Token<'a>) {
        self.section_keys.clear();
        self.skip_entries = true;
        let Some(name) = line
            .text
            .strip_prefix('[')
            .and_then(|t| t.strip_suffix(']'))
        else {
            return self.add_finding(line, "the section's name has no closing bracket", "[NAME]");
        };
        let name = trimmed_token(name, line.start + 1);
        if name.text.is_empty() {
            return self.add_finding(line, "the section has no name", "[NAME]");
        }
        if !self.section_names.insert(name.text) {
            let problem = format!("section [{}] stands twice", name.text);
            return self.add_finding(line, &problem, "each section once");
        }
        self.skip_entries = false;
        let entries = Vec::new();
        self.sections.push(Section { name, entries });
    }

    fn read_entry(&mut self, entry: Entry<'a>) {
        if entry.key.text.is_empty() {
            return self.add_finding(entry.value, "the setting has no key", "KEY = VALUE");
        }
        if self.skip_entries {
            return;
        }
        let Some(section) = self.sections.last_mut() else {
            return self.add_finding(entry.key, "a setting before any section", "[NAME] first");
        };
        if self.section_keys.insert(entry.key.text) {
            section.entries.push(entry);
        } else {
            let problem = format!("{} stands twice in [{}]", entry.key.text, section.name.text);
            self.add_finding(entry.key, &problem, "each key once in its section");
        }
    }

    fn add_finding(&mut self, token: Token<'_>, problem: &str, valid: &str) {
        let source = self.source;
        let finding = || Finding::at(source, token.span(), problem.into(), valid.into());
        self.findings.push(finding);
    }
}

/// Trims whitespace and byte order marks from a text that starts at `start`.
fn trimmed_token(text: &str, start: usize) -> Token<'_> {
    let is_trimmed = |c: char| c.is_whitespace() || c == '\u{feff}';
    let left = text.trim_start_matches(is_trimmed);
    Token {
        text: left.trim_end_matches(is_trimmed),
        start: start + text.len() - left.len(),
    }
}

fn without_comment(line: Token<'_>) -> Token<'_> {
    let mut after_whitespace = true;
    for (i, c) in line.text.char_indices() {
        if after_whitespace && (c == ';' || c == '#') {
            return trimmed_token(&line.text[..i], line.start);
        }
        after_whitespace = c.is_whitespace();
    }
    line
}
