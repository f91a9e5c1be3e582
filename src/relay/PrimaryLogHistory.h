#pragma once

#include "base/Time.h"
#include "groups/LogMark.h"

#include <deque>
#include <optional>

namespace parsleypaddle {

/// Recent samples of the end of the primary's log. A read that must see every commit acknowledged up to some time
/// requires the log mark of a sample taken at that time or later. Does no I/O and reads no clock.
class PrimaryLogHistory {
public:
    /// Adds the `mark` from the primary's answer to a request sent at `sentAt`. The mark covers every commit acknowledged
    /// before `sentAt`.
    void addSample(Instant sentAt, const LogMark& mark);

    /// The mark that a replica must have applied so that its data is at most `greatestAge` old; nullopt when no
    /// sample is recent enough. The mark also covers `ownCommit`, the last commit of a session.
    std::optional<LogMark> requiredMark(Instant now, Milliseconds greatestAge, const std::optional<LogMark>& ownCommit = std::nullopt) const;

    std::optional<LogMark> newestMark() const;

    /// Discards all samples. Called after a change of primary, because the new primary's log need not continue the old one.
    void clear() { m_samples.clear(); }

private:
    struct Sample {
        Instant at;
        LogMark mark;
    };

    std::deque<Sample> m_samples;
};

}
