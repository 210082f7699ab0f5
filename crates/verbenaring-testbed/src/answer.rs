//! Deterministic answers of the model engine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
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
