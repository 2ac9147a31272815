//! Client accounts.

/// The index of an account in the configuration's list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct AccountIndex(pub usize);

/// One client account.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClientAccount {
    /// The name, unique in a configuration.
    pub name: String,
    /// The keys that callers may present.
    pub keys: Vec<String>,
    /// Takes precedence over the priority of a route; zero is the most urgent.
    pub priority: Option<u8>,
    /// Whether the account's cached prompt parts are kept apart from those of all other accounts.
    pub is_isolated: bool,
}
