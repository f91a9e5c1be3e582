#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace parsleypaddle {

/// Limits how many bytes of tables a source has on the way to its subscribers. Without the limit the tables for dozens of subscribers
/// that start at once would delay the answers to heartbeats on a slow link, and the subscribers would take the source for silent.
class TransferBudget {
public:
    /// A subscriber, and the id of its request.
    using TransferId = std::pair<const void*, uint64_t>;

    /// Begins a transfer. Returns false if too many bytes are on the way; a single transfer may be of any size. Short ones are not
    /// limited.
    bool tryStart(TransferId, size_t bytes, Instant now);
    /// Ends a transfer that the subscriber has received. Returns whether it was on the way.
    bool finish(TransferId);
    /// Ends all transfers to a subscriber. Returns whether there were any.
    bool finishAll(const void* subscriber);
    /// Ends transfers that were not received in time. Returns whether there were any.
    bool expire(Instant now);

    /// Whether the transfer is on the way. Short ones never are.
    bool contains(TransferId id) const { return m_transfers.count(id) > 0; }
    bool isEmpty() const { return m_transfers.empty(); }

private:
    struct Transfer {
        size_t bytes { 0 };
        Instant startedAt;
    };

    std::map<TransferId, Transfer> m_transfers;
    size_t m_bytes { 0 };
};

}
