//! Processor time and memory of this process, as the kernel reports them in
//! `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/self/stat`, fixed by the kernel's ABI.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KIB: u64 = 1_024;

/// Returns the processor time used so far, user and system, in seconds.
///
/// # Errors
///
/// Returns a message if the file in `/proc` cannot be read or parsed.
pub fn cpu_s() -> Result<f64, String> {
    let stat = fs::read_to_string("/proc/self/stat").map_err(|error| error.to_string())?;
    // The process name in parentheses may contain spaces.
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or("/proc/self/stat has no process name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let clock_ticks = |index: usize| -> Result<f64, String> {
        let field = fields
            .get(index)
            .ok_or("/proc/self/stat has too few fields")?;
        field
            .parse()
            .map_err(|_| format!("expected a number in /proc/self/stat, got {field}"))
    };
    // utime and stime are fields 14 and 15 of the file; `fields` starts at field 3.
    Ok((clock_ticks(11)? + clock_ticks(12)?) / TICKS_PER_S)
}

/// Returns the resident memory of this process in bytes.
///
/// # Errors
///
/// Returns a message if the file in `/proc` cannot be read or parsed.
pub fn resident_bytes() -> Result<u64, String> {
    let status = fs::read_to_string("/proc/self/status").map_err(|error| error.to_string())?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("/proc/self/status has no VmRSS line")?;
    let kb = line.trim().trim_end_matches(" kB");
    let kb: u64 = kb
        .parse()
        .map_err(|_| format!("expected VmRSS in kB as a number, got {kb}"))?;
    Ok(kb * BYTES_PER_KIB)
}

/// Converts a count to a floating-point number.
#[must_use]
pub fn to_f64(count: u64) -> f64 {
    // Counts here stay far below the precision of the mantissa.
    u32::try_from(count).map_or_else(
        |_| f64::from(u32::try_from(count >> 10).unwrap_or(u32::MAX)) * 1_024.0,
        f64::from,
    )
}

/// Returns the median and the maximum of `values`; both are 0 if there are none.
#[must_use]
pub fn median_and_max(mut values: Vec<u64>) -> (u64, u64) {
    values.sort_unstable();
    let median = values.get(values.len() / 2).copied().unwrap_or(0);
    (median, values.last().copied().unwrap_or(0))
}
