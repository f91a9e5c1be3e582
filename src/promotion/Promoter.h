#pragma once

#include "acknowledgement/GroupControl.h"

namespace parsleypaddle {

/// Times of a change of primary.
struct PromoterSettings {
    /// Silence of the primary, new connections included, after which it counts as failed.
    Milliseconds detection { 700 };
    /// What each further rank waits longer before it moves.
    Milliseconds stagger { 300 };
    /// How long a replica's word that it hears the primary holds off a change, for a primary that only some cannot reach.
    Milliseconds replicaEvidence { 8000 };
    /// How long an attempt waits for a majority to grant its term.
    Milliseconds fenceTimeout { 600 };
    /// How long a planned change waits until the next primary holds all of the log.
    Milliseconds catchUpTimeout { 500 };
    /// Spreads the retries of daemons that try at the same time.
    uint64_t seed { 0 };
};

/// Why a change of primary was ordered.
enum class PromotionCause : uint8_t {
    /// The primary was silent.
    PrimarySilent,
    /// Terms were granted, but no primary came of it.
    NoPrimary,
    /// A target holds a later term than the primary and cannot take its log.
    TargetStranded,
    Planned,
};

/// What a change of primary took, by part.
struct PromotionReport {
    DatabaseId database;
    PromotionCause cause { PromotionCause::PrimarySilent };
    Term term;
    TargetId primary;
    Instant primaryLastHeard;
    Instant detectedAt;
    Instant fencedAt;
    Instant promotedAt;
};

/// Orders a change of primary when the primary fails: fence a majority at a new term, promote the target with
/// the highest position among them. A target grants a term once, so two promoters cannot both win.
class Promoter {
public:
    using Promoted = std::function<void(const PromotionReport&)>;

    virtual ~Promoter() = default;

    /// This daemon's rank among those that watch the group: 0 moves first; nullopt never moves.
    virtual void setRank(std::optional<uint32_t>) = 0;

    /// Orders a planned change now, for a primary that is leaving.
    virtual void replacePrimary() = 0;

    virtual void onPromoted(Promoted) = 0;

    static std::unique_ptr<Promoter> create(EventLoop&, GroupControl&, const GroupConfiguration&, const PromoterSettings&);
};

}
