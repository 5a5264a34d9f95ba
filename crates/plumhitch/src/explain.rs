//! Says from saved logs of several processes what became of a request.

use crate::args::Explain;
use crate::failure::Failure;
use crate::saved_logs::{Line, lines, read};
use std::collections::BTreeSet;

/// Prints what a request's lines say, in the order of their times.
///
/// # Errors
///
/// Returns that a file can't be read, or that no line names the request.
pub(crate) fn explain(args: &Explain) -> Result<(), Failure> {
    let texts = read(&args.files)?;
    let story = lines(&texts);
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
