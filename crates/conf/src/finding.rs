//! Problems found in a file, each with its location and what would be valid
//! instead.

use compact_str::CompactString;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::error::Error;
use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// Maximum number of findings kept per file; further ones are only counted.
const MAX_FINDINGS: usize = 100;

/// Name and text of a file, shared by the findings in it.
pub(crate) type Source = Arc<NamedSource<String>>;

/// Returns a text with its file name, for findings to refer to.
pub(crate) fn source(file: &str, text: &str) -> Source {
    Arc::new(NamedSource::new(file, text.to_owned()))
}

/// A problem in a file or list.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Name of the file.
    pub file: CompactString,
    /// Line number, from 1; 0 if the finding concerns the entire file.
    pub line: usize,
    /// Column in characters, from 1; 0 if the finding concerns the entire file.
    pub column: usize,
    /// Description of the problem.
    pub problem: String,
    /// What would be valid.
    pub valid: String,
    location: Option<(Source, Range<usize>)>,
}

impl Finding {
    /// Creates a finding that concerns an entire file.
    pub(crate) fn about_file(file: &str, problem: String, valid: String) -> Self {
        Self {
            file: file.into(),
            line: 0,
            column: 0,
            problem,
            valid,
            location: None,
        }
    }

    /// Creates a finding about a byte range of a file.
    pub(crate) fn at(source: &Source, span: Range<usize>, problem: String, valid: String) -> Self {
        let before = &source.inner()[..span.start];
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        Self {
            file: source.name().into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            problem,
            valid,
            location: Some((Arc::clone(source), span)),
        }
    }
}

impl PartialEq for Finding {
    fn eq(&self, other: &Self) -> bool {
        let key = |f: &Self| (f.line, f.column);
        key(self) == key(other)
            && self.file == other.file
            && self.problem == other.problem
            && self.valid == other.valid
    }
}

impl Eq for Finding {}

impl fmt::Display for Finding {
    /// Writes the finding on one line: `file:line:column: problem; valid: …`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if self.line > 0 {
            write!(f, "{}:{}:", self.line, self.column)?;
        }
        write!(f, " {}; valid: {}", self.problem, self.valid)
    }
}

impl Error for Finding {}

/// Adapter that lets miette render a finding. The message has no location,
/// since miette shows the source excerpt.
#[derive(Debug)]
struct FindingDiagnostic(Finding);

impl fmt::Display for FindingDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.location {
            Some(_) => write!(f, "{}", self.0.problem),
            None => write!(f, "{}: {}", self.0.file, self.0.problem),
        }
    }
}

impl Error for FindingDiagnostic {}

impl Diagnostic for FindingDiagnostic {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(format!("valid: {}", self.0.valid)))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        let (source, _) = self.0.location.as_ref()?;
        Some(source.as_ref())
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let (_, span) = self.0.location.as_ref()?;
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), span.clone());
        Some(Box::new(std::iter::once(label)))
    }
}

/// All findings in the files that were read together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    items: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    /// Returns the findings that were kept, in the order of their locations.
    #[must_use]
    pub fn items(&self) -> &[Finding] {
        &self.items
    }

    /// Returns the number of findings that were counted but not kept.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns the findings as text, one per line.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self.items.iter().map(ToString::to_string).collect();
        if self.omitted > 0 {
            lines.push(format!("and {} more findings", self.omitted));
        }
        lines
    }

    /// Returns the findings as text for a terminal, each with an excerpt of its
    /// file.
    #[must_use]
    pub fn report(&self) -> String {
        let mut report = String::new();
        for finding in &self.items {
            let diagnostic = miette::Report::new(FindingDiagnostic(finding.clone()));
            report.push_str(&format!("{diagnostic:?}\n"));
        }
        if self.omitted > 0 {
            report.push_str(&format!("and {} more findings\n", self.omitted));
        }
        report
    }

    /// Adds a finding, or only counts it beyond the limit. The finding is built
    /// lazily, since a large file may have one on every line.
    pub(crate) fn push(&mut self, finding: impl FnOnce() -> Finding) {
        if self.items.len() < MAX_FINDINGS {
            self.items.push(finding());
        } else {
            self.omitted += 1;
        }
    }

    /// Adds the findings of another file.
    pub fn extend(&mut self, other: Self) {
        other.items.into_iter().for_each(|f| self.push(|| f));
        self.omitted += other.omitted;
    }

    /// Returns `value` if there are no findings, else the findings in the order
    /// of their locations.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.items.is_empty() => Ok(value),
            _ => {
                self.items.sort_by_key(|f| (f.line, f.column));
                Err(self)
            }
        }
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self {
            items: vec![finding],
            omitted: 0,
        }
    }
}

impl fmt::Display for Findings {
    /// Writes one finding per line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.lines().join("\n"))
    }
}

impl Error for Findings {}
