//! The sample settings and lists of both users.

#![allow(clippy::unwrap_used)]

use conf::{KeyRule, Plans, Settings, parse_lists};
use std::fs;
use std::path::{Path, PathBuf};
use test_case::test_case;

fn folder(user: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(user)
}

fn plans(user: &str) -> Plans {
    let read = |file: &str| fs::read_to_string(folder(user).join(file)).unwrap();
    let (plans, customers) = (read("plans.ini"), read("customers.ini"));
    let lists = parse_lists(("plans.ini", &plans), ("customers.ini", &customers));
    lists
        .unwrap_or_else(|findings| unreachable!("{findings}"))
        .0
}

#[test_case("baanvrij", 4)]
#[test_case("te-matakitaki", 4)]
fn settings_of_sample_have_no_findings(user: &str, count: usize) {
    let files = fs::read_dir(folder(user))
        .unwrap()
        .map(|f| f.unwrap().path());
    let lists = ["plans.ini", "customers.ini"];
    let files = files.filter(|f| !lists.contains(&f.file_name().unwrap().to_str().unwrap()));
    let settings: Vec<Settings> = files
        .map(|f| Settings::load(&f).unwrap_or_else(|findings| unreachable!("{findings}")))
        .collect();
    assert_eq!(settings.len(), count);
    let replicas = &settings[0].control.replicas;
    assert!(settings.iter().all(|s| &s.control.replicas == replicas));
    let disks = settings.iter().filter(|s| s.control.data_dir.is_some());
    let mut addresses: Vec<_> = disks.map(|s| s.listen.peers).collect();
    addresses.sort();
    assert_eq!(&addresses, replicas);
}

#[test_case("baanvrij", &["reservation", "upload"]; "baanvrij")]
#[test_case("te-matakitaki", &["payment", "enrolment", "meter-data"]; "te matakitaki")]
fn lists_of_sample_demand_a_key_where_a_request_may_run_once(user: &str, once: &[&str]) {
    let plans = plans(user);
    for class in once {
        assert!(!plans.classes[*class].idempotent);
        assert_eq!(plans.classes[*class].key, KeyRule::Required);
    }
    let heaviest = plans.classes.iter().max_by_key(|(_, class)| class.weight);
    assert_eq!(heaviest.unwrap().0, once[0]);
}
