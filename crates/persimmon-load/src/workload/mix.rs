//! The request mix.

use crate::{errors::require, LoadError};
use persimmon_core::units::{Millis, Tokens};
use serde::{Deserialize, Serialize};
use std::{fs, ops::Deref, path::Path};

/// Upper limit of prompt lengths in a mix.
const PROMPT_MAX_TOKENS: u64 = 1_000_000;

/// Upper limit of completion lengths in a mix.
const OUTPUT_MAX_TOKENS: u64 = 10_000;

/// The built-in mix.
const EXAMPLE: &str = include_str!("../../../../examples/mix.json");

/// A validated request mix.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Mix(RawMix);

/// A request mix as read from JSON, before validation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawMix {
    /// Ranges of prompt lengths with their relative weights.
    pub prompts: Vec<PromptRange>,
    /// Shortest completion.
    pub output_min_tokens: Tokens,
    /// Longest completion.
    pub output_max_tokens: Tokens,
    /// Fraction of requests that call a plain service.
    pub service_ratio: f64,
    /// Fraction of prompts that start with the shared prefix of their workspace.
    pub shared_prefix_ratio: f64,
    /// Length of the shared prefix.
    pub shared_prefix_tokens: Tokens,
    /// Timeout that callers state for the complete response.
    pub timeout_ms: Millis,
}

/// A range of prompt lengths with a log-uniform distribution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PromptRange {
    /// Weight of this range relative to the others.
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
    /// The built-in mix, which is the default.
    ///
    /// # Errors
    ///
    /// The built-in mix is malformed.
    pub fn example() -> Result<Self, LoadError> {
        Self::parse(EXAMPLE, Path::new("built-in mix"))
    }

    /// Reads a mix from a file.
    ///
    /// # Errors
    ///
    /// The file can't be read or isn't a valid mix.
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

    /// Expected length of a prompt.
    pub fn mean_prompt_tokens(&self) -> f64 {
        let weighted = self
            .prompts
            .iter()
            .map(|range| f64::from(range.share_count) * range.mean_tokens());
        weighted.sum::<f64>() / f64::from(self.total_shares())
    }

    /// Sum of the weights of all ranges.
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
            "give ranges whose share_count sums to 1 to 10000",
        )?;
        for range in &fields.prompts {
            let (min, max) = (range.min_tokens.get(), range.max_tokens.get());
            let ordered = min >= 2 && min <= max && max <= PROMPT_MAX_TOKENS;
            require(
                ordered,
                "max_tokens",
                range.max_tokens,
                "give 2 <= min_tokens <= max_tokens <= 1000000",
            )?;
        }
        check_other_fields(&fields)?;
        Ok(Self(fields))
    }
}

fn check_other_fields(fields: &RawMix) -> Result<(), LoadError> {
    let (min, max) = (
        fields.output_min_tokens.get(),
        fields.output_max_tokens.get(),
    );
    let ordered = min >= 1 && min <= max && max <= OUTPUT_MAX_TOKENS;
    require(
        ordered,
        "output_max_tokens",
        max,
        "give 1 <= output_min_tokens <= output_max_tokens <= 10000",
    )?;
    for (key, ratio) in [
        ("service_ratio", fields.service_ratio),
        ("shared_prefix_ratio", fields.shared_prefix_ratio),
    ] {
        let in_range = (0.0..=1.0).contains(&ratio);
        require(in_range, key, ratio, "give a fraction from 0 to 1")?;
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
