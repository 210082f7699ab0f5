//! Compatibility with an unmodified OpenAI client library, which is given only a
//! base URL and a key.

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
    CreateChatCompletionRequestArgs,
};
use futures::StreamExt;
use verbenaring_testbed::deployment::{CUSTOMER_KEY, TestDeployment};
use verbenaring_testbed::expected_answer;

use crate::{engine_settings, start_dublin};

fn openai_client(deployment: &TestDeployment, key: &str) -> Client<OpenAIConfig> {
    let base_url = format!("http://{}/v1", deployment.node(0).caller_address());
    let config = OpenAIConfig::new()
        .with_api_base(base_url)
        .with_api_key(key);
    Client::with_config(config)
}

fn chat_request(model: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("which fabric")
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .max_completion_tokens(9_u32)
        .messages([message.into()])
        .build()
        .unwrap()
}

/// Guards against answers, streams, model lists or errors that the client library
/// cannot parse.
#[tokio::test]
async fn client_library_is_served() {
    let (deployment, _) = start_dublin(vec![engine_settings()]).await;
    let client = openai_client(&deployment, CUSTOMER_KEY);
    let expected = expected_answer("which fabric", 9);

    let answer = client.chat().create(chat_request("standin")).await.unwrap();
    assert_eq!(answer.choices[0].message.content.as_ref(), Some(&expected));
    assert_eq!(answer.usage.unwrap().completion_tokens, 9);

    let mut stream = client
        .chat()
        .create_stream(chat_request("standin"))
        .await
        .unwrap();
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        for choice in event.unwrap().choices {
            text.push_str(&choice.delta.content.unwrap_or_default());
        }
    }
    assert_eq!(text, expected);

    let models = client.models().list().await.unwrap();
    assert_eq!(models.data[0].id, "standin");

    let error = client
        .chat()
        .create(chat_request("other"))
        .await
        .unwrap_err();
    let OpenAIError::ApiError(error) = error else {
        panic!("not an API error: {error}");
    };
    assert_eq!(error.code.as_deref(), Some("model_not_found"));
    let unauthorized = openai_client(&deployment, "nobody")
        .chat()
        .create(chat_request("standin"))
        .await;
    let OpenAIError::ApiError(error) = unauthorized.unwrap_err() else {
        panic!("not an API error");
    };
    assert_eq!(error.code.as_deref(), Some("invalid_api_key"));
    deployment.stop().await;
}
