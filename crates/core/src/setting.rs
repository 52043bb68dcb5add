//! How a wrong setting is reported: the field, its value and what is allowed.

use std::fmt;

/// One wrong setting; all are reported together before anything starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, as in `gateway.listen`.
    pub field: String,
    /// The value found, never a secret.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} = {}: allowed is {}",
            self.field, self.value, self.allowed
        )
    }
}
