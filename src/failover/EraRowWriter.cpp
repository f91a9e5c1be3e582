#include "failover/EraRowWriter.h"

#include "leases/Epoch.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// Delay per rank, so that holders of higher rank write only if those before them do not.
    constexpr Milliseconds delayPerRank { 50 };
    constexpr Milliseconds retryDelay { 500 };
    /// Earlier eras whose rows are written, too. A platform that returns from copies in quick succession skips them otherwise, and
    /// a transaction of an earlier era expects that the row of the next one is missing.
    constexpr uint64_t fencedEras = 8;

}

EraRowWriter::EraRowWriter(const FailoverContext& context)
    : m_context(context)
{
}

void EraRowWriter::tick()
{
    const PlatformEraState& state = *m_context.era;
    const Instant now = m_context.loop.now();
    if (!state.isRestored() || state.row || !m_context.lease.holdsRow())
        return;
    if (m_era != state.era) {
        m_era = state.era;
        m_nextAttempt = now + delayPerRank * m_context.leaseMonitor.rankFor(GroupId(eraKey(m_era)));
    }
    if (now < m_nextAttempt)
        return;
    m_nextAttempt = now + retryDelay;
    // Reads the platform's clock in this era.
    m_context.platform.readAll(controlTable, [this, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<RowsAnswer>& answer) {
        const bool isCurrent = !alive.expired() && answer.ok() && answer->version.era() == m_era && m_era == m_context.era->era;
        if (isCurrent && !m_context.era->row)
            write(answer->platformTime);
    });
}

void EraRowWriter::write(Instant beganAt)
{
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, eraKey(m_era), RowVersion(m_era, 0) });
    transaction.expected.push_back(eraFence(m_era));
    const uint64_t last = m_era.value();
    for (uint64_t it = std::max(firstEra.value(), last - std::min(last, fencedEras)) + 1; it <= last; ++it)
        transaction.writes.push_back({ controlTable, eraKey(PlatformEra(it)), encodeEraRow(beganAt) });
    m_context.platform.transact(transaction, [this, beganAt, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (alive.expired())
            return;
        std::string outcome = answer.ok() ? "rejected: another daemon has written it, or a later era has begun" : std::string(answer.status().message());
        if (answer.ok() && answer->isApplied)
            outcome = "applied";
        m_context.log.write("platform_era_written", { { "era", std::to_string(m_era.value()) }, { "began_at", std::to_string(beganAt.sinceEpoch()) }, { "answer", outcome } });
    });
}

}
