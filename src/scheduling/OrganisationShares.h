#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>

namespace parsleypaddle {

/// Finds organisations that overload a queue: they offer more than their share of its slots, and their load has risen much more than
/// that of the others. Shares are weighted by the usual load of an organisation; what it leaves of its share goes to the others.
/// Reads no clock: callers pass the time.
class OrganisationShares {
public:
    void setSlots(double slots) { m_slots = slots; }

    /// Records work that was offered and is estimated to need `cost` of slot time, and returns whether it is beyond the share of its
    /// organisation.
    bool isBeyondShare(const OrganisationId&, Milliseconds cost, Instant now);

    size_t size() const { return m_loads.size(); }

private:
    /// Average slots that an organisation needs; decays exponentially.
    struct Load {
        double recent { 0 };
        double usual { 0 };
        Instant updatedAt;
    };

    void decay(Load&, Instant now) const;
    void updateShares(Instant now);
    double weightOf(const Load&) const;
    /// Slots that the organisation may use before its work is beyond its share, while the queue is overloaded.
    double allowanceOf(const Load&) const;

    double m_slots { 1 };
    std::map<OrganisationId, Load> m_loads;
    /// Slots for each unit of weight that an organisation may use; applies while m_isOverloaded.
    double m_slotsPerWeight { 0 };
    /// Of all organisations, when the shares were last updated.
    double m_totalLoad { 0 };
    double m_totalWeight { 0 };
    /// Share of the usual load that the averages have seen since the first work. It corrects them after a start.
    double m_usualShare { 1e-3 };
    Instant m_firstUpdateAt;
    bool m_isOverloaded { false };
    Instant m_sharesUpdatedAt;
};

}
