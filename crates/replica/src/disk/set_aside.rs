//! Setting aside the files of a damaged data folder.
//!
//! The files are renamed to `damaged-NUMBER-NAME`, and never read again. They also show,
//! until an operator removes them, that the folder held a replica before, so that the new
//! one bootstraps no cluster.

use super::error::DiskError;
use super::file::{Files, list};
use super::format::{STATE_NAME, TEMPORARY_SUFFIX, parse_segment_name, parse_snapshot_name};
use super::synced_record::SYNCED_NAME;
use std::path::Path;

const DAMAGED_PREFIX: &str = "damaged-";
/// Name of the empty file that stands for a replica whose files are all gone.
const LOST_NAME: &str = "lost";
/// Maximum number of damaged folders whose files are kept.
const MAX_KEPT: usize = 2;
/// Maximum bytes that are kept of a damaged folder. Further files are emptied.
const MAX_KEPT_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the names of the files that have been set aside, in order.
pub(super) fn names_set_aside(folder: &Path) -> Result<Vec<String>, DiskError> {
    let mut names = list(folder)?;
    names.retain(|name| damaged_number(name).is_some());
    names.sort_unstable();
    Ok(names)
}

/// Renames a replica's files, so that the folder counts as empty. Returns the prefix of
/// the new names. After an error it can be tried again.
pub(super) fn set_aside(files: &mut Files, folder: &Path) -> Result<String, DiskError> {
    let names = list(folder)?;
    let numbers = damaged_numbers(&names);
    let prefix = damaged_prefix(numbers.last().map_or(1, |n| n + 1));
    let mut kept_bytes = 0;
    for (len, name) in in_order(folder, &names) {
        let path = folder.join(name);
        kept_bytes += len;
        if kept_bytes > MAX_KEPT_BYTES {
            files.truncate(&path, 0)?;
        }
        files.rename(&path, &folder.join(format!("{prefix}{name}")))?;
        // Without the state file, the remaining ones are never taken for a sound folder.
        files.sync_folder(folder)?;
    }
    if numbers.is_empty() && !names.iter().any(|name| is_replica_file(name)) {
        files.create(&folder.join(format!("{prefix}{LOST_NAME}")), &[])?;
    }
    let outdated = (numbers.len() + 1).saturating_sub(MAX_KEPT);
    for number in &numbers[..outdated] {
        remove_damaged(files, folder, &names, *number)?;
    }
    Ok(prefix)
}

/// Returns the names of a replica's files with their lengths, the state file first, then
/// the shortest ones.
fn in_order<'a>(folder: &Path, names: &'a [String]) -> Vec<(u64, &'a String)> {
    let length = |name: &String| {
        let metadata = folder.join(name).symlink_metadata();
        metadata.map_or(0, |m| m.len())
    };
    let replica_files = names.iter().filter(|name| is_replica_file(name));
    let mut found: Vec<(u64, &String)> = replica_files.map(|n| (length(n), n)).collect();
    found.sort_unstable_by_key(|(len, name)| (*name != STATE_NAME, *len));
    found
}

fn remove_damaged(
    files: &mut Files,
    folder: &Path,
    names: &[String],
    number: u64,
) -> Result<(), DiskError> {
    let prefix = damaged_prefix(number);
    let outdated = names.iter().filter(|name| name.starts_with(&prefix));
    for name in outdated {
        files.remove_any(&folder.join(name))?;
    }
    Ok(())
}

/// Returns the numbers of the damaged folders, in ascending order.
fn damaged_numbers(names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|n| damaged_number(n)).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

fn damaged_number(name: &str) -> Option<u64> {
    let (number, _) = name.strip_prefix(DAMAGED_PREFIX)?.split_once('-')?;
    number.parse().ok()
}

fn damaged_prefix(number: u64) -> String {
    format!("{DAMAGED_PREFIX}{number}-")
}

fn is_replica_file(name: &str) -> bool {
    let name = name.strip_suffix(TEMPORARY_SUFFIX).unwrap_or(name);
    name == STATE_NAME
        || name == SYNCED_NAME
        || parse_segment_name(name).is_some()
        || parse_snapshot_name(name).is_some()
}
