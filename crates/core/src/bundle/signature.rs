//! Ed25519 signatures over a bundle's manifest, its place in the history and the proposal that brings it in.

use super::canonical;
use super::content::{OperatorAction, OperatorRule};
use super::digest::Digest;
use crate::identity::{Generation, OperatorId};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// First bytes of every signed message, so that a signature made for anything else never fits.
const SIGNING_CONTEXT: &[u8] = b"shelfjunction signed bundle 1\n";

/// Bytes of an Ed25519 key, secret or public.
pub const KEY_BYTES: usize = 32;

/// Generation of the first bundle, which the root keys sign.
pub const FIRST_GENERATION: Generation = Generation(1);

/// Identifier of one proposal: the generation it is for, a hyphen, and an unguessable part.
///
/// With the generation in it, a proposal that was accepted can be found in the history by its identifier alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProposalId(pub String);

impl ProposalId {
    /// The identifier for a generation and an unguessable text.
    pub fn new(generation: Generation, unguessable: &str) -> Self {
        Self(format!("{generation}-{unguessable}"))
    }

    /// The generation that the proposal is for; absent when the text is no such identifier.
    pub fn generation(&self) -> Option<Generation> {
        let (generation, unguessable) = self.0.split_once('-')?;
        let is_plain = unguessable.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if unguessable.is_empty() || !is_plain {
            return None;
        }
        generation.parse().ok().map(Generation)
    }
}

impl fmt::Display for ProposalId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What operators sign.
///
/// The generation is part of it: a signature brings a bundle in at one place in the history and at no other, so an
/// old signed bundle can't be shown again as a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Place in the history that the bundle is to take.
    pub generation: Generation,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// The proposal.
    pub proposal: ProposalId,
    /// Signed bundle that last changed who may sign; absent: the root keys decide.
    pub authority: Option<Digest>,
}

impl Statement {
    /// The bytes that are signed.
    pub fn message(&self) -> Vec<u8> {
        let mut message = SIGNING_CONTEXT.to_vec();
        message.extend(canonical::to_bytes(self));
        message
    }
}

/// A statement with the signatures that operators gave it; its digest is the head that nodes compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// What was signed.
    pub statement: Statement,
    /// Signatures, sorted by operator.
    pub signatures: Vec<OperatorSignature>,
}

impl SignedBundle {
    /// Canonical bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        canonical::to_bytes(self)
    }

    /// Digest of the canonical bytes.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }
}

/// One operator's signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSignature {
    /// Who signed.
    pub operator: OperatorId,
    /// The signature in hexadecimal.
    pub signature: String,
}

/// A public key that may sign.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningOperator {
    /// Whose key it is.
    pub operator: OperatorId,
    /// The Ed25519 public key in hexadecimal.
    pub public_key: String,
}

/// Who may sign the next bundle and how many of them must.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningAuthority {
    /// Signatures needed, by distinct operators.
    pub required_signatures: u32,
    /// Keys that count, sorted by operator.
    pub operators: Vec<SigningOperator>,
}

/// Why signatures do not suffice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// Fewer valid signatures by distinct operators than needed.
    TooFew {
        /// Valid ones.
        valid: u32,
        /// Needed.
        required: u32,
    },
}

impl SigningAuthority {
    /// The authority that a bundle's operators and its required number give.
    pub fn of_bundle(operators: &[OperatorRule], required_signatures: u32) -> Self {
        let mut signing: Vec<SigningOperator> = operators
            .iter()
            .filter(|rule| rule.actions.contains(&OperatorAction::Sign))
            .map(|rule| SigningOperator {
                operator: rule.operator.clone(),
                public_key: rule.public_key.clone(),
            })
            .collect();
        signing.sort();
        Self {
            required_signatures,
            operators: signing,
        }
    }

    /// Checks that enough distinct operators with distinct keys signed the statement.
    pub fn verify(&self, signed: &SignedBundle) -> Result<(), SignatureError> {
        let message = signed.statement.message();
        let mut signers = BTreeSet::new();
        for signature in &signed.signatures {
            if let Some(key) = self.key_of(&signature.operator)
                && signature_is_valid(key, &message, &signature.signature)
            {
                signers.insert(key.to_ascii_lowercase());
            }
        }
        let valid = u32::try_from(signers.len()).unwrap_or(u32::MAX);
        // An authority that asks for none would let anything through.
        let required = self.required_signatures.max(1);
        if valid >= required {
            Ok(())
        } else {
            Err(SignatureError::TooFew { valid, required })
        }
    }

    /// Whether this one signature counts for the statement.
    pub fn accepts(&self, statement: &Statement, signature: &OperatorSignature) -> bool {
        self.key_of(&signature.operator)
            .is_some_and(|key| signature_is_valid(key, &statement.message(), &signature.signature))
    }

    fn key_of(&self, operator: &OperatorId) -> Option<&str> {
        self.operators
            .iter()
            .find(|known| known.operator == *operator)
            .map(|known| known.public_key.as_str())
    }
}

/// Signs a statement with a secret key.
pub fn sign(secret_key: &[u8; KEY_BYTES], operator: OperatorId, statement: &Statement) -> OperatorSignature {
    let signature = SigningKey::from_bytes(secret_key).sign(&statement.message());
    OperatorSignature {
        operator,
        signature: hex::encode(signature.to_bytes()),
    }
}

/// Public key of a secret key, in hexadecimal.
pub fn public_key(secret_key: &[u8; KEY_BYTES]) -> String {
    hex::encode(SigningKey::from_bytes(secret_key).verifying_key().to_bytes())
}

/// Whether the text is a usable Ed25519 public key in hexadecimal.
pub fn is_public_key(text: &str) -> bool {
    parse_public_key(text).is_some()
}

fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; KEY_BYTES];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    let key = VerifyingKey::from_bytes(&bytes).ok()?;
    (!key.is_weak()).then_some(key)
}

fn signature_is_valid(public_key: &str, message: &[u8], signature: &str) -> bool {
    let Some(key) = parse_public_key(public_key) else {
        return false;
    };
    let Ok(bytes) = hex::decode(signature) else {
        return false;
    };
    let Ok(signature) = Signature::from_slice(&bytes) else {
        return false;
    };
    key.verify_strict(message, &signature).is_ok()
}
