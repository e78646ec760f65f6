//! Parsing of the client accounts in a document.

use std::sync::Arc;

use anvil_types::{account, context, name};

use crate::{account as table, fault, field, parse_then, range, yaml};

/// Fields of one account, in the order in which they are rendered.
const FIELDS: [&str; 5] = ["name", "class", "keys", "rate", "burst"];

/// A parsed account with its position for later faults.
struct LocatedAccount {
    record: table::AccountRecord,
    position: yaml::TextPosition,
}

/// Parses the list of accounts; returns `None` if the table is invalid.
pub(crate) fn read_accounts(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<Arc<table::AccountTable>> {
    let items = field.list(table::MAX_ACCOUNTS, faults)?;
    let located = items.iter().filter_map(|item| read_account(item, faults));
    let located: Vec<LocatedAccount> = located.collect();
    refuse_duplicates(&located, faults);
    refuse_shared_keys(&located, faults);
    let records = located.into_iter().map(|located| located.record).collect();
    table::AccountTable::new(records).ok().map(Arc::new)
}

fn read_account(
    item: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<LocatedAccount> {
    let map = field::FieldMap::open(item, &FIELDS, faults)?;
    let name = map.require("name", faults);
    let name = name.and_then(|field| field.name(name::AccountName::new, faults));
    let class = map.get("class").and_then(|field| {
        field.keyword(
            &parse_then::CLASS_KEYWORDS,
            &context::PriorityClass::ALL,
            faults,
        )
    });
    let keys = map.require("keys", faults);
    let keys = keys.and_then(|field| read_keys(&field, faults));
    let quota = read_quota(&map, faults);
    let record = table::AccountRecord {
        name: name?,
        class,
        keys: keys?,
        quota,
    };
    Some(LocatedAccount {
        record,
        position: item.node.position,
    })
}

/// Parses digests of keys. Faults don't quote the text, since it may be the key itself.
fn read_keys(
    field: &field::NodeField<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<Vec<account::KeyDigest>> {
    let items = field.list(table::MAX_KEYS_PER_ACCOUNT, faults)?;
    let read = |text: &str| {
        let digest = account::KeyDigest::parse(text);
        digest.map_err(|reason| fault::FaultReason::InvalidDigest { reason })
    };
    let digests = items.iter().filter_map(|item| item.read(read, faults));
    Some(digests.collect())
}

fn read_quota(
    map: &field::FieldMap<'_>,
    faults: &mut fault::FaultList<'_>,
) -> Option<account::AccountQuota> {
    let rate = map.get("rate");
    let burst = map.get("burst");
    if let (None, Some(burst)) = (&rate, &burst) {
        burst.add_fault(fault::FaultReason::BurstWithoutRate, faults);
        return None;
    }
    let rate = rate.and_then(|field| field.integer(&range::ACCOUNT_RATE, faults))?;
    let burst = burst.and_then(|field| field.integer(&range::ACCOUNT_BURST, faults));
    Some(account::AccountQuota::per_second(
        rate,
        burst.unwrap_or_default(),
    ))
}

fn refuse_duplicates(located: &[LocatedAccount], faults: &mut fault::FaultList<'_>) {
    let mut sorted: Vec<&LocatedAccount> = located.iter().collect();
    sorted.sort_by(|a, b| a.record.name.cmp(&b.record.name));
    for same in sorted.chunk_by(|a, b| a.record.name == b.record.name) {
        for later in &same[1..] {
            let reason = fault::FaultReason::DuplicateAccount {
                name: later.record.name.clone(),
                line: same[0].position.line,
            };
            faults.add(later.position, "name", reason);
        }
    }
}

fn refuse_shared_keys(located: &[LocatedAccount], faults: &mut fault::FaultList<'_>) {
    let holders = located
        .iter()
        .flat_map(|located| located.record.keys.iter().map(move |key| (*key, located)));
    let mut holders: Vec<_> = holders.collect();
    holders.sort_by_key(|(key, _)| *key);
    for same in holders.chunk_by(|a, b| a.0 == b.0) {
        for (_, later) in &same[1..] {
            let reason = fault::FaultReason::SharedKey {
                name: same[0].1.record.name.clone(),
                line: same[0].1.position.line,
            };
            faults.add(later.position, "keys", reason);
        }
    }
}
