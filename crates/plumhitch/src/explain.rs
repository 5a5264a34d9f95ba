//! Explains how a request was handled, from the saved logs of several daemons.

use crate::args::Explain;
use crate::failure::Failure;
use crate::saved_logs::{LogLine, parse_logs, read_logs};
use std::collections::BTreeSet;

/// Prints a description of each log line of a request, ordered by time.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line belongs to the request.
pub(crate) fn explain(args: &Explain) -> Result<(), Failure> {
    let texts = read_logs(&args.files)?;
    let all = parse_logs(&texts);
    let lines = lines_of_request(&all, &args.id);
    if lines.is_empty() {
        let reason = format!("no line names {}; was its log level above info?", args.id);
        return Err(Failure::Failed(reason));
    }
    let first_ms = lines.first().map_or(0, |line| line.time_ms);
    for line in lines {
        let elapsed_ms = line.time_ms.saturating_sub(first_ms);
        println!(
            "{elapsed_ms:>6} ms  {:<20} {}",
            line.process,
            describe(line)
        );
    }
    Ok(())
}

/// Returns the log lines of a request. `id` is the attempt id set by the caller, the
/// request id that a daemon assigned, or the fingerprint that all attempts of the
/// request share.
fn lines_of_request<'l, 'a>(all: &'l [LogLine<'a>], id: &str) -> Vec<&'l LogLine<'a>> {
    let has_field = |line: &LogLine<'_>, key: &str, value: &str| {
        line.fields.get(key).is_some_and(|v| v == value)
    };
    let with_attempt_id: Vec<&LogLine<'_>> = all
        .iter()
        .filter(|line| has_field(line, "attempt_id", id))
        .collect();
    let request_ids: BTreeSet<(&str, &str)> = with_attempt_id
        .iter()
        .filter_map(|line| Some((line.process.as_str(), line.fields.get("id")?.as_str())))
        .collect();
    let mut lines: Vec<&LogLine<'_>> = all
        .iter()
        .filter(|line| {
            let request_id = line
                .fields
                .get("id")
                .map(|n| (line.process.as_str(), n.as_str()));
            let belongs = request_id.is_some_and(|n| request_ids.contains(&n));
            // Daemons reuse request ids after a restart, so a line with a different
            // attempt id does not belong to the request.
            let has_attempt_id = line.fields.get("attempt_id").is_some_and(|a| !a.is_empty());
            let belongs =
                belongs && !has_attempt_id || request_ids.is_empty() && has_field(line, "id", id);
            has_field(line, "attempt_id", id) || has_fingerprint(line, id) || belongs
        })
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    lines
}

/// Returns whether a line is about a request with this fingerprint.
fn has_fingerprint(line: &LogLine<'_>, fingerprint: &str) -> bool {
    let of_request = line.fields.get("fingerprint");
    let in_flight = line.fields.get("fingerprints");
    of_request.is_some_and(|f| f == fingerprint)
        || in_flight.is_some_and(|list| list.split(',').any(|f| f == fingerprint))
}

/// Describes the event of a line, with the values on which the decision was
/// based.
fn describe(line: &LogLine<'_>) -> String {
    let field = |key: &str| line.fields.get(key).map_or("?", String::as_str);
    match field("event") {
        "chosen" => format!(
            "attempt {} sent to {}: {} ms remaining, assumed service time {}% of normal",
            field("attempt"),
            field("upstream"),
            field("deadline_ms"),
            field("believed_slow_percent"),
        ),
        "not_admitted" => format!(
            "gate did not run it: {}; {} of {} running, {} queued, cold {}, service time {}% of \
             normal where the entry assumed {}%",
            field("reason"),
            field("in_flight"),
            field("limit"),
            field("waiting"),
            field("cold"),
            field("slow_percent"),
            field("believed_slow_percent"),
        ),
        "attempt_failed" => format!("the attempt failed at the upstream: {}", field("reason")),
        "run" => format!(
            "run of {} at {} ended as {} after {} us (cancelled {}), {} us in the queue before; at \
             its start {} of {} running, {} queued, service time {}% of normal",
            field("service"),
            field("upstream"),
            field("outcome"),
            field("took_us"),
            field("cancelled"),
            field("waited_us"),
            field("in_flight"),
            field("limit"),
            field("waiting"),
            field("slow_percent"),
        ),
        "request" => format!(
            "final response: {} {} {} status {} after {} us and {} attempts, by configuration {} \
             (routing {}), confirmed {} ms before",
            field("outcome"),
            field("reason"),
            field("run"),
            field("status"),
            field("took_us"),
            field("attempts"),
            field("config_version"),
            field("routing_version"),
            field("confirmed_ms"),
        ),
        "upstream_crashed" => format!(
            "the upstream ended; in flight were the requests with fingerprints {}",
            field("fingerprints"),
        ),
        other => format!("{other}: {:?}", line.fields),
    }
}
