//! Deterministic answers of the model engine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use verbenaring_policy::id::Digest;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];
const SYLLABLES_PER_WORD: usize = 4;

/// Tokens of the answer to `prompt`; a longer answer extends a shorter one.
pub(crate) fn answer_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    let mut rng = ChaCha8Rng::from_seed(Digest::of(prompt.as_bytes()).0);
    (0..tokens).map(|index| token(&mut rng, index)).collect()
}

fn token(rng: &mut ChaCha8Rng, index: u32) -> String {
    let separator = if index == 0 { "" } else { " " };
    let mut text = separator.to_owned();
    for _ in 0..SYLLABLES_PER_WORD {
        text.push_str(SYLLABLES[rng.random_range(0..SYLLABLES.len())]);
    }
    text
}

/// Whole answer of `tokens` tokens to `prompt`.
///
/// The prompt of a chat is the text of its messages joined by line feeds.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    answer_tokens(prompt, tokens).concat()
}

/// Prompt of a chat or completion request.
pub(crate) fn prompt_of(body: &Value) -> String {
    let Some(messages) = body["messages"].as_array() else {
        return text_of(&body["prompt"]);
    };
    let texts: Vec<String> = messages
        .iter()
        .map(|message| text_of(&message["content"]))
        .collect();
    texts.join("\n")
}

/// Text of a content field: a string, or a list of strings or text parts.
fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(text_of).collect(),
        Value::Object(part) => part.get("text").map(text_of).unwrap_or_default(),
        _ => String::new(),
    }
}

/// Tokens of a prompt, counted as words.
pub(crate) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Identity and form of one answer.
#[derive(Debug, Clone)]
pub(crate) struct AnswerFrame {
    pub(crate) chat: bool,
    pub(crate) id: String,
    pub(crate) model: String,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerUsage {
    pub(crate) prompt: u32,
    pub(crate) cached: u32,
    pub(crate) completion: u32,
}

impl AnswerUsage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

impl AnswerFrame {
    fn object(&self, streamed: bool, choices: Value) -> Value {
        let kind = match (self.chat, streamed) {
            (true, false) => "chat.completion",
            (true, true) => "chat.completion.chunk",
            (false, _) => "text_completion",
        };
        json!({
            "id": self.id, "object": kind, "created": 0, "model": self.model, "choices": choices,
        })
    }

    /// Whole answer.
    pub(crate) fn whole(&self, text: &str, reason: &str, usage: AnswerUsage) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": reason});
        if self.chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = json!(text);
        }
        let mut answer = self.object(false, json!([choice]));
        answer["usage"] = usage.to_json();
        answer
    }

    /// Event of one token, or of the end when `reason` is present.
    pub(crate) fn event(&self, text: &str, reason: Option<&str>) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": reason});
        if !self.chat {
            choice["text"] = json!(text);
        } else if reason.is_none() {
            choice["delta"] = json!({"role": "assistant", "content": text});
        } else {
            choice["delta"] = json!({});
        }
        self.object(true, json!([choice]))
    }

    /// Event that carries the token counts.
    pub(crate) fn usage_event(&self, usage: AnswerUsage) -> Value {
        let mut event = self.object(true, json!([]));
        event["usage"] = usage.to_json();
        event
    }
}
