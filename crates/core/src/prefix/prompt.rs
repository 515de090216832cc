//! The parts of a prompt as a caller states them.

use crate::{
    ids::{BlockHash, Fingerprint},
    units::Tokens,
};
use serde::{Deserialize, Serialize};

/// Maximum number of parts of a prompt that are tracked.
pub(super) const PARTS_MAX_LEN: usize = 16;

/// A part of a prompt: text that other prompts may have at the same place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Fingerprint of the part's id.
    pub id: Fingerprint,
    /// Tokens in the part.
    pub tokens: Tokens,
}

/// A part of a prompt together with all parts before it. A cached part is of use only behind the same parts, so
/// it is identified by the hash of the prompt up to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefixPart {
    /// Hash of the ids up to the end of the part.
    pub end: BlockHash,
    /// Tokens in the part itself.
    pub tokens: Tokens,
}

/// The leading parts of a prompt, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptPrefix {
    parts: Vec<PrefixPart>,
}

impl PromptPrefix {
    /// The parts, in order.
    pub fn parts(&self) -> &[PrefixPart] {
        &self.parts
    }

    /// Tokens in all parts.
    pub fn tokens(&self) -> Tokens {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

impl FromIterator<PromptPart> for PromptPrefix {
    fn from_iter<I: IntoIterator<Item = PromptPart>>(parts: I) -> Self {
        let mut end = Fingerprint::default();
        let parts = parts.into_iter().take(PARTS_MAX_LEN).map(|part| {
            end = Fingerprint::of_fields(&[
                &end.get().to_le_bytes(),
                &part.id.get().to_le_bytes(),
                &part.tokens.get().to_le_bytes(),
            ]);
            PrefixPart {
                end: BlockHash::new(end.get()),
                tokens: part.tokens,
            }
        });
        Self {
            parts: parts.collect(),
        }
    }
}
