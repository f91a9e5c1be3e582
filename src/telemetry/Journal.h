#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <deque>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A decision of this daemon, with its reason.
struct Decision {
    Instant at;
    /// Empty for a decision on a database group that concerns no request.
    RequestId request;
    DatabaseId database;
    std::string what;
    std::string why;
};

/// Limits of a journal, in bytes of stored decisions. Decisions on groups have a limit of their own, so that the many
/// decisions on requests do not evict the rare changes of primary.
struct JournalLimits {
    size_t requestBytes { 4'000'000 };
    size_t groupBytes { 500'000 };
};

/// A bounded in-memory log of this daemon's latest decisions, for the `explain` command. The oldest decisions are evicted.
class Journal {
public:
    explicit Journal(const JournalLimits&);

    void record(Decision);

    /// The decisions on a request, oldest first.
    std::vector<Decision> ofRequest(const RequestId&) const;

    /// The decisions on the group that serves `database` and that concern no request, oldest first.
    std::vector<Decision> ofDatabase(const DatabaseId&) const;

    /// The time of the latest evicted decision on a request: the later ones are all stored. Zero while none was evicted.
    Instant completeSince() const { return m_requests.completeSince; }

    /// The approximate memory size of all stored decisions, in bytes.
    size_t storedBytes() const { return m_requests.bytes + m_groups.bytes; }

private:
    struct Ring {
        void push(Decision, size_t limit);

        std::deque<Decision> decisions;
        size_t bytes { 0 };
        Instant completeSince;
    };

    JournalLimits m_limits;
    Ring m_requests;
    Ring m_groups;
};

}
