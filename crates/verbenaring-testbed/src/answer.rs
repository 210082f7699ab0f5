//! Answers of the engine stand-in.
//!
//! The text of an answer depends only on the prompt and the number of tokens,
//! so a test can compute the answer that it must receive.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use verbenaring_policy::id::Digest;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];
const SYLLABLES_PER_WORD: usize = 4;

/// Tokens of the answer to `prompt`. For one prompt, a shorter answer is a
/// prefix of a longer one.
pub(crate) fn answer_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    let mut rng = ChaCha8Rng::from_seed(Digest::of(prompt.as_bytes()).0);
    (0..tokens)
        .map(|index| token_text(&mut rng, index))
        .collect()
}

/// Random word, preceded by a space unless it is the first one.
fn token_text(rng: &mut ChaCha8Rng, index: u32) -> String {
    let separator = if index == 0 { "" } else { " " };
    let mut text = separator.to_owned();
    for _ in 0..SYLLABLES_PER_WORD {
        text.push_str(SYLLABLES[rng.random_range(0..SYLLABLES.len())]);
    }
    text
}

/// Full text of the answer with `tokens` tokens that the engine gives to
/// `prompt`.
///
/// The prompt of a chat is the text of its messages joined by line feeds.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    answer_tokens(prompt, tokens).concat()
}

/// Prompt in the JSON body of a chat or completion request; empty if absent.
pub(crate) fn prompt_text(body: &Value) -> String {
    let Some(messages) = body["messages"].as_array() else {
        return content_text(&body["prompt"]);
    };
    let texts: Vec<String> = messages
        .iter()
        .map(|message| content_text(&message["content"]))
        .collect();
    texts.join("\n")
}

/// Text of a content field: a string, or a list of strings or text parts.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(content_text).collect(),
        Value::Object(part) => part.get("text").map(content_text).unwrap_or_default(),
        _ => String::new(),
    }
}

/// Number of tokens of a prompt; each word counts as one token.
pub(crate) fn count_prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Fields that all JSON objects of one answer have in common.
#[derive(Debug, Clone)]
pub(crate) struct AnswerTemplate {
    /// Whether the request was a chat completion rather than a text completion.
    pub(crate) chat: bool,
    pub(crate) id: String,
    pub(crate) model: String,
}

/// Token counts that an answer reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenUsage {
    pub(crate) prompt_tokens: u32,
    /// Prompt tokens that were found in the prefix cache.
    pub(crate) cached_tokens: u32,
    /// Generated tokens.
    pub(crate) completion_tokens: u32,
}

impl TokenUsage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }
}

impl AnswerTemplate {
    fn object(&self, streamed: bool, choices: Value) -> Value {
        let object = match (self.chat, streamed) {
            (true, false) => "chat.completion",
            (true, true) => "chat.completion.chunk",
            (false, _) => "text_completion",
        };
        json!({
            "id": self.id, "object": object, "created": 0, "model": self.model, "choices": choices,
        })
    }

    /// Complete answer to a request that is not streamed.
    pub(crate) fn whole(&self, text: &str, finish_reason: &str, usage: TokenUsage) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": finish_reason});
        if self.chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = json!(text);
        }
        let mut answer = self.object(false, json!([choice]));
        answer["usage"] = usage.to_json();
        answer
    }

    /// Stream event with the text of one token, or the last event with the
    /// `finish_reason`.
    pub(crate) fn event(&self, text: &str, finish_reason: Option<&str>) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": finish_reason});
        if !self.chat {
            choice["text"] = json!(text);
        } else if finish_reason.is_none() {
            choice["delta"] = json!({"role": "assistant", "content": text});
        } else {
            choice["delta"] = json!({});
        }
        self.object(true, json!([choice]))
    }

    /// Stream event with the token counts.
    pub(crate) fn usage_event(&self, usage: TokenUsage) -> Value {
        let mut event = self.object(true, json!([]));
        event["usage"] = usage.to_json();
        event
    }
}
