//! Typed access to the sections of an INI text.

use crate::finding::{Finding, Findings, Source};
use crate::ini::{self, Entry, Section, Token};
use crate::nearest::nearest;
use crate::value::{self, Value};
use compact_str::CompactString;
use std::cell::RefCell;
use std::ops::Range;

/// Valid names that are shown in a finding.
const MAX_SHOWN: usize = 20;

/// The sections of a file, and what was found wrong in it.
pub(crate) struct Reader<'a> {
    source: Source,
    sections: Vec<Section<'a>>,
    findings: RefCell<Findings>,
}

impl<'a> Reader<'a> {
    /// Reads a text into sections.
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

    /// Returns a section to read keys from, which may be absent.
    pub(crate) fn section(&self, name: &'static str) -> Keys<'_, 'a> {
        let section = self.sections.iter().find(|s| s.name.text == name);
        self.keys(name, section)
    }

    /// Returns a section to read keys from.
    pub(crate) fn keys<'r>(
        &'r self,
        name: &'r str,
        section: Option<&'r Section<'a>>,
    ) -> Keys<'r, 'a> {
        Keys {
            reader: self,
            name,
            section,
            known: Vec::new(),
        }
    }

    /// Records a finding about a place.
    pub(crate) fn finding(&self, span: Range<usize>, wrong: String, valid: String) {
        let finding = || Finding::at(&self.source, span, wrong, valid);
        self.findings.borrow_mut().push(finding);
    }

    /// Records a finding about a place, said only if there is room for it.
    pub(crate) fn finding_with(&self, span: Range<usize>, say: impl FnOnce() -> (String, String)) {
        self.findings.borrow_mut().push(|| {
            let (wrong, valid) = say();
            Finding::at(&self.source, span, wrong, valid)
        });
    }

    /// Reads a name, shown at `place` when it is empty.
    pub(crate) fn name(
        &self,
        noun: &str,
        token: Token<'a>,
        place: Token<'a>,
    ) -> Option<CompactString> {
        match value::name(token.text) {
            Ok(name) => Some(name),
            Err(valid) => {
                let shown = if token.text.is_empty() { place } else { token };
                let wrong = || format!("'{}' is no valid {noun}", token.text);
                self.finding_with(shown.span(), || (wrong(), valid));
                None
            }
        }
    }

    /// Records a finding about the file as a whole.
    pub(crate) fn finding_whole(&self, wrong: String, valid: String) {
        let finding = || Finding::whole(self.source.name(), wrong, valid);
        self.findings.borrow_mut().push(finding);
    }

    /// Records findings about sections with other names than these.
    pub(crate) fn unknown_sections(&self, known: &[&str]) {
        for section in &self.sections {
            if !known.contains(&section.name.text) {
                let wrong = format!("unknown section [{}]", section.name.text);
                self.unknown(section.name, wrong, known);
            }
        }
    }

    /// Records a finding about a name that is none of `known`.
    pub(crate) fn unknown(&self, name: Token<'_>, wrong: String, known: &[&str]) {
        self.findings
            .borrow_mut()
            .push(|| Finding::at(&self.source, name.span(), wrong, one_of(name.text, known)));
    }

    /// Returns `value` if nothing was found wrong.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Findings> {
        self.findings.into_inner().or(value)
    }
}

/// Says which names are valid, the nearest first.
pub(crate) fn one_of(name: &str, known: &[&str]) -> String {
    let shown = known.iter().take(MAX_SHOWN).copied();
    let mut all = shown.collect::<Vec<_>>().join(", ");
    if known.len() > MAX_SHOWN {
        all.push_str(", …");
    }
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("'{near}'; all: {all}"),
        None => all,
    }
}

/// The keys of one section. Every key that is asked for counts as known.
pub(crate) struct Keys<'r, 'a> {
    reader: &'r Reader<'a>,
    name: &'r str,
    section: Option<&'r Section<'a>>,
    known: Vec<&'static str>,
}

impl<'r, 'a> Keys<'r, 'a> {
    /// Returns a value, or `None` if it is absent or invalid.
    pub(crate) fn get<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Value<T>,
    ) -> Option<T> {
        self.known.push(key);
        let value = self.entry(key)?.value;
        match parse(value.text) {
            Ok(parsed) => Some(parsed),
            Err(valid) => {
                let wrong = format!("'{}' is no valid {key}", value.text);
                self.reader.finding(self.span(key), wrong, valid);
                None
            }
        }
    }

    /// Replaces a default by the value, if one is given.
    pub(crate) fn set<T>(
        &mut self,
        key: &'static str,
        target: &mut T,
        parse: impl FnOnce(&str) -> Value<T>,
    ) {
        if let Some(value) = self.get(key, parse) {
            *target = value;
        }
    }

    /// Returns a value that must be given.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        valid: &str,
        parse: impl FnOnce(&str) -> Value<T>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            let wrong = format!("[{}] lacks {key}", self.name);
            self.finding(key, wrong, format!("{key} = {valid}"));
        }
        self.get(key, parse)
    }

    /// Records a finding at the key's value, or at the section if the key is
    /// absent, or about the file.
    pub(crate) fn finding(&self, key: &str, wrong: String, valid: String) {
        if self.section.is_some() {
            self.reader.finding(self.span(key), wrong, valid);
        } else {
            self.reader.finding_whole(wrong, valid);
        }
    }

    /// Records findings about the keys that nobody asked for.
    pub(crate) fn unknown_keys(&self) {
        let entries = self.section.iter().flat_map(|s| &s.entries);
        for entry in entries {
            if !self.known.contains(&entry.key.text) {
                let wrong = format!("unknown key {} in [{}]", entry.key.text, self.name);
                self.reader.unknown(entry.key, wrong, &self.known);
            }
        }
    }

    /// Returns whether a key is given, valid or not.
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
