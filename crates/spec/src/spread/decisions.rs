//! Every decision of the real store on the specification's documents, as tables.

use bundle::{Source, Store, is_superseded};
use units::ServiceId;

use super::{
    Rule,
    documents::{Document, documents, keys},
};

/// Position of a document in the order of publication.
pub(super) type DocumentIdx = u8;

/// What a process holds: a position in the list of everything it could hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Holding(u8);

/// A document of each of the two services, or none.
type Held = [Option<DocumentIdx>; 2];

/// Every decision of the real store on the specification's documents, as tables.
#[derive(Debug)]
pub(super) struct Decisions {
    /// How many documents are published in all.
    pub(super) documents: DocumentIdx,
    /// By holding and document: what an offer by the platform makes of it.
    by_platform: Vec<Vec<Holding>>,
    /// By holding and document: what an offer by a peer makes of it.
    by_peer: Vec<Vec<Holding>>,
    /// By holding and a peer's holding: what the peer sends.
    newer: Vec<Vec<Vec<DocumentIdx>>>,
    /// By later and earlier holding: whether nothing went back.
    at_least: Vec<Vec<bool>>,
}

impl Decisions {
    pub(super) fn new(rule: Rule) -> Self {
        let asker = Asker::new(rule);
        Self {
            documents: asker.indexes().end,
            by_platform: asker.offers(Source::Platform),
            by_peer: asker.offers(Source::Peer),
            newer: asker.pairs(Asker::newer),
            at_least: asker.pairs(Asker::at_least),
        }
    }

    /// Returns what a holding becomes by an offer.
    pub(super) fn offer(&self, held: Holding, source: Source, offered: DocumentIdx) -> Holding {
        let table = match source {
            Source::Platform => &self.by_platform,
            Source::Peer => &self.by_peer,
        };
        table[usize::from(held.0)][usize::from(offered)]
    }

    /// Returns what a process with `theirs` sends to one with `mine`.
    pub(super) fn newer(&self, mine: Holding, theirs: Holding) -> &[DocumentIdx] {
        &self.newer[usize::from(mine.0)][usize::from(theirs.0)]
    }

    /// Returns what `mine` becomes by an exchange with a process that holds `theirs`.
    pub(super) fn exchange(&self, mine: Holding, theirs: Holding) -> Holding {
        self.newer(mine, theirs)
            .iter()
            .fold(mine, |held, it| self.offer(held, Source::Peer, *it))
    }

    /// Returns whether nothing in `later` comes before what `earlier` has of the same service.
    pub(super) fn is_at_least(&self, later: Holding, earlier: Holding) -> bool {
        self.at_least[usize::from(later.0)][usize::from(earlier.0)]
    }
}

/// Asks the real store.
#[derive(Debug)]
struct Asker {
    rule: Rule,
    documents: Vec<Document>,
    /// Everything a process could hold; nothing first.
    holdings: Vec<Held>,
}

impl Asker {
    fn new(rule: Rule) -> Self {
        let mut asker = Self {
            rule,
            documents: documents(),
            holdings: Vec::new(),
        };
        let of = |service_idx| {
            let all = asker.indexes();
            let documents = all.filter(|it| asker.service_idx(*it) == service_idx);
            let mut choices: Vec<_> = documents.map(Some).collect();
            choices.insert(0, None);
            choices
        };
        let (firsts, seconds) = (of(0), of(1));
        asker.holdings = firsts
            .into_iter()
            .flat_map(|first| seconds.iter().map(move |second| [first, *second]))
            .collect();
        asker
    }

    /// Tabulates the store's answers by holding and document.
    fn offers(&self, source: Source) -> Vec<Vec<Holding>> {
        let row = |held: Held| {
            self.indexes()
                .map(|it| self.offer(held, source, it))
                .collect()
        };
        self.holdings.iter().map(|it| row(*it)).collect()
    }

    /// Tabulates what holds between two holdings.
    fn pairs<T>(&self, of: fn(&Self, Held, Held) -> T) -> Vec<Vec<T>> {
        let row = |one: Held| {
            let others = self.holdings.iter();
            others.map(|it| of(self, one, *it)).collect()
        };
        self.holdings.iter().map(|it| row(*it)).collect()
    }

    fn offer(&self, held: Held, source: Source, offered: DocumentIdx) -> Holding {
        let mine = held[self.service_idx(offered)];
        let is_taken = match (self.rule, mine) {
            (Rule::AcceptLower, _) => true,
            (Rule::KeepFirst, Some(mine)) if self.is_fork(mine, offered) => false,
            (Rule::CheckPeers, _) => self.ask_store(held, Source::Platform, offered),
            _ => self.ask_store(held, source, offered),
        };
        let mut after = held;
        if is_taken {
            after[self.service_idx(offered)] = Some(offered);
        }
        self.position(after)
    }

    fn newer(&self, mine: Held, theirs: Held) -> Vec<DocumentIdx> {
        let is_newer = |it: &DocumentIdx| match mine[self.service_idx(*it)] {
            None => true,
            Some(mine) if self.rule == Rule::CompareVersions => {
                self.document(mine).version < self.document(*it).version
            }
            Some(mine) => self.goes_after(mine, *it),
        };
        theirs.into_iter().flatten().filter(is_newer).collect()
    }

    fn at_least(&self, later: Held, earlier: Held) -> bool {
        earlier.into_iter().flatten().all(|old| {
            let new = later[self.service_idx(old)];
            new.is_some_and(|new| new == old || self.goes_after(old, new))
        })
    }

    fn ask_store(&self, held: Held, source: Source, offered: DocumentIdx) -> bool {
        let mut store = Store::new(keys());
        for it in held.into_iter().flatten() {
            store
                .offer_bundle(Source::Peer, &self.document(it).envelope)
                .expect("an empty store takes every document from a peer");
        }
        store
            .offer_bundle(source, &self.document(offered).envelope)
            .is_ok()
    }

    fn goes_after(&self, old: DocumentIdx, new: DocumentIdx) -> bool {
        let pair = |idx| {
            let it = self.document(idx);
            (it.version, it.digest)
        };
        is_superseded(pair(old), pair(new))
    }

    fn is_fork(&self, mine: DocumentIdx, offered: DocumentIdx) -> bool {
        mine != offered && self.document(mine).version == self.document(offered).version
    }

    fn position(&self, held: Held) -> Holding {
        let idx = self.holdings.iter().position(|it| *it == held);
        let idx = idx.expect("the list has every holding");
        Holding(u8::try_from(idx).expect("few holdings"))
    }

    fn indexes(&self) -> std::ops::Range<DocumentIdx> {
        0..DocumentIdx::try_from(self.documents.len()).expect("few documents")
    }

    fn service_idx(&self, idx: DocumentIdx) -> usize {
        usize::from(self.document(idx).service != ServiceId::new(1))
    }

    fn document(&self, idx: DocumentIdx) -> &Document {
        &self.documents[usize::from(idx)]
    }
}
