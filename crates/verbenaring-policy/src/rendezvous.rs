//! Rendezvous hash: an assignment that all nodes with the same live table agree on.

use crate::id::VmId;

/// Nodes that own `key`, best first, by rendezvous hash: when a node joins or
/// leaves, only its own keys change their owner.
pub fn rendezvous<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a VmId>,
    count: usize,
) -> Vec<&'a VmId> {
    let score = |vm: &VmId| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(key.as_bytes());
        hasher.update(&[0]);
        hasher.update(vm.as_str().as_bytes());
        first_u64(&hasher.finalize())
    };
    let mut scored: Vec<_> = nodes.into_iter().map(|vm| (score(vm), vm)).collect();
    scored.sort_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, vm)| vm).collect()
}

pub(crate) fn first_u64(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes()[..8].try_into();
    bytes.map_or(0, u64::from_le_bytes)
}
