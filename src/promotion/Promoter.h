#pragma once

#include "acknowledgement/GroupControl.h"

namespace parsleypaddle {

/// Timing of a change of primary.
struct PromoterSettings {
    /// A primary counts as failed when it has not answered for this long and a new connection to it failed or got no answer.
    /// A missing primary, or a target on a later term, must last this long before a change is due. Answers older than this
    /// no longer count.
    Milliseconds detectionTime { 700 };
    /// A daemon waits for this time multiplied by its rank before it acts on a failure. Also the unit of the backoff after
    /// a failed attempt.
    Milliseconds rankDelay { 300 };
    /// How long a change for a silent or unknown primary is held off while a replica still reaches the primary, because the
    /// primary may then be unreachable for some daemons only. Doubles each time it has elapsed, up to 10 minutes.
    Milliseconds reachablePrimaryHoldOff { 8000 };
    /// An attempt fails unless a target confirms its promotion within fenceTimeout + catchUpTimeout. Not a time limit of the
    /// fences alone.
    Milliseconds fenceTimeout { 600 };
    /// How long a planned change waits at most for the preferred target to hold all of the old primary's log.
    Milliseconds catchUpTimeout { 500 };
    /// Seed of the random backoff, which spreads the retries of daemons that try at the same time.
    uint64_t seed { 0 };
};

/// Why a change of primary was started.
enum class PromotionCause : uint8_t {
    /// The primary did not answer, and a new connection to it failed or got no answer either.
    PrimarySilent,
    /// A majority of the targets answers, but no primary is known; for example, a term was granted and no target promoted.
    NoPrimary,
    /// A target is on a later term than the primary and therefore cannot replicate from it.
    TargetOnLaterTerm,
    /// A change was requested with replacePrimary(), for example because the primary is leaving.
    Planned,
};

/// A completed change of primary, with the time of each step.
struct PromotionReport {
    DatabaseId database;
    PromotionCause cause { PromotionCause::PrimarySilent };
    Term term;
    TargetId primary;
    /// When the old primary last answered before the attempt; the start of the attempt if no primary was known.
    Instant primaryLastAnswerAt;
    /// When the attempt started, after the rank delay and any backoff.
    Instant startedAt;
    Instant fencedAt;
    Instant promotedAt;
};

/// Replaces the primary when it fails: fences a majority of the targets at a new term, then promotes the fenced target
/// with the most complete log. A target grants a term only once, so only one promoter can get a majority for it.
class Promoter {
public:
    using PromotedCallback = std::function<void(const PromotionReport&)>;

    virtual ~Promoter() = default;

    /// This daemon's rank among the daemons that watch the group. Rank 0 acts first; without a rank this daemon makes only
    /// planned changes.
    virtual void setRank(std::optional<uint32_t>) = 0;

    /// Requests a planned change of primary, which starts at once or after a running attempt or backoff has ended. The
    /// request is dropped if there is no primary or no suitable replica by then.
    virtual void replacePrimary() = 0;

    /// Sets the callback for each change that this promoter completes.
    virtual void onPromoted(PromotedCallback) = 0;

    static std::unique_ptr<Promoter> create(EventLoop&, GroupControl&, const GroupConfiguration&, const PromoterSettings&);
};

}
