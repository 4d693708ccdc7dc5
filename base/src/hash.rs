//! Rendezvous hashing: assigns keys to members without messages or shared state.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `member` for `key`. The member with the highest weight owns the key.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The member that owns `key`, or `None` if there are no members.
pub fn owner<'a, T, I>(key: &str, members: I) -> Option<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    members.into_iter().max_by_key(|m| (weight(key, m.as_ref()), m.as_ref().to_owned()))
}

/// The members by descending weight for `key`.
pub fn ranked<'a, T, I>(key: &str, members: I) -> Vec<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    let mut ranked: Vec<&T> = members.into_iter().collect();
    ranked.sort_by_key(|m| std::cmp::Reverse((weight(key, m.as_ref()), m.as_ref().to_owned())));
    ranked
}
