//! A published OpenAI client library, unmodified, against a node.

mod support;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::ChatCompletionRequestUserMessageArgs;
use async_openai::types::chat::CreateChatCompletionRequest;
use async_openai::types::chat::CreateChatCompletionRequestArgs;
use futures::StreamExt;

use crate::support::API_KEY;
use crate::support::MODEL;
use crate::support::Site;
use redwingrill_lab::answer::Owner;
use redwingrill_lab::engine::Message;
use redwingrill_lab::engine::render;

const QUESTION: &str = "which pen for a wet board?";
const ANSWER_TOKENS: u32 = 7;

fn client(site: &Site, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", site.node.address());
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

fn request(model: &str) -> CreateChatCompletionRequest {
    let question = ChatCompletionRequestUserMessageArgs::default().content(QUESTION).build();
    let question = question.expect("the message is complete");
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .max_completion_tokens(ANSWER_TOKENS)
        .messages([question.into()])
        .build()
        .expect("the request is complete")
}

fn check_answer(text: &str) {
    let owner = Owner::of(MODEL, &render(&[Message::new("user", QUESTION)]));
    owner.check(text, ANSWER_TOKENS).expect("the answer is whole and the caller's own");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_client_gets_whole_and_streamed_answers_and_models() {
    let site = Site::start(2, "").await;
    let client = client(&site, API_KEY);
    let whole = client.chat().create(request(MODEL)).await.expect("the answer is readable");
    check_answer(whole.choices[0].message.content.as_deref().unwrap_or_default());
    assert_eq!(whole.usage.expect("counts are there").completion_tokens, ANSWER_TOKENS);
    let mut stream = client.chat().create_stream(request(MODEL)).await.expect("the stream begins");
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        for choice in chunk.expect("the chunk is readable").choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
    }
    check_answer(&text);
    let models = client.models().list().await.expect("the list is readable");
    assert_eq!(models.data.iter().map(|model| model.id.as_str()).collect::<Vec<_>>(), [MODEL]);
    drop(client);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_client_reads_errors() {
    struct Case {
        key: &'static str,
        model: &'static str,
        code: &'static str,
        kind: &'static str,
    }
    let cases = [
        Case { key: "nobody", model: MODEL, code: "key_unknown", kind: "authentication_error" },
        Case { key: API_KEY, model: "other", code: "model_unknown", kind: "invalid_request_error" },
    ];
    let site = Site::start(1, "").await;
    for case in cases {
        let client = client(&site, case.key);
        let refused = client.chat().create(request(case.model)).await;
        let Err(OpenAIError::ApiError(error)) = refused else {
            panic!("{}: {refused:?}", case.code);
        };
        let error = format!("{error:?}");
        assert!(error.contains(case.code) && error.contains(case.kind), "{error}");
    }
    site.stop().await;
}
