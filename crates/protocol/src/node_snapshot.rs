//! What a node hands to another that asks: the configuration, the list of engines, cordons, and what engines hold.
//!
//! The question is one byte, a bit for each thing that is wanted. The answer is everything up to the end of the
//! connection, in one of two formats:
//!
//! ```text
//! format 1: the bincode of four fields in order: configuration, list, cordons, held parts. Its first byte is 0 or 1.
//! format 2: the byte 2, then sections: number (2 bytes), length (4 bytes), both big-endian, and as many bytes.
//! ```
//!
//! Whoever asks says whether it understands format 2; a build that doesn't know the bit passes it over and answers in
//! format 1, which never changes. In format 2 a section of an unknown number is passed over, and a section that has been
//! released never changes: what is new gets a new number.

use bincode::config::{Configuration, standard};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shelfjunction_core::cordon::CordonSet;
use shelfjunction_core::forwarding::ForwardingConfig;
use shelfjunction_core::identity::{SoftwareVersion, TenantId};
use shelfjunction_core::routing::pool::{KnownChanges, ListSnapshot, PrefixUpdate};
use shelfjunction_core::tenancy::rate::TenantRate;
use std::fmt;

const CODEC: Configuration = standard();

/// First byte of an answer in sections.
const SECTIONS: u8 = 2;

const CONFIG: u16 = 1;
const LIST: u16 = 2;
const CORDONS: u16 = 3;
const HELD: u16 = 4;
/// The list names only engines in use; without content.
const LIST_IN_USE: u16 = 5;
/// What the sender knows of the last changes of entries, up to the version of the list.
const LIST_CHANGES: u16 = 6;
/// The rates of the configuration's tenants.
const TENANT_RATES: u16 = 7;
/// Software versions of the engines of the list, in its order.
const SOFTWARE_VERSIONS: u16 = 8;

/// Bytes before a section's content.
const SECTION_HEAD: usize = 6;

/// What a node asks another for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// The configuration in force.
    pub config: bool,
    /// The list of engines.
    pub list: bool,
    /// What engines are believed to hold.
    pub held: bool,
    /// The operators' cordons.
    pub cordons: bool,
    /// Whether the asker understands format 2.
    pub sections: bool,
    /// Whether the engines in use suffice as a list.
    pub in_use_suffice: bool,
}

impl Wanted {
    /// Everything that there is.
    pub const ALL: Self = Self {
        config: true,
        list: true,
        held: true,
        cordons: true,
        sections: true,
        in_use_suffice: false,
    };

    /// Whether anything is wanted.
    pub fn any(self) -> bool {
        self.config || self.list || self.held || self.cordons
    }

    /// The question.
    pub fn to_byte(self) -> u8 {
        let bits = [
            self.config,
            self.list,
            self.held,
            self.cordons,
            self.sections,
            self.in_use_suffice,
        ];
        let bits = bits.into_iter().enumerate();
        bits.fold(0, |byte, (place, bit)| byte | u8::from(bit) << place)
    }

    /// Reads a question; bits that are not known are passed over.
    pub fn of_byte(byte: u8) -> Self {
        let bit = |place: u8| byte & (1 << place) != 0;
        Self {
            config: bit(0),
            list: bit(1),
            held: bit(2),
            cordons: bit(3),
            sections: bit(4),
            in_use_suffice: bit(5),
        }
    }
}

/// What a node hands over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Option<ForwardingConfig>,
    /// Whether the configuration has the rates of its tenants; not from builds that don't know them.
    pub has_tenant_rates: bool,
    /// The list of engines.
    pub list: Option<ListSnapshot>,
    /// Whether the list names only the engines in use.
    pub list_is_partial: bool,
    /// What is known of the last changes of its entries; absent from builds that don't tell, and with a whole list.
    pub list_changes: Option<KnownChanges>,
    /// The operators' cordons.
    pub cordons: Option<CordonSet>,
    /// What engines are believed to hold.
    pub held: Vec<PrefixUpdate>,
}

/// Why an answer can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It ends too soon, in a section or before one.
    CutOff,
    /// A part is not what it should be; the field and what is wrong with it.
    Malformed(&'static str, String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutOff => write!(formatter, "ends too soon"),
            Self::Malformed(field, fault) => write!(formatter, "{field}: {fault}"),
        }
    }
}

/// An answer in format 1; frozen.
#[derive(Serialize, Deserialize)]
struct FirstFormat {
    config: Option<ForwardingConfig>,
    list: Option<ListSnapshot>,
    cordons: Option<CordonSet>,
    held: Vec<PrefixUpdate>,
}

impl Snapshot {
    /// The answer to whoever asked so. A partial list is not told in format 1, which can't say that it is one.
    pub fn encode(self, wanted: Wanted) -> Result<Vec<u8>, SnapshotError> {
        if wanted.sections {
            return self.encode_sections();
        }
        let first = FirstFormat {
            config: self.config,
            list: self.list.filter(|_| !self.list_is_partial),
            cordons: self.cordons,
            held: self.held,
        };
        encode("snapshot", &first)
    }

    fn encode_sections(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = vec![SECTIONS];
        if let Some(config) = &self.config {
            push_section(&mut bytes, CONFIG, &encode("config", config)?);
            if let Some(tenants) = &config.tenants {
                push_section(
                    &mut bytes,
                    TENANT_RATES,
                    &encode("tenant_rates", &tenants.rates())?,
                );
            }
        }
        if let Some(list) = &self.list {
            push_section(&mut bytes, LIST, &encode("list", list)?);
            let versions: Vec<_> = list
                .engines
                .iter()
                .map(|engine| &engine.software_version)
                .collect();
            push_section(
                &mut bytes,
                SOFTWARE_VERSIONS,
                &encode("software_versions", &versions)?,
            );
        }
        if let Some(cordons) = &self.cordons {
            push_section(&mut bytes, CORDONS, &encode("cordons", cordons)?);
        }
        if !self.held.is_empty() {
            push_section(&mut bytes, HELD, &encode("held", &self.held)?);
        }
        if self.list_is_partial {
            push_section(&mut bytes, LIST_IN_USE, &[]);
        }
        if let Some(changes) = &self.list_changes {
            push_section(&mut bytes, LIST_CHANGES, &encode("list_changes", changes)?);
        }
        Ok(bytes)
    }

    /// Reads an answer in either format.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        match bytes.first() {
            None => Err(SnapshotError::CutOff),
            Some(&SECTIONS) => Self::decode_sections(&bytes[1..]),
            Some(_) => {
                let first: FirstFormat = decode("snapshot", bytes)?;
                Ok(Self {
                    config: first.config,
                    has_tenant_rates: false,
                    list: first.list,
                    list_is_partial: false,
                    list_changes: None,
                    cordons: first.cordons,
                    held: first.held,
                })
            }
        }
    }

    fn decode_sections(mut rest: &[u8]) -> Result<Self, SnapshotError> {
        let mut snapshot = Self::default();
        let mut rates: Option<Vec<(TenantId, TenantRate)>> = None;
        let mut versions: Vec<Option<SoftwareVersion>> = Vec::new();
        while !rest.is_empty() {
            let (number, content, after) = next_section(rest)?;
            rest = after;
            match number {
                CONFIG => snapshot.config = Some(decode("config", content)?),
                LIST => snapshot.list = Some(decode("list", content)?),
                CORDONS => snapshot.cordons = Some(decode("cordons", content)?),
                HELD => snapshot.held = decode("held", content)?,
                LIST_IN_USE => snapshot.list_is_partial = true,
                TENANT_RATES => rates = Some(decode("tenant_rates", content)?),
                LIST_CHANGES => snapshot.list_changes = Some(decode("list_changes", content)?),
                SOFTWARE_VERSIONS => versions = decode("software_versions", content)?,
                // A later build says more.
                _ => {}
            }
        }
        if let Some(list) = &mut snapshot.list {
            for (engine, version) in list.engines.iter_mut().zip(versions) {
                engine.software_version = version;
            }
        }
        snapshot.has_tenant_rates = rates.is_some();
        let tenants = snapshot
            .config
            .as_mut()
            .and_then(|config| config.tenants.as_mut());
        if let (Some(tenants), Some(rates)) = (tenants, rates) {
            tenants.set_rates(&rates);
        }
        Ok(snapshot)
    }
}

fn push_section(bytes: &mut Vec<u8>, number: u16, content: &[u8]) {
    bytes.extend(number.to_be_bytes());
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(content);
}

/// Number and content of the first section, and what follows it.
fn next_section(bytes: &[u8]) -> Result<(u16, &[u8], &[u8]), SnapshotError> {
    let (head, rest) = bytes
        .split_at_checked(SECTION_HEAD)
        .ok_or(SnapshotError::CutOff)?;
    let number = u16::from_be_bytes([head[0], head[1]]);
    let length = u32::from_be_bytes([head[2], head[3], head[4], head[5]]) as usize;
    let (content, after) = rest.split_at_checked(length).ok_or(SnapshotError::CutOff)?;
    Ok((number, content, after))
}

fn encode(field: &'static str, value: &impl Serialize) -> Result<Vec<u8>, SnapshotError> {
    bincode::serde::encode_to_vec(value, CODEC)
        .map_err(|error| SnapshotError::Malformed(field, error.to_string()))
}

fn decode<T: DeserializeOwned>(field: &'static str, bytes: &[u8]) -> Result<T, SnapshotError> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, CODEC)
        .map_err(|error| SnapshotError::Malformed(field, error.to_string()))?;
    if used == bytes.len() {
        Ok(value)
    } else {
        Err(SnapshotError::Malformed(
            field,
            "longer than its content".to_owned(),
        ))
    }
}
