//! Rendezvous hashing: names who takes a part, with no message and no state.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `member` for `key`. Higher wins.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The member that takes `key`, or none of none.
pub fn owner<'a, T, I>(key: &str, members: I) -> Option<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    members.into_iter().max_by_key(|m| (weight(key, m.as_ref()), m.as_ref().to_owned()))
}

/// Members in the order in which they would take `key`.
pub fn ranked<'a, T, I>(key: &str, members: I) -> Vec<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    let mut ranked: Vec<&T> = members.into_iter().collect();
    ranked.sort_by_key(|m| std::cmp::Reverse((weight(key, m.as_ref()), m.as_ref().to_owned())));
    ranked
}
