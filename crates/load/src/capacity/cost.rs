//! Processor time and memory of this process, by the kernel's accounting.

use std::fs;

/// Units of processor time in `/proc/self/stat`, fixed by the kernel's ABI.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KB: u64 = 1_024;

/// Processor time used so far, user and system, seconds.
///
/// # Errors
///
/// Returns a message if the accounting cannot be read.
pub fn cpu_s() -> Result<f64, String> {
    let stat = fs::read_to_string("/proc/self/stat").map_err(|error| error.to_string())?;
    // The name in parentheses may hold blanks.
    let (_, fields) = stat.rsplit_once(") ").ok_or("no fields in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let clock_ticks = |index: usize| -> Result<f64, String> {
        let field = fields.get(index).ok_or("stat is too short")?;
        field.parse().map_err(|_| format!("not a number: {field}"))
    };
    // utime and stime are fields 14 and 15 of the file.
    Ok((clock_ticks(11)? + clock_ticks(12)?) / TICKS_PER_S)
}

/// Resident memory of this process, bytes.
///
/// # Errors
///
/// Returns a message if the accounting cannot be read.
pub fn resident_bytes() -> Result<u64, String> {
    let status = fs::read_to_string("/proc/self/status").map_err(|error| error.to_string())?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("no VmRSS")?;
    let kb = line.trim().trim_end_matches(" kB");
    let kb: u64 = kb.parse().map_err(|_| format!("not a number: {kb}"))?;
    Ok(kb * BYTES_PER_KB)
}

/// A count as a number that can be divided.
#[must_use]
pub fn to_f64(count: u64) -> f64 {
    // Counts here stay far below the precision of the mantissa.
    u32::try_from(count).map_or_else(
        |_| f64::from(u32::try_from(count >> 10).unwrap_or(u32::MAX)) * 1_024.0,
        f64::from,
    )
}

/// The middle and the highest of some values.
#[must_use]
pub fn median_and_max(mut values: Vec<u64>) -> (u64, u64) {
    values.sort_unstable();
    let median = values.get(values.len() / 2).copied().unwrap_or(0);
    (median, values.last().copied().unwrap_or(0))
}
