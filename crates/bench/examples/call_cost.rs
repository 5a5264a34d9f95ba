//! Measures the cost of a call: processor time and memory of its entry and its
//! gate, at several rates of calls with small responses, through one entry and
//! through several. No entry's own upstream serves the calls.

use argh::FromArgs;
use bench::cost::{Cost, LoadMeasurement, measure_under_load};
use bench::fit::Line;
use bench::fleet::{Fleet, FleetOptions, ServiceOptions};
use bench::load::LoadOptions;
use miette::Result;

const CLASSES: &str =
    "[class page]\nweight = 1\nidempotent = yes\nkey = optional\ndeadline = 5 s\n";
/// Slots of each upstream that serves the calls.
const SLOTS: u32 = 256;

/// Measures the cost of a call at its entry and its gate.
#[derive(FromArgs)]
struct Options {
    /// rates in calls per second, separated by commas
    #[argh(option, default = "String::from(\"250,500,1000,2000\")")]
    rates: String,
    /// numbers of entries that share the calls, separated by commas
    #[argh(option, default = "String::from(\"1,3\")")]
    entries: String,
    /// upstreams that serve the calls
    #[argh(option, default = "2")]
    gates: usize,
    /// size of a request body, in bytes
    #[argh(option, default = "0")]
    bytes: usize,
    /// measured seconds of each run
    #[argh(option, default = "10")]
    seconds: u64,
    /// connections to each entry
    #[argh(option, default = "64")]
    connections: usize,
}

/// Calls per second, with the mean costs of the entries and of the gates.
struct Row {
    calls: f64,
    entry: Cost,
    gate: Cost,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    println!(
        "entries  rate  calls/s  p50_ms  p99_ms  not_answered  entry_us/call  gate_us/call  \
         entry_MB  gate_MB"
    );
    for entries in parse_numbers(&options.entries) {
        let fleet = Fleet::start(&fleet_options(entries, options.gates)).await?;
        let mut rows = Vec::new();
        for rate in parse_numbers(&options.rates) {
            rows.push(measure(&fleet, rate, &options).await?);
        }
        print_fit("entry", entries, &rows, |r| {
            (r.calls / entries as f64, r.entry)
        });
        print_fit("gate", entries, &rows, |r| {
            (r.calls / options.gates as f64, r.gate)
        });
    }
    Ok(())
}

fn parse_numbers(text: &str) -> impl Iterator<Item = usize> {
    text.split(',').filter_map(|n| n.trim().parse().ok())
}

fn fleet_options(entries: usize, gates: usize) -> FleetOptions {
    let services = vec![
        ServiceOptions::immediate("control", 3, 1),
        ServiceOptions::immediate("front", entries, 1),
        ServiceOptions::immediate("panel", gates, SLOTS),
    ];
    FleetOptions::unlimited(services, CLASSES)
}

async fn measure(fleet: &Fleet, rate: usize, options: &Options) -> Result<Row> {
    let entries = fleet.members_of("front");
    let gates = fleet.members_of("panel");
    let callers = entries.iter().map(|i| fleet.members[*i].callers);
    let load = LoadOptions {
        daemons: callers.collect(),
        flows: vec![format!(
            "service=panel customer=members class=page method=POST rate={rate} bytes={}",
            options.bytes
        )],
        seconds: options.seconds,
        warm_up: 2,
        connections: options.connections,
        args: Vec::new(),
    };
    let daemons = [entries.clone(), gates].concat();
    let measurement = measure_under_load(fleet, &load, &daemons).await?;
    let (entry, gate) = measurement.daemons.split_at(entries.len());
    let (entry, gate) = (mean(entry), mean(gate));
    print(&measurement, [entries.len(), rate], entry, gate, options)
}

fn mean(costs: &[Cost]) -> Cost {
    let count = costs.len() as f64;
    Cost {
        cores: costs.iter().map(|c| c.cores).sum::<f64>() / count,
        memory: costs.iter().map(|c| c.memory).sum::<u64>() / costs.len() as u64,
    }
}

fn print(
    measurement: &LoadMeasurement,
    [entries, rate]: [usize; 2],
    entry: Cost,
    gate: Cost,
    options: &Options,
) -> Result<Row> {
    let all = measurement.all()?;
    let calls = all.answered as f64 / options.seconds as f64;
    let per_call = |cost: Cost, daemons: usize| cost.cores * daemons as f64 / calls * 1e6;
    println!(
        "{entries:7}  {rate:4}  {calls:7.0}  {:6.3}  {:6.3}  {:12}  {:13.0}  {:12.0}  {:8.1}  {:7.1}",
        all.latency_ms[0],
        all.latency_ms[1],
        all.requests() - all.answered,
        per_call(entry, entries),
        per_call(gate, options.gates),
        entry.memory as f64 / 1e6,
        gate.memory as f64 / 1e6,
    );
    Ok(Row { calls, entry, gate })
}

/// Fits a daemon's processor time and memory to its own calls per second.
fn print_fit(role: &str, entries: usize, rows: &[Row], point: impl Fn(&Row) -> (f64, Cost)) {
    let points: Vec<(f64, Cost)> = rows.iter().map(point).collect();
    let cpu: Vec<(f64, f64)> = points.iter().map(|(x, c)| (*x, c.cores * 1e6)).collect();
    let memory: Vec<(f64, f64)> = points
        .iter()
        .map(|(x, c)| (*x, c.memory as f64 / 1e6))
        .collect();
    let (cpu, memory) = (Line::fit(&cpu), Line::fit(&memory));
    println!(
        "fit {role}, {entries} entries: {:.0} us/s + {:.1} us per call, largest error {:.0} %; \
         {:.1} MB + {:.2} MB per 1000 calls/s, largest error {:.0} %",
        cpu.intercept,
        cpu.slope,
        cpu.max_relative_error * 100.0,
        memory.intercept,
        memory.slope * 1e3,
        memory.max_relative_error * 100.0
    );
}
