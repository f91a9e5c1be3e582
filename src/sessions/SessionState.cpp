#include "sessions/SessionState.h"

#include <algorithm>
#include <tuple>

namespace parsleypaddle {

const SessionPosition* SessionState::find(const DatabaseId& database) const
{
    auto it = std::find_if(m_positions.begin(), m_positions.end(), [&](const SessionPosition& position) { return position.database == database; });
    return it == m_positions.end() ? nullptr : &*it;
}

void SessionState::advance(const DatabaseId& database, Term term, LogPosition position)
{
    SessionPosition& entry = findOrAdd(database);
    if (std::make_tuple(term.value(), position.value()) < std::make_tuple(entry.term.value(), entry.position.value()))
        return;
    entry.term = term;
    entry.position = position;
    entry.isUncertain = false;
}

void SessionState::setUncertain(const DatabaseId& database)
{
    findOrAdd(database).isUncertain = true;
}

SessionPosition& SessionState::findOrAdd(const DatabaseId& database)
{
    auto it = std::find_if(m_positions.begin(), m_positions.end(), [&](const SessionPosition& position) { return position.database == database; });
    if (it != m_positions.end())
        return *it;
    m_positions.push_back({ database, Term(), LogPosition(), false });
    return m_positions.back();
}

}
