//! Who shares cached prompt parts follows from the text of an audience alone.

use std::collections::HashMap;

use redwingrill_routing::CacheAudience;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::Configuration;
use redwingrill_routing::ConfigurationParts;

/// Guards against names of accounts that spell the audience of others, or do not fit into a header.
#[test]
fn name_of_an_account_spells_another_audience() {
    let names =
        ["a", "b", "ab", "", "/", "-", "_", "_2f", "a/b", "a_2fb", "-0", "a b", "a\nb", "\u{e1}"];
    let common = CacheAudience::default();
    let mut owners: HashMap<String, String> =
        HashMap::from([(common.as_str().to_owned(), "all".to_owned())]);
    let alone = names.iter().map(|name| (CacheAudience::only(name), format!("only {name:?}")));
    let left_out =
        names.iter().map(|name| (CacheAudience::all_but([*name]), format!("not {name:?}")));
    let pairs = [["a", "b"], ["ab", ""], ["a/", "b"], ["a", "/b"]];
    let pairs = pairs.iter().map(|pair| (CacheAudience::all_but(*pair), format!("not {pair:?}")));
    let audiences: Vec<_> = alone.chain(left_out).chain(pairs).collect();
    // An audience can also be taken for the name of an account.
    let spelled = audiences.iter().filter(|(audience, _)| !names.contains(&audience.as_str()));
    let spelled = spelled.map(|(audience, owner)| {
        (CacheAudience::only(audience.as_str()), format!("only the name of {owner}"))
    });
    for (audience, owner) in audiences.iter().cloned().chain(spelled) {
        let text = audience.as_str().to_owned();
        assert!(text.bytes().all(|byte| byte.is_ascii_graphic()), "{text:?}");
        assert_eq!(owners.insert(text, owner.clone()), None, "{owner}");
    }
}

#[test]
fn order_of_the_accounts_makes_another_audience() {
    assert_eq!(CacheAudience::all_but(["a", "b"]), CacheAudience::all_but(["b", "a", "b"]));
    assert_eq!(CacheAudience::all_but([]), CacheAudience::default());
}

fn configuration(accounts: &[(&str, bool)]) -> Configuration {
    let accounts = accounts.iter().map(|&(name, is_isolated)| ClientAccount {
        name: name.to_owned(),
        keys: Vec::new(),
        priority: None,
        is_isolated,
        quota: None,
    });
    let parts =
        ConfigurationParts { accounts: Some(accounts.collect()), ..ConfigurationParts::default() };
    parts.try_into().expect("a valid configuration")
}

/// Guards against a request of an account that was removed meanwhile reading or making shared parts.
#[test]
fn removed_account_shares_with_all() {
    let known = configuration(&[("a", false), ("b", true)]);
    let common = CacheAudience::all_but(["b"]);
    assert_eq!(known.cache_audience(None), common);
    assert_eq!(known.cache_audience(Some("a")), common);
    assert_eq!(known.cache_audience(Some("b")), CacheAudience::only("b"));
    assert_eq!(known.cache_audience(Some("removed")), CacheAudience::only("removed"));
}
