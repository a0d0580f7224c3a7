//! Precomputed decisions of the production store on the model's documents.

use bundle::{Source, Store, is_superseded};
use units::ServiceId;

use super::{
    Mutation,
    documents::{Document, all_documents, key_set},
};

/// Index of a document in the order of publication.
pub(super) type DocumentIdx = u8;

/// The documents that a process holds, as an index into the list of all combinations of documents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Holding(u8);

/// The document that a process holds of each of the two services, if any.
type HeldDocuments = [Option<DocumentIdx>; 2];

/// Lookup tables of every decision of the production store on the model's documents.
#[derive(Debug)]
pub(super) struct Decisions {
    /// Total number of documents that the platform publishes.
    pub(super) documents: DocumentIdx,
    /// Holding after the platform offers a document, by previous holding and document.
    after_platform_offer: Vec<Vec<Holding>>,
    /// Holding after a peer offers a document, by previous holding and document.
    after_peer_offer: Vec<Vec<Holding>>,
    /// Documents that a peer sends, by a process's holding and the peer's holding.
    newer: Vec<Vec<Vec<DocumentIdx>>>,
    /// Whether no service reverted to a superseded document, by later and earlier holding.
    at_least: Vec<Vec<bool>>,
}

impl Decisions {
    pub(super) fn new(mutation: Mutation) -> Self {
        let builder = TableBuilder::new(mutation);
        Self {
            documents: builder.document_indexes().end,
            after_platform_offer: builder.tabulate_offers(Source::Platform),
            after_peer_offer: builder.tabulate_offers(Source::Peer),
            newer: builder.tabulate_pairs(TableBuilder::documents_to_send),
            at_least: builder.tabulate_pairs(TableBuilder::is_at_least),
        }
    }

    /// Returns the documents that a process holds after the platform or a peer offers it a
    /// document.
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

    /// Returns the documents that a process that holds `theirs` sends to one that holds `mine`.
    pub(super) fn documents_to_send(&self, mine: Holding, theirs: Holding) -> &[DocumentIdx] {
        &self.newer[usize::from(mine.0)][usize::from(theirs.0)]
    }

    /// Returns the holding of a process that held `mine` after an exchange with one that holds
    /// `theirs`.
    pub(super) fn holding_after_exchange(&self, mine: Holding, theirs: Holding) -> Holding {
        self.documents_to_send(mine, theirs)
            .iter()
            .fold(mine, |held, it| {
                self.holding_after_offer(held, Source::Peer, *it)
            })
    }

    /// Returns whether the holding `later` has the same or a superseding document of every service
    /// in `earlier`.
    pub(super) fn is_at_least(&self, later: Holding, earlier: Holding) -> bool {
        self.at_least[usize::from(later.0)][usize::from(earlier.0)]
    }
}

/// Computes the tables of store decisions by running the production store.
#[derive(Debug)]
struct TableBuilder {
    mutation: Mutation,
    documents: Vec<Document>,
    /// Every combination of documents that a process could hold. The first one is empty.
    holdings: Vec<HeldDocuments>,
}

impl TableBuilder {
    fn new(mutation: Mutation) -> Self {
        let mut builder = Self {
            mutation,
            documents: all_documents(),
            holdings: Vec::new(),
        };
        let choices_of = |service_idx| {
            let all = builder.document_indexes();
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

    /// Tabulates a process's holding after a document is offered, by previous holding and document.
    fn tabulate_offers(&self, source: Source) -> Vec<Vec<Holding>> {
        let row = |held: HeldDocuments| {
            self.document_indexes()
                .map(|it| self.holding_after_offer(held, source, it))
                .collect()
        };
        self.holdings.iter().map(|it| row(*it)).collect()
    }

    /// Tabulates a function of two processes' holdings.
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
            (Mutation::KeepFirstFork, Some(mine)) if self.is_forked_version(mine, offered) => false,
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

    fn is_at_least(&self, later: HeldDocuments, earlier: HeldDocuments) -> bool {
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

    fn is_forked_version(&self, mine: DocumentIdx, offered: DocumentIdx) -> bool {
        mine != offered && self.document(mine).version == self.document(offered).version
    }

    fn holding_of(&self, held: HeldDocuments) -> Holding {
        let idx = self.holdings.iter().position(|it| *it == held);
        let idx = idx.expect("the list has every holding");
        Holding(u8::try_from(idx).expect("few holdings"))
    }

    fn document_indexes(&self) -> std::ops::Range<DocumentIdx> {
        0..DocumentIdx::try_from(self.documents.len()).expect("few documents")
    }

    fn service_idx(&self, idx: DocumentIdx) -> usize {
        usize::from(self.document(idx).service != ServiceId::new(1))
    }

    fn document(&self, idx: DocumentIdx) -> &Document {
        &self.documents[usize::from(idx)]
    }
}
