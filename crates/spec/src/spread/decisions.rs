//! Precomputed decisions of the production store on the model's documents.

use bundle::{Source, Store, is_superseded};
use units::ServiceId;

use super::{
    Mutation,
    documents::{Document, documents, key_set},
};

/// Index of a document in the order of publication.
pub(super) type DocumentIdx = u8;

/// The documents that a process holds, as an index into the list of all combinations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Holding(u8);

/// The document held of each of the two services, if any.
type HeldDocuments = [Option<DocumentIdx>; 2];

/// Tables of every decision of the production store on the model's documents.
#[derive(Debug)]
pub(super) struct Decisions {
    /// Number of documents that are published in total.
    pub(super) documents: DocumentIdx,
    /// By holding and document: the holding after the platform offers the document.
    after_platform_offer: Vec<Vec<Holding>>,
    /// By holding and document: the holding after a peer offers the document.
    after_peer_offer: Vec<Vec<Holding>>,
    /// By holding and a peer's holding: the documents that the peer sends.
    newer: Vec<Vec<Vec<DocumentIdx>>>,
    /// By later and earlier holding: whether no service reverted to a superseded document.
    at_least: Vec<Vec<bool>>,
}

impl Decisions {
    pub(super) fn new(mutation: Mutation) -> Self {
        let builder = TableBuilder::new(mutation);
        Self {
            documents: builder.indexes().end,
            after_platform_offer: builder.tabulate_offers(Source::Platform),
            after_peer_offer: builder.tabulate_offers(Source::Peer),
            newer: builder.tabulate_pairs(TableBuilder::documents_to_send),
            at_least: builder.tabulate_pairs(TableBuilder::at_least),
        }
    }

    /// Returns the holding after a document was offered.
    pub(super) fn holding_after_offer(
        &self,
        held: Holding,
        source: Source,
        offered: DocumentIdx,
    ) -> Holding {
        let table = match source {
            Source::Platform => &self.after_platform_offer,
            Source::Peer => &self.after_peer_offer,
        };
        table[usize::from(held.0)][usize::from(offered)]
    }

    /// Returns the documents that a process with `theirs` sends to one with `mine`.
    pub(super) fn documents_to_send(&self, mine: Holding, theirs: Holding) -> &[DocumentIdx] {
        &self.newer[usize::from(mine.0)][usize::from(theirs.0)]
    }

    /// Returns the holding of a process with `mine` after an exchange with one that holds `theirs`.
    pub(super) fn holding_after_exchange(&self, mine: Holding, theirs: Holding) -> Holding {
        self.documents_to_send(mine, theirs)
            .iter()
            .fold(mine, |held, it| {
                self.holding_after_offer(held, Source::Peer, *it)
            })
    }

    /// Returns whether `later` has, of every service in `earlier`, the same document or one that
    /// supersedes it.
    pub(super) fn is_at_least(&self, later: Holding, earlier: Holding) -> bool {
        self.at_least[usize::from(later.0)][usize::from(earlier.0)]
    }
}

/// Computes the tables with the production store.
#[derive(Debug)]
struct TableBuilder {
    mutation: Mutation,
    documents: Vec<Document>,
    /// Every combination of documents that a process could hold; the empty one comes first.
    holdings: Vec<HeldDocuments>,
}

impl TableBuilder {
    fn new(mutation: Mutation) -> Self {
        let mut builder = Self {
            mutation,
            documents: documents(),
            holdings: Vec::new(),
        };
        let choices_of = |service_idx| {
            let all = builder.indexes();
            let documents = all.filter(|it| builder.service_idx(*it) == service_idx);
            let mut choices: Vec<_> = documents.map(Some).collect();
            choices.insert(0, None);
            choices
        };
        let (firsts, seconds) = (choices_of(0), choices_of(1));
        builder.holdings = firsts
            .into_iter()
            .flat_map(|first| seconds.iter().map(move |second| [first, *second]))
            .collect();
        builder
    }

    /// Tabulates the holding after an offer, by holding and document.
    fn tabulate_offers(&self, source: Source) -> Vec<Vec<Holding>> {
        let row = |held: HeldDocuments| {
            self.indexes()
                .map(|it| self.holding_after_offer(held, source, it))
                .collect()
        };
        self.holdings.iter().map(|it| row(*it)).collect()
    }

    /// Tabulates a function of two holdings.
    fn tabulate_pairs<T>(
        &self,
        function: fn(&Self, HeldDocuments, HeldDocuments) -> T,
    ) -> Vec<Vec<T>> {
        let row = |one: HeldDocuments| {
            let others = self.holdings.iter();
            others.map(|it| function(self, one, *it)).collect()
        };
        self.holdings.iter().map(|it| row(*it)).collect()
    }

    fn holding_after_offer(
        &self,
        held: HeldDocuments,
        source: Source,
        offered: DocumentIdx,
    ) -> Holding {
        let mine = held[self.service_idx(offered)];
        let is_accepted = match (self.mutation, mine) {
            (Mutation::AcceptLowerVersion, _) => true,
            (Mutation::KeepFirstFork, Some(mine)) if self.is_fork(mine, offered) => false,
            (Mutation::CheckPeersAgainstHeld, _) => {
                self.store_accepts(held, Source::Platform, offered)
            }
            _ => self.store_accepts(held, source, offered),
        };
        let mut after = held;
        if is_accepted {
            after[self.service_idx(offered)] = Some(offered);
        }
        self.holding_of(after)
    }

    fn documents_to_send(&self, mine: HeldDocuments, theirs: HeldDocuments) -> Vec<DocumentIdx> {
        let is_newer = |it: &DocumentIdx| match mine[self.service_idx(*it)] {
            None => true,
            Some(mine) if self.mutation == Mutation::IgnoreDigests => {
                self.document(mine).version < self.document(*it).version
            }
            Some(mine) => self.is_superseded_by(mine, *it),
        };
        theirs.into_iter().flatten().filter(is_newer).collect()
    }

    fn at_least(&self, later: HeldDocuments, earlier: HeldDocuments) -> bool {
        earlier.into_iter().flatten().all(|old| {
            let new = later[self.service_idx(old)];
            new.is_some_and(|new| new == old || self.is_superseded_by(old, new))
        })
    }

    fn store_accepts(&self, held: HeldDocuments, source: Source, offered: DocumentIdx) -> bool {
        let mut store = Store::new(key_set());
        for it in held.into_iter().flatten() {
            store
                .offer_bundle(Source::Peer, &self.document(it).envelope)
                .expect("an empty store takes every document from a peer");
        }
        store
            .offer_bundle(source, &self.document(offered).envelope)
            .is_ok()
    }

    fn is_superseded_by(&self, old: DocumentIdx, new: DocumentIdx) -> bool {
        let pair = |idx| {
            let it = self.document(idx);
            (it.version, it.digest)
        };
        is_superseded(pair(old), pair(new))
    }

    fn is_fork(&self, mine: DocumentIdx, offered: DocumentIdx) -> bool {
        mine != offered && self.document(mine).version == self.document(offered).version
    }

    fn holding_of(&self, held: HeldDocuments) -> Holding {
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
