//! Says from saved logs of several processes what became of a request.

use crate::args::Explain;
use crate::failure::Failure;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{self, Read};

/// Longest text read, in bytes.
const MAX_BYTES: u64 = 4 << 30;

/// One line of a log.
#[derive(Clone, Debug)]
struct Line<'a> {
    /// Where it comes from: the file, or what stands before its time.
    process: String,
    time_ms: u64,
    fields: BTreeMap<&'a str, String>,
}

/// Prints what a request's lines say, in the order of their times.
///
/// # Errors
///
/// Returns that a file can't be read, or that no line names the request.
pub(crate) fn explain(args: &Explain) -> Result<(), Failure> {
    let texts = read(args)?;
    let mut story = Vec::new();
    for (file, text) in &texts {
        story.extend(text.lines().filter_map(|l| parse(file, l)));
    }
    let lines = of_request(&story, &args.id);
    if lines.is_empty() {
        let why = format!("no line names {}; was its log level above info?", args.id);
        return Err(Failure::Failed(why));
    }
    let begun = lines.first().map_or(0, |l| l.time_ms);
    for line in lines {
        let after = line.time_ms.saturating_sub(begun);
        println!("{after:>6} ms  {:<20} {}", line.process, sentence(line));
    }
    Ok(())
}

fn read(args: &Explain) -> Result<Vec<(String, String)>, Failure> {
    let failed = |name: &str, err: &io::Error| Failure::Failed(format!("{name}: {err}"));
    if args.files.is_empty() {
        let mut text = String::new();
        let read = io::stdin().take(MAX_BYTES).read_to_string(&mut text);
        read.map_err(|err| failed("standard input", &err))?;
        return Ok(vec![(String::new(), text)]);
    }
    let files = args.files.iter().map(|path| {
        let name = path.display().to_string();
        let text = fs::read(path).map_err(|err| failed(&name, &err))?;
        Ok((name, String::from_utf8_lossy(&text).into_owned()))
    });
    files.collect()
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

/// Returns the lines of a request: those that name the caller's id, or the
/// number that its daemon gave it.
fn of_request<'l, 'a>(all: &'l [Line<'a>], id: &str) -> Vec<&'l Line<'a>> {
    let names =
        |line: &Line<'_>, key: &str, value: &str| line.fields.get(key).is_some_and(|v| v == value);
    let named: Vec<&Line<'_>> = all.iter().filter(|l| names(l, "attempt_id", id)).collect();
    let numbers: BTreeSet<(&str, &str)> = named
        .iter()
        .filter_map(|l| Some((l.process.as_str(), l.fields.get("id")?.as_str())))
        .collect();
    let mut lines: Vec<&Line<'_>> = all
        .iter()
        .filter(|l| {
            let number = l.fields.get("id").map(|n| (l.process.as_str(), n.as_str()));
            let own = number.is_some_and(|n| numbers.contains(&n));
            // A daemon that starts again uses its numbers again.
            let foreign = l.fields.get("attempt_id").is_some_and(|a| !a.is_empty());
            let own = own && !foreign || numbers.is_empty() && names(l, "id", id);
            names(l, "attempt_id", id) || own
        })
        .collect();
    lines.sort_by_key(|l| l.time_ms);
    lines
}

/// Says what a line means, with the inputs that decided.
fn sentence(line: &Line<'_>) -> String {
    let field = |key: &str| line.fields.get(key).map_or("?", String::as_str);
    match field("event") {
        "chosen" => format!(
            "attempt {} goes to {}: {} ms left, believed slowness {} (100 is usual)",
            field("attempt"),
            field("upstream"),
            field("deadline_ms"),
            field("believed_slow_percent"),
        ),
        "not_admitted" => format!(
            "gate did not run it: {}; {} of {} running, {} waiting, cold {}, slowness {} where \
             the entry believed {}",
            field("reason"),
            field("in_flight"),
            field("limit"),
            field("waiting"),
            field("cold"),
            field("slow_percent"),
            field("believed_slow_percent"),
        ),
        "attempt_failed" => format!("the upstream failed it: {}", field("reason")),
        "run" => format!(
            "run ended as {} after {} us (cancelled {}); it began with {} of {} running, {} \
             waiting, slowness {}",
            field("outcome"),
            field("took_us"),
            field("cancelled"),
            field("in_flight"),
            field("limit"),
            field("waiting"),
            field("slow_percent"),
        ),
        "request" => format!(
            "final answer: {} {} {} status {} after {} us and {} attempts",
            field("outcome"),
            field("reason"),
            field("run"),
            field("status"),
            field("took_us"),
            field("attempts"),
        ),
        other => format!("{other}: {:?}", line.fields),
    }
}
