//! Size, size class and digests of a request. Decisions use these and never see
//! the content.

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
    /// More than [`MEDIUM_TOKENS`] in total.
    Long,
}

impl RequestClass {
    /// Class of a request with `tokens` of prompt and answer together.
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
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub answer_tokens: u32,
}

impl SizeEstimate {
    /// Tokens of prompt and answer together.
    pub fn total(self) -> u32 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }

    /// Size class of [`Self::total`].
    pub fn class(self) -> RequestClass {
        RequestClass::of(self.total())
    }
}

/// Digests that identify a request without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigests {
    /// Digest of the whole request; recognises a request that crashes servers.
    pub whole: Digest,
    /// Digest of the leading part of the prompt; sends requests with the same
    /// beginning to a server that has it in its cache.
    pub prefix: Digest,
}
