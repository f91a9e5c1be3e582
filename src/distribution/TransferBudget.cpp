#include "distribution/TransferBudget.h"

namespace parsleypaddle {

namespace {

    /// Takes 260 ms on a link of 2 Mbit/s.
    constexpr size_t maxBytesOnTheWay = 65'536;
    constexpr size_t maxShortBytes = 1024;
    /// A subscriber that is lost may never confirm a transfer.
    constexpr Milliseconds transferTimeout { 3000 };

}

bool TransferBudget::tryStart(TransferId id, size_t bytes, Instant now)
{
    if (bytes <= maxShortBytes)
        return true;
    if (!m_transfers.empty() && m_bytes + bytes > maxBytesOnTheWay)
        return false;
    finish(id);
    m_transfers[id] = { bytes, now };
    m_bytes += bytes;
    return true;
}

bool TransferBudget::finish(TransferId id)
{
    auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return false;
    m_bytes -= it->second.bytes;
    m_transfers.erase(it);
    return true;
}

bool TransferBudget::finishAll(const void* subscriber)
{
    bool areAny = false;
    for (auto it = m_transfers.lower_bound({ subscriber, 0 }); it != m_transfers.end() && it->first.first == subscriber;) {
        m_bytes -= it->second.bytes;
        it = m_transfers.erase(it);
        areAny = true;
    }
    return areAny;
}

bool TransferBudget::expire(Instant now)
{
    bool areAny = false;
    for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        if (now - it->second.startedAt < transferTimeout) {
            ++it;
            continue;
        }
        m_bytes -= it->second.bytes;
        it = m_transfers.erase(it);
        areAny = true;
    }
    return areAny;
}

}
