//! One-byte quantities for load reports: exact when small, within a twelfth when large.

/// Steps for each doubling.
const STEPS_PER_DOUBLING: u32 = 8;

/// Values up to this one are exact.
const EXACT_LIMIT: u64 = 16;

/// Rounds a count to one byte on a logarithmic scale; the largest that is told apart is about 2^34.
pub fn to_byte(count: u64) -> u8 {
    if count < EXACT_LIMIT {
        return u8::try_from(count).unwrap_or(u8::MAX);
    }
    let exponent = count.ilog2();
    let step = (count >> (exponent - 3)) & u64::from(STEPS_PER_DOUBLING - 1);
    let code = EXACT_LIMIT + u64::from(exponent - 4) * u64::from(STEPS_PER_DOUBLING) + step;
    u8::try_from(code).unwrap_or(u8::MAX)
}

/// The middle of the counts that share the byte.
pub fn from_byte(byte: u8) -> u64 {
    let code = u64::from(byte);
    if code < EXACT_LIMIT {
        return code;
    }
    let steps = code - EXACT_LIMIT;
    let exponent = steps / u64::from(STEPS_PER_DOUBLING) + 4;
    let step = steps % u64::from(STEPS_PER_DOUBLING);
    let width = 1 << (exponent - 3);
    (u64::from(STEPS_PER_DOUBLING) + step) * width + width / 2
}
