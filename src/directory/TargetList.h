#pragma once

#include "base/Time.h"
#include "directory/TargetEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// The targets to use: those in the platform's list, and those missing from it for less than a grace period. Entries expire
/// while the platform is unavailable; running targets are listed again within two seconds of its return. When it returns from an older
/// copy, a leaving target may be listed as it was before its report, so it is taken for leaving for the same period. Does no I/O.
class TargetList {
public:
    /// Grace period of targets that were leaving, and of all targets by default. After an outage of the platform, running targets are
    /// listed again within two seconds. The other 500 ms are for receiving the new list.
    static constexpr Milliseconds defaultGracePeriod { 2500 };

    /// `gracePeriod` of targets that disappear without having reported that they leave. `reportInterval`: how often targets report; 0 if that
    /// is not known.
    explicit TargetList(Milliseconds gracePeriod = defaultGracePeriod, Milliseconds reportInterval = Milliseconds(0))
        : m_gracePeriod(gracePeriod)
        , m_reportInterval(reportInterval)
    {
    }

    /// The grace period where targets may get new work for `maxUse` after the platform has listed them as leaving or gone.
    static Milliseconds gracePeriodFor(Milliseconds maxUse);

    /// Replaces the list. Targets missing from the new one stay in use until their grace period ends.
    void setListed(std::vector<TargetEntry> listed, Instant now);

    /// The targets to use at `now`; removes those whose grace period has ended.
    std::vector<TargetEntry> targets(Instant now);

    /// When the next grace period ends; nullopt while there is none.
    std::optional<Instant> nextExpiry(Instant now) const;

private:
    struct Known {
        TargetEntry entry;
        std::optional<Instant> missingSince;
        /// When the last report of the target arrived here.
        Instant reportedAt;
        /// Since when a lower sequence than before has been listed for a target that was leaving.
        std::optional<Instant> outdatedSince;
        uint64_t lastLeavingSequence { 0 };
    };

    static void update(Known&, TargetEntry, bool isNew, Instant now);
    Milliseconds gracePeriodOf(const Known& known) const { return known.entry.isLeaving ? defaultGracePeriod : m_gracePeriod; }

    bool hasLeft(const Known&) const;

    Milliseconds m_gracePeriod;
    Milliseconds m_reportInterval;
    std::map<TargetId, Known> m_known;
};

}
