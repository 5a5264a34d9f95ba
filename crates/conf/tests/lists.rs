//! Tests of the parsing and checking of plan and customer lists.

#![allow(clippy::unwrap_used)]

use conf::{
    Customers, KeyRule, Plan, Plans, check_lists, parse_customers, parse_lists, parse_plans,
};
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};
use test_case::test_case;

fn read(file: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    fs::read_to_string(folder.join(file)).unwrap()
}

fn plans() -> Plans {
    parse_plans("two.ini", &read("valid/plans/two.ini")).unwrap()
}

#[test]
fn plans_valid_are_read_with_defaults() {
    let plans = plans();
    let club = Plan {
        rate: 20,
        burst: 60,
        in_flight: 10,
        share: 2,
    };
    let guest = Plan {
        rate: 5,
        burst: 5,
        in_flight: 2,
        share: 1,
    };
    assert_eq!(plans.plans["club"], club);
    assert_eq!(plans.plans["guest"], guest);
    assert_eq!(plans.classes["booking"].key, KeyRule::Required);
    assert_eq!(plans.classes["page"].key, KeyRule::Optional);
    assert_eq!(plans.classes["note"].key, KeyRule::Optional);
    assert_eq!(plans.classes["page"].deadline, Duration::from_millis(500));
}

#[test]
fn lists_valid_are_accepted() {
    let customers = read("valid/customers/two.ini");
    let lists = parse_lists(
        ("two.ini", &read("valid/plans/two.ini")),
        ("two.ini", &customers),
    );
    let (plans, customers) = lists.unwrap();
    assert_eq!(customers["tc-utrecht"], "club");
    assert_eq!(check_lists(&plans, &customers), Ok(()));
}

#[test]
fn plans_invalid() {
    let findings = parse_plans("values.ini", &read("invalid/plans/values.ini")).unwrap_err();
    let expected = read("invalid/plans/values.findings");
    assert_eq!(findings.lines().join("\n"), expected.trim_end());
}

#[test]
fn lists_invalid_names_plans_and_sections() {
    let customers = read("invalid/customers/names.ini");
    let lists = parse_lists(
        ("two.ini", &read("valid/plans/two.ini")),
        ("names.ini", &customers),
    );
    let expected = read("invalid/customers/names.findings");
    assert_eq!(lists.unwrap_err().lines().join("\n"), expected.trim_end());
}

#[test]
fn check_lists_reports_each_customer_with_an_unknown_plan() {
    let customers = Customers::from([
        ("tc-ede".into(), "clubs".into()),
        ("tc-delft".into(), "club".into()),
        ("tc-goes".into(), "zzzzzzzzzz".into()),
    ]);
    let findings = check_lists(&plans(), &customers).unwrap_err();
    let expected = [
        "customers: customer 'tc-ede' has the unknown plan 'clubs'; valid: 'club'; all: club, guest",
        "customers: customer 'tc-goes' has the unknown plan 'zzzzzzzzzz'; valid: club, guest",
    ];
    assert_eq!(findings.lines(), expected);
}

#[test_case(100_000, 0; "100_000 valid")]
#[test_case(100_000, 99_900; "100_000 with an unknown plan")]
#[test_case(200_001, 1; "too many")]
fn customers_many(count: usize, omitted: usize) {
    let plan = if omitted > 1 { "clubs" } else { "club" };
    let mut text = "[customers]\n".to_owned();
    (0..count).for_each(|i| writeln!(text, "customer-{i} = {plan}").unwrap());
    let started = Instant::now();
    let plans = read("valid/plans/two.ini");
    let lists = parse_lists(("plans.ini", &plans), ("customers.ini", &text));
    // Wide enough for a loaded machine; quadratic parsing would take minutes.
    assert!(started.elapsed() < Duration::from_secs(10));
    match omitted {
        0 => assert_eq!(lists.unwrap().1.len(), count),
        1 => assert!(lists.unwrap_err().lines()[0].contains("200001 customers")),
        _ => assert_eq!(lists.unwrap_err().omitted(), omitted),
    }
}

#[test]
fn parse_customers_does_not_look_up_plans() {
    let customers = parse_customers("two.ini", &read("valid/customers/two.ini")).unwrap();
    assert_eq!(customers.len(), 2);
}

#[test_case("")]
#[test_case("; nothing left\n")]
fn customers_without_section_is_a_finding(text: &str) {
    let findings = parse_customers("empty.ini", text).unwrap_err();
    assert_eq!(
        findings.lines(),
        ["empty.ini: no customers; valid: [customers]"]
    );
}
