//! The texts that callers send: a shared book, what is known of a customer, and a question.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::PlannedCall;
use crate::caller::Call;
use crate::engine::Message;
use crate::site::Site;

const TOKEN_BYTES: usize = 4;
const WORD_LETTERS: std::ops::Range<usize> = 3..9;

/// All books and customers of a site.
#[derive(Clone, Debug)]
pub struct PromptLibrary {
    model: String,
    question_tokens: usize,
    api_keys: Vec<String>,
    priorities: Vec<(String, u32)>,
    books: Vec<Vec<String>>,
    customers: Vec<Vec<Vec<String>>>,
}

impl PromptLibrary {
    /// Writes all texts.
    pub fn new(site: &Site, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let sizes = site.prompts;
        let mut texts = |count: usize, tokens: usize| -> Vec<String> {
            (0..count).map(|_| text(&mut rng, tokens)).collect()
        };
        let accounts = site.accounts.len();
        let books = (0..accounts).map(|_| texts(sizes.books, sizes.book_tokens)).collect();
        let customers = (0..accounts)
            .map(|_| {
                let of_book = |_| texts(sizes.customers, sizes.customer_tokens);
                (0..sizes.books).map(of_book).collect()
            })
            .collect();
        let priorities = site.priorities.iter();
        Self {
            model: site.model.clone(),
            question_tokens: sizes.question_tokens,
            api_keys: site.accounts.iter().map(|account| account.api_key.clone()).collect(),
            priorities: priorities.map(|p| (p.name.clone(), p.answer_tokens)).collect(),
            books,
            customers,
        }
    }

    /// Returns the conversation of a planned call.
    pub fn messages(&self, planned: &PlannedCall) -> Vec<Message> {
        let book = &self.books[planned.account][planned.book];
        let customer = &self.customers[planned.account][planned.book][planned.customer];
        let mut rng = SmallRng::seed_from_u64(u64::from(planned.question));
        let question = text(&mut rng, self.question_tokens);
        vec![
            Message::new("system", book),
            Message::new("user", customer),
            Message::new("user", &question),
        ]
    }

    /// Returns a planned call as it is sent.
    pub fn call(&self, planned: &PlannedCall) -> Call {
        let (priority, answer_tokens) = &self.priorities[planned.priority];
        Call {
            api_key: self.api_keys[planned.account].clone(),
            priority: priority.clone(),
            // Routers give requests identifiers of their own; engines need one.
            request_id: format!("call-{}", planned.question),
            model: self.model.clone(),
            messages: self.messages(planned),
            max_tokens: *answer_tokens,
        }
    }
}

fn text(rng: &mut SmallRng, tokens: usize) -> String {
    let bytes = tokens * TOKEN_BYTES;
    let mut text = String::with_capacity(bytes + WORD_LETTERS.end);
    while text.len() < bytes {
        for _ in 0..rng.random_range(WORD_LETTERS) {
            text.push(char::from(rng.random_range(b'a'..=b'z')));
        }
        text.push(' ');
    }
    text.truncate(bytes);
    text
}
