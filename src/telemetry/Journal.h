#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <deque>
#include <string>
#include <vector>

namespace parsleypaddle {

/// One decision of this daemon.
struct Decision {
    Instant at;
    /// Empty for a decision on a group alone.
    RequestId request;
    DatabaseId database;
    std::string what;
    std::string why;
};

/// Limits of a journal, in bytes of the decisions it holds. Groups have room of their own, so that busy callers do
/// not push out the rare changes of primary.
struct JournalLimits {
    size_t requestBytes { 4'000'000 };
    size_t groupBytes { 500'000 };
};

/// The latest decisions of this daemon, for `explain`. The oldest ones give way.
class Journal {
public:
    explicit Journal(const JournalLimits&);

    void note(Decision);

    /// The decisions on a request, oldest first.
    std::vector<Decision> ofRequest(const RequestId&) const;

    /// The decisions on a group outside of requests, oldest first.
    std::vector<Decision> ofGroup(const DatabaseId&) const;

    /// The time from which on every decision on requests is still held; zero while none has given way.
    Instant completeSince() const { return m_requests.completeSince; }

    /// Bytes held now.
    size_t size() const { return m_requests.bytes + m_groups.bytes; }

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
