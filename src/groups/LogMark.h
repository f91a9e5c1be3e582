#pragma once

#include "base/Ids.h"

#include <string>

namespace parsleypaddle {

/// A position in a group's log and the term in which it was written. Ordered by term, then by position.
struct LogMark {
    Term term;
    LogPosition position;

    friend bool operator==(const LogMark& a, const LogMark& b) { return a.term == b.term && a.position == b.position; }
    friend bool operator!=(const LogMark& a, const LogMark& b) { return !(a == b); }
    friend bool operator<(const LogMark& a, const LogMark& b)
    {
        return a.term != b.term ? a.term < b.term : a.position < b.position;
    }
};

/// Formats a mark as "TERM.POSITION" for logs and messages.
inline std::string textOf(const LogMark& mark)
{
    return std::to_string(mark.term.value()) + "." + std::to_string(mark.position.value());
}

}
