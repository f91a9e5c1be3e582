#pragma once

#include "base/Time.h"
#include "groups/LogMark.h"

#include <deque>
#include <optional>

namespace parsleypaddle {

/// Where the primary's log ended at recent moments. A read that must see everything acknowledged up to some moment
/// needs the mark of that moment or a later one. Pure.
class FreshMarks {
public:
    /// The primary answered with `mark` to a request sent at `sentAt`: the mark covers every commit acknowledged before.
    void note(Instant sentAt, const LogMark& mark);

    /// The oldest mark that is enough for a read that may be `greatestAge` old; nullopt when all known ones are too old.
    std::optional<LogMark> required(Instant now, Milliseconds greatestAge) const;

    /// The newest known mark.
    std::optional<LogMark> newest() const;

    /// Another primary leads: its log is not a continuation of what was seen.
    void clear() { m_marks.clear(); }

private:
    struct Seen {
        Instant at;
        LogMark mark;
    };

    std::deque<Seen> m_marks;
};

}
