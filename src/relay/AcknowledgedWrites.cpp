#include "relay/AcknowledgedWrites.h"

#include <utility>

namespace parsleypaddle {

namespace {

    /// Callers choose the ids of their statements; those of the known callers are shorter.
    constexpr size_t maxIdLength = 64;

    std::string wholeMilliseconds(Milliseconds duration)
    {
        return std::to_string(static_cast<int64_t>(duration.count()));
    }

    /// For example "s1 write 1776773091101+12 #7 1.1042 row+4312 e1.262", with " at TARGET/TERM" unless both are those of the line.
    std::string describe(const AcknowledgedWrite& write, const TargetId& primary, Term term)
    {
        std::string text = write.id.value();
        text += write.kind == AcknowledgedKind::Write ? " write " : " commit ";
        text += std::to_string(static_cast<int64_t>(write.sent.at.sinceEpoch())) + '+' + wholeMilliseconds(write.answeredAt - write.sent.at);
        text += " #" + std::to_string(write.sent.connection) + ' ' + (write.mark ? textOf(*write.mark) : "-");
        text += write.sent.lease.source == LeaseSource::Row ? " row+" : " grant+";
        text += wholeMilliseconds(write.sent.lease.validUntil - write.sent.at) + " e" + textOf(write.sent.lease.epoch);
        if (write.primary != primary || write.term != term)
            text += " at " + write.primary.value() + '/' + std::to_string(write.term.value());
        return text;
    }

}

void AcknowledgedWrites::add(AcknowledgedWrite write)
{
    if (write.id.value().size() > maxIdLength)
        write.id = StatementId(write.id.value().substr(0, maxIdLength));
    if (m_writes.size() < capacity) {
        m_writes.push_back(std::move(write));
        return;
    }
    m_writes[m_oldest] = std::move(write);
    m_oldest = (m_oldest + 1) % capacity;
}

std::optional<Instant> AcknowledgedWrites::lastAnswer() const
{
    if (m_writes.empty())
        return std::nullopt;
    return m_writes[(m_oldest + m_writes.size() - 1) % m_writes.size()].answeredAt;
}

std::vector<const AcknowledgedWrite*> AcknowledgedWrites::writesSince(Instant since) const
{
    std::vector<const AcknowledgedWrite*> found;
    for (size_t n = m_writes.size(); n > 0; --n) {
        const AcknowledgedWrite& write = m_writes[(m_oldest + n - 1) % m_writes.size()];
        if (write.answeredAt < since)
            break;
        found.push_back(&write);
    }
    return found;
}

void AcknowledgedWrites::logAndClear(DecisionLog& log, const GroupId& group, const TargetId& primary, Term term, Instant usedUntil)
{
    const auto writes = writesSince(usedUntil - retention);
    std::string list;
    size_t listed = 0;
    for (const AcknowledgedWrite* it : writes) {
        const std::string text = describe(*it, primary, term);
        if (list.size() + text.size() + 2 > maxListLength)
            break;
        list += (list.empty() ? "" : "; ") + text;
        ++listed;
    }
    // Writes of the same period may have been overwritten if all that are kept belong to it.
    const bool isComplete = listed == writes.size() && writes.size() < capacity;
    if (listed > 0)
        log.writeUnlimited("writes_acknowledged", { { "group", group.value() }, { "primary", primary.value() }, { "term", std::to_string(term.value()) }, { "count", std::to_string(listed) }, { "complete", isComplete ? "yes" : "no" }, { "writes", list } });
    m_writes.clear();
    m_oldest = 0;
}

}
