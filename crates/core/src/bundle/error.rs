//! Why an offered bundle is not taken in.

use super::digest::Digest;
use super::signature::SignatureError;
use crate::identity::Generation;
use crate::setting::FieldError;
use std::fmt;

/// Why an offered bundle is not taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BundleError {
    /// A content's bytes can't be understood, or belong to another kind of part.
    Malformed {
        /// The content.
        content: Digest,
    },
    /// The signed statement names another generation than the head under which it was offered.
    WrongGeneration {
        /// Generation in the head.
        offered: Generation,
        /// Generation that was signed.
        signed: Generation,
    },
    /// The statement was signed under an authority that the bundle in force does not lead to.
    WrongAuthority,
    /// Too few valid signatures.
    Signatures(SignatureError),
    /// A tenant lies in a bucket where no process would look for it.
    MisplacedTenant,
    /// The content breaks the rules for bundles.
    Invalid(Vec<FieldError>),
}

impl fmt::Display for BundleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { content } => write!(formatter, "content {content} can't be understood"),
            Self::WrongGeneration { offered, signed } => {
                write!(formatter, "offered as generation {offered}, signed for {signed}")
            }
            Self::WrongAuthority => {
                formatter.write_str("signed under an authority that the bundle in force does not lead to")
            }
            Self::Signatures(SignatureError::TooFew { valid, required }) => {
                write!(formatter, "{valid} valid signatures of {required} required")
            }
            Self::MisplacedTenant => formatter.write_str("a tenant lies in the wrong bucket"),
            Self::Invalid(faults) => {
                let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
                formatter.write_str(&texts.join("; "))
            }
        }
    }
}
