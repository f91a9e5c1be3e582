#include "telemetry/Journal.h"

#include <algorithm>
#include <iterator>

namespace parsleypaddle {

namespace {

    size_t sizeOf(const Decision& decision)
    {
        return sizeof(Decision) + decision.request.value().size() + decision.database.value().size() + decision.what.size() + decision.why.size();
    }

    // Linear scan: it takes about a millisecond for a few megabytes and runs only on an operator's request, whereas an index
    // would use memory all the time.
    template <typename Matches>
    std::vector<Decision> select(const std::deque<Decision>& decisions, const Matches& matches)
    {
        std::vector<Decision> selected;
        std::copy_if(decisions.begin(), decisions.end(), std::back_inserter(selected), matches);
        return selected;
    }

}

Journal::Journal(const JournalLimits& limits)
    : m_limits(limits)
{
}

void Journal::record(Decision decision)
{
    if (decision.request.isEmpty())
        m_groups.push(std::move(decision), m_limits.groupBytes);
    else
        m_requests.push(std::move(decision), m_limits.requestBytes);
}

std::vector<Decision> Journal::ofRequest(const RequestId& request) const
{
    return select(m_requests.decisions, [&request](const Decision& it) { return it.request == request; });
}

std::vector<Decision> Journal::ofDatabase(const DatabaseId& database) const
{
    return select(m_groups.decisions, [&database](const Decision& it) { return it.database == database; });
}

void Journal::Ring::push(Decision decision, size_t limit)
{
    bytes += sizeOf(decision);
    decisions.push_back(std::move(decision));
    while (bytes > limit && !decisions.empty()) {
        bytes -= sizeOf(decisions.front());
        completeSince = decisions.front().at;
        decisions.pop_front();
    }
}

}
