//! The description of a request that is not sent.

use std::str::FromStr;

use snafu::Snafu;

/// The maximum number of parts of a prompt in a query.
const PARTS_LIMIT: usize = 1_024;

/// A shared or private part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PartQuery {
    /// The identifier.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// A request that is not sent.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ExplainQuery {
    /// The name of the route; otherwise, `path` is given.
    pub route: Option<String>,
    /// The host.
    pub host: Option<String>,
    /// The path.
    pub path: Option<String>,
    /// The name of the client account.
    pub account: Option<String>,
    /// The model.
    pub model: Option<String>,
    /// The length of the whole prompt in tokens; without it, the sum of the parts.
    pub prompt_tokens: Option<u32>,
    /// The maximum number of output tokens.
    pub output_tokens: Option<u32>,
    /// The parts of the prompt in order, the last one private to the request.
    pub parts: Vec<PartQuery>,
}

/// Why a query is not valid.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
pub enum QueryError {
    /// A parameter has no valid value.
    #[snafu(display("{name}: not valid: {value:?}"))]
    Value {
        /// The name of the parameter.
        name: String,
        /// Its value.
        value: String,
    },
    /// A parameter is not known.
    #[snafu(display("{name}: not a parameter"))]
    Name {
        /// The name.
        name: String,
    },
    /// Neither a route nor a path is given, or both.
    #[snafu(display("give either the name of a route or a path"))]
    Target,
    /// There are too many parts.
    #[snafu(display("parts: more than {PARTS_LIMIT}"))]
    Parts,
    /// The parts are longer than the prompt.
    #[snafu(display("parts: more tokens than the prompt"))]
    PartTokens,
}

impl ExplainQuery {
    /// Decodes the query of a URI.
    ///
    /// # Errors
    ///
    /// Names the first parameter that is not valid.
    pub fn decode(query: &str) -> Result<Self, QueryError> {
        let mut decoded = Self::default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            let number = || -> Result<u32, QueryError> {
                let invalid =
                    || QueryError::Value { name: name.to_string(), value: value.to_string() };
                value.parse().map_err(|_| invalid())
            };
            match &*name {
                "route" => decoded.route = Some(value.into_owned()),
                "host" => decoded.host = Some(value.into_owned()),
                "path" => decoded.path = Some(value.into_owned()),
                "account" => decoded.account = Some(value.into_owned()),
                "model" => decoded.model = Some(value.into_owned()),
                "prompt_tokens" => decoded.prompt_tokens = Some(number()?),
                "output_tokens" => decoded.output_tokens = Some(number()?),
                "parts" => {
                    decoded.parts =
                        value.split(',').map(PartQuery::from_str).collect::<Result<_, _>>()?
                }
                _ => return Err(QueryError::Name { name: name.into_owned() }),
            }
        }
        decoded.check()?;
        Ok(decoded)
    }

    /// Returns the query of a URI.
    pub fn encode(&self) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        let texts = [
            ("route", &self.route),
            ("host", &self.host),
            ("path", &self.path),
            ("account", &self.account),
            ("model", &self.model),
        ];
        for (name, value) in texts {
            if let Some(value) = value {
                query.append_pair(name, value);
            }
        }
        let numbers =
            [("prompt_tokens", self.prompt_tokens), ("output_tokens", self.output_tokens)];
        for (name, value) in numbers {
            if let Some(value) = value {
                query.append_pair(name, &value.to_string());
            }
        }
        if !self.parts.is_empty() {
            let parts = self.parts.iter().map(|part| format!("{}:{}", part.id, part.tokens));
            query.append_pair("parts", &parts.collect::<Vec<_>>().join(","));
        }
        query.finish()
    }

    /// Returns the length of the prompt; `None` if the request has none.
    pub fn prompt_tokens(&self) -> Option<u32> {
        let of_parts = (!self.parts.is_empty()).then(|| self.part_tokens());
        self.prompt_tokens.or(of_parts)
    }

    /// Checks what the parameters say together.
    ///
    /// # Errors
    ///
    /// Fails without a target, with two of them, or if the parts exceed the prompt.
    pub fn check(&self) -> Result<(), QueryError> {
        if self.route.is_some() == self.path.is_some() {
            return Err(QueryError::Target);
        }
        if self.parts.len() > PARTS_LIMIT {
            return Err(QueryError::Parts);
        }
        if self.prompt_tokens.is_some_and(|tokens| tokens < self.part_tokens()) {
            return Err(QueryError::PartTokens);
        }
        Ok(())
    }

    fn part_tokens(&self) -> u32 {
        self.parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }
}

impl FromStr for PartQuery {
    type Err = QueryError;

    fn from_str(part: &str) -> Result<Self, QueryError> {
        let invalid = || QueryError::Value { name: "parts".to_owned(), value: part.to_owned() };
        let (id, tokens) = part.split_once(':').ok_or_else(invalid)?;
        let id = id.parse().map_err(|_| invalid())?;
        let tokens = tokens.parse().map_err(|_| invalid())?;
        Ok(Self { id, tokens })
    }
}
