//! A request as decisions see it: sizes, class and digest, never content.

use serde::{Deserialize, Serialize};

use crate::id::Digest;

/// Largest estimated total of a short request, in tokens.
pub const SHORT_TOKENS: u32 = 512;
/// Largest estimated total of a medium request, in tokens.
pub const MEDIUM_TOKENS: u32 = 4_096;

/// Size class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// At most [`SHORT_TOKENS`] in total.
    Short,
    /// At most [`MEDIUM_TOKENS`] in total.
    Medium,
    /// Everything larger.
    Long,
}

impl RequestClass {
    /// Class of a request with `tokens` in total.
    pub fn of(tokens: u32) -> Self {
        if tokens <= SHORT_TOKENS {
            RequestClass::Short
        } else if tokens <= MEDIUM_TOKENS {
            RequestClass::Medium
        } else {
            RequestClass::Long
        }
    }
}

/// Estimated size of a request, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizeEstimate {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl SizeEstimate {
    /// Prompt and answer together.
    pub fn total(self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    /// Size class of the total.
    pub fn class(self) -> RequestClass {
        RequestClass::of(self.total())
    }
}

/// Digests that identify a request without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigests {
    /// Whole request; implicates requests that crash servers.
    pub whole: Digest,
    /// Leading part of the prompt; steers requests to warm caches.
    pub prefix: Digest,
}
