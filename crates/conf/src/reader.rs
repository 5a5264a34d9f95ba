//! Typed access to the sections and keys of an INI text.

use crate::finding::{Finding, Findings, Source};
use crate::ini::{self, Entry, Section, Token};
use crate::nearest::nearest;
use crate::value::{self, Parsed};
use compact_str::CompactString;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Range;

/// Maximum number of valid names listed in a finding.
const MAX_NAMES_SHOWN: usize = 20;

/// The sections of a file with the findings collected so far.
pub(crate) struct Reader<'a> {
    source: Source,
    sections: Vec<Section<'a>>,
    findings: RefCell<Findings>,
}

impl<'a> Reader<'a> {
    /// Parses a text into sections.
    pub(crate) fn new(source: &Source, text: &'a str) -> Self {
        let mut findings = Findings::default();
        let sections = ini::read(source, text, &mut findings);
        Self {
            source: source.clone(),
            sections,
            findings: RefCell::new(findings),
        }
    }

    /// Returns all sections.
    pub(crate) fn sections(&self) -> &[Section<'a>] {
        &self.sections
    }

    /// Returns the keys of the named section; the section may be absent.
    pub(crate) fn section(&self, name: &'static str) -> SectionKeys<'_, 'a> {
        let section = self.sections.iter().find(|s| s.name.text == name);
        self.keys(name, section)
    }

    /// Returns the keys of a section; `name` is used in findings.
    pub(crate) fn keys<'r>(
        &'r self,
        name: &'r str,
        section: Option<&'r Section<'a>>,
    ) -> SectionKeys<'r, 'a> {
        SectionKeys {
            reader: self,
            name,
            section,
            known: Vec::new(),
        }
    }

    /// Adds a finding about a byte range.
    pub(crate) fn add_finding(&self, span: Range<usize>, problem: String, valid: String) {
        let finding = || Finding::at(&self.source, span, problem, valid);
        self.findings.borrow_mut().push(finding);
    }

    /// Adds a finding about a byte range. Its texts are built lazily, only if the
    /// finding is kept.
    pub(crate) fn add_finding_with(
        &self,
        span: Range<usize>,
        describe: impl FnOnce() -> (String, String),
    ) {
        self.findings.borrow_mut().push(|| {
            let (problem, valid) = describe();
            Finding::at(&self.source, span, problem, valid)
        });
    }

    /// Parses a name; a finding about an empty one points to `fallback`.
    pub(crate) fn name(
        &self,
        noun: &str,
        token: Token<'a>,
        fallback: Token<'a>,
    ) -> Option<CompactString> {
        match value::name(token.text) {
            Ok(name) => Some(name),
            Err(valid) => {
                let location = if token.text.is_empty() {
                    fallback
                } else {
                    token
                };
                let problem = || format!("'{}' is no valid {noun}", token.text);
                self.add_finding_with(location.span(), || (problem(), valid));
                None
            }
        }
    }

    /// Adds a finding that concerns the entire file.
    pub(crate) fn add_file_finding(&self, problem: String, valid: String) {
        let finding = || Finding::about_file(self.source.name(), problem, valid);
        self.findings.borrow_mut().push(finding);
    }

    /// Adds a finding for each section whose name is not in `known`.
    pub(crate) fn report_unknown_sections(&self, known: &[&str]) {
        for section in &self.sections {
            if !known.contains(&section.name.text) {
                let problem = format!("unknown section [{}]", section.name.text);
                self.add_unknown_name(section.name, problem, known);
            }
        }
    }

    /// Adds a finding about a name that is not in `known`.
    pub(crate) fn add_unknown_name(&self, name: Token<'_>, problem: String, known: &[&str]) {
        self.findings.borrow_mut().push(|| {
            Finding::at(
                &self.source,
                name.span(),
                problem,
                valid_names(name.text, known),
            )
        });
    }

    /// Returns `value` if there are no findings, else the findings.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        self.findings.into_inner().into_result(value)
    }
}

/// Returns a text that lists the valid names, after the one most similar to
/// `name`, if any.
pub(crate) fn valid_names(name: &str, known: &[&str]) -> String {
    let names = known.iter().take(MAX_NAMES_SHOWN).copied();
    let mut all = names.collect::<Vec<_>>().join(", ");
    if known.len() > MAX_NAMES_SHOWN {
        all.push_str(", …");
    }
    match nearest(name, known.iter().copied()) {
        Some(nearest) => format!("'{nearest}'; all: {all}"),
        None => all,
    }
}

/// The keys of one section. A key becomes known when it is read.
pub(crate) struct SectionKeys<'r, 'a> {
    reader: &'r Reader<'a>,
    name: &'r str,
    section: Option<&'r Section<'a>>,
    known: Vec<&'static str>,
}

impl<'r, 'a> SectionKeys<'r, 'a> {
    /// Returns the parsed value of a key, or `None` if it is absent or invalid.
    pub(crate) fn get<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Parsed<T>,
    ) -> Option<T> {
        self.known.push(key);
        let value = self.entry(key)?.value;
        match parse(value.text) {
            Ok(parsed) => Some(parsed),
            Err(valid) => {
                let problem = format!("'{}' is no valid {key}", value.text);
                self.reader.add_finding(self.span(key), problem, valid);
                None
            }
        }
    }

    /// Replaces the default in `target` if the key has a valid value.
    pub(crate) fn set<T>(
        &mut self,
        key: &'static str,
        target: &mut T,
        parse: impl FnOnce(&str) -> Parsed<T>,
    ) {
        if let Some(value) = self.get(key, parse) {
            *target = value;
        }
    }

    /// Returns the parsed value of a mandatory key; `valid` describes the value in
    /// the finding about a missing key.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        valid: &str,
        parse: impl FnOnce(&str) -> Parsed<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            let problem = format!("[{}] lacks {key}", self.name);
            self.add_finding(key, problem, format!("{key} = {valid}"));
        }
        self.get(key, parse)
    }

    /// Adds a finding at the key's value; at the section if the key is absent, or
    /// for the file if the section is absent too.
    pub(crate) fn add_finding(&self, key: &str, problem: String, valid: String) {
        if self.section.is_some() {
            self.reader.add_finding(self.span(key), problem, valid);
        } else {
            self.reader.add_file_finding(problem, valid);
        }
    }

    /// Returns the parsed values of a section whose keys are names; `noun` says in findings
    /// what they name.
    pub(crate) fn named_values<T>(
        &self,
        noun: &str,
        parse: impl Fn(&str) -> Parsed<T>,
    ) -> BTreeMap<CompactString, T> {
        let entries = self.section.iter().flat_map(|s| &s.entries);
        let named = entries.filter_map(|entry| {
            let name = self.reader.name(noun, entry.key, entry.key);
            let value = parse(entry.value.text).map_err(|valid| {
                let problem = format!("'{}' is no valid {}", entry.value.text, self.name);
                self.reader
                    .add_finding(self.span(entry.key.text), problem, valid);
            });
            name.zip(value.ok())
        });
        named.collect()
    }

    /// Adds a finding for each key of the section that was not read.
    pub(crate) fn report_unknown_keys(&self) {
        let entries = self.section.iter().flat_map(|s| &s.entries);
        for entry in entries {
            if !self.known.contains(&entry.key.text) {
                let problem = format!("unknown key {} in [{}]", entry.key.text, self.name);
                self.reader
                    .add_unknown_name(entry.key, problem, &self.known);
            }
        }
    }

    /// Returns whether a key is present, valid or not.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }

    fn entry(&self, key: &str) -> Option<&'r Entry<'a>> {
        self.section?.entries.iter().find(|e| e.key.text == key)
    }

    fn span(&self, key: &str) -> Range<usize> {
        match (self.entry(key), self.section) {
            (Some(entry), _) if entry.value.text.is_empty() => entry.key.span(),
            (Some(entry), _) => entry.value.span(),
            (None, Some(section)) => section.name.span(),
            (None, None) => 0..0,
        }
    }
}
