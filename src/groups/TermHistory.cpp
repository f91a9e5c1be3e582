#include "groups/TermHistory.h"

#include <algorithm>

namespace parsleypaddle {

void TermHistory::add(Term term, LogPosition begin)
{
    if (!m_begins.empty() && !(m_begins.back().term < term))
        return;
    m_begins.push_back({ term, begin });
    if (m_begins.size() > maxTerms)
        m_begins.erase(m_begins.begin());
}

// A later term may begin before an earlier one did, if its primary lacked the end of the log.
LogMark TermHistory::keptPart(const LogMark& end) const
{
    LogMark kept = end;
    for (const LogMark& it : m_begins) {
        if (end.term < it.term)
            kept.position = std::min(kept.position, it.position);
    }
    return kept;
}

}
