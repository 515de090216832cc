//! The mix of requests.

use crate::{errors::require, LoadError};
use persimmon_core::units::{Millis, Tokens};
use serde::{Deserialize, Serialize};
use std::{fs, ops::Deref, path::Path};

/// Longest prompt that a mix may hold.
const PROMPT_MAX_TOKENS: u64 = 1_000_000;

/// Longest answer that a mix may hold.
const OUTPUT_MAX_TOKENS: u64 = 10_000;

/// The mix that is built in.
const EXAMPLE: &str = include_str!("../../../../examples/mix.json");

/// A checked mix of requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Mix(RawMix);

/// A mix of requests as it is written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawMix {
    /// Ranges of prompt lengths.
    pub prompts: Vec<PromptRange>,
    /// Shortest answer.
    pub output_min_tokens: Tokens,
    /// Longest answer.
    pub output_max_tokens: Tokens,
    /// Share of requests that call a plain service.
    pub service_ratio: f64,
    /// Share of prompts that start with the document of their workspace.
    pub shared_prefix_ratio: f64,
    /// Length of such a document.
    pub shared_prefix_tokens: Tokens,
    /// Time that callers give for a whole answer.
    pub timeout_ms: Millis,
}

/// A range of prompt lengths, even on a logarithmic scale.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PromptRange {
    /// Shares of this range against the others.
    pub share_count: u32,
    /// Shortest prompt.
    pub min_tokens: Tokens,
    /// Longest prompt.
    pub max_tokens: Tokens,
}

impl PromptRange {
    fn mean_tokens(&self) -> f64 {
        let (min, max) = (self.min_tokens.get() as f64, self.max_tokens.get() as f64);
        match max > min {
            true => (max - min) / (max / min).ln(),
            false => min,
        }
    }
}

impl Mix {
    /// The mix that a run takes where no other is named.
    ///
    /// # Errors
    ///
    /// The mix that was built in is malformed.
    pub fn example() -> Result<Self, LoadError> {
        Self::parse(EXAMPLE, Path::new("built-in mix"))
    }

    /// Reads a mix from a file.
    ///
    /// # Errors
    ///
    /// The file can't be read or is no mix.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(|error| LoadError::File {
            path: path.into(),
            reason: error.to_string(),
        })?;
        Self::parse(&text, path)
    }

    fn parse(text: &str, path: &Path) -> Result<Self, LoadError> {
        let fields: RawMix = serde_json::from_str(text).map_err(|error| LoadError::File {
            path: path.into(),
            reason: error.to_string(),
        })?;
        Self::try_from(fields)
    }

    /// Mean length of a prompt.
    pub fn mean_prompt_tokens(&self) -> f64 {
        let weighted = self
            .prompts
            .iter()
            .map(|range| f64::from(range.share_count) * range.mean_tokens());
        weighted.sum::<f64>() / f64::from(self.total_shares())
    }

    /// All shares together.
    pub fn total_shares(&self) -> u32 {
        self.prompts.iter().map(|range| range.share_count).sum()
    }
}

impl TryFrom<RawMix> for Mix {
    type Error = LoadError;

    fn try_from(fields: RawMix) -> Result<Self, LoadError> {
        let shares = fields.prompts.iter().map(|range| range.share_count);
        require(
            (1..=10_000).contains(&shares.clone().map(u64::from).sum::<u64>()),
            "prompts",
            fields.prompts.len(),
            "give ranges of 1 to 10000 shares together",
        )?;
        for range in &fields.prompts {
            let (min, max) = (range.min_tokens.get(), range.max_tokens.get());
            let ordered = min >= 2 && min <= max && max <= PROMPT_MAX_TOKENS;
            require(
                ordered,
                "max_tokens",
                range.max_tokens,
                "give 2 <= min <= max <= 1000000",
            )?;
        }
        check_output_and_ratios(&fields)?;
        Ok(Self(fields))
    }
}

fn check_output_and_ratios(fields: &RawMix) -> Result<(), LoadError> {
    let (min, max) = (
        fields.output_min_tokens.get(),
        fields.output_max_tokens.get(),
    );
    let ordered = min >= 1 && min <= max && max <= OUTPUT_MAX_TOKENS;
    require(
        ordered,
        "output_max_tokens",
        max,
        "give 1 <= min <= max <= 10000",
    )?;
    for (key, ratio) in [
        ("service_ratio", fields.service_ratio),
        ("shared_prefix_ratio", fields.shared_prefix_ratio),
    ] {
        let holds = (0.0..=1.0).contains(&ratio);
        require(holds, key, ratio, "give a share from 0 to 1")?;
    }
    let prefix = fields.shared_prefix_tokens.get();
    require(
        prefix <= PROMPT_MAX_TOKENS,
        "shared_prefix_tokens",
        prefix,
        "give at most 1000000",
    )?;
    let timeout = fields.timeout_ms;
    require(
        (100..=900_000).contains(&timeout.get()),
        "timeout_ms",
        timeout,
        "give 100 to 900000",
    )?;
    Ok(())
}

impl Deref for Mix {
    type Target = RawMix;

    fn deref(&self) -> &RawMix {
        &self.0
    }
}
