#include "leases/FleetKey.h"

#include "leases/Epoch.h"
#include "leases/PlatformEraRow.h"
#include "telemetry/DecisionLog.h"

#include <algorithm>
#include <random>

namespace parsleypaddle {

namespace {

    constexpr const char* fleetKeyRow = "fleet-key";
    constexpr size_t keyDigits = 32;
    /// Keys that are accepted at the same time.
    constexpr size_t maxKeys = 4;
    constexpr Milliseconds retryDelay { 1000 };

    bool isKey(std::string_view text)
    {
        return text.size() == keyDigits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    // The duration of the comparison does not tell how many digits are right.
    bool isEqual(std::string_view a, std::string_view b)
    {
        unsigned difference = a.size() == b.size() ? 0 : 1;
        for (size_t n = 0; n < std::min(a.size(), b.size()); ++n)
            difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
        return difference == 0;
    }

}

FleetKey::FleetKey(EventLoop& loop, PlatformRows& platform, DecisionLog& log, std::function<bool()> mayWrite, std::string proposed)
    : m_loop(loop)
    , m_platform(platform)
    , m_log(log)
    , m_mayWrite(std::move(mayWrite))
    , m_proposed(std::move(proposed))
{
}

FleetKey::~FleetKey()
{
    m_loop.cancel(m_timer);
}

std::string FleetKey::generate()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device random;
    std::string key;
    while (key.size() < keyDigits)
        key += digits[random() % digits.size()];
    return key;
}

void FleetKey::setRows(const std::map<std::string, StoredRow>& rows, RowVersion asOf)
{
    const auto it = rows.find(fleetKeyRow);
    const bool isPresent = it != rows.end();
    if (!isPresent || !isKey(it->second.value)) {
        m_replaceable = isPresent ? it->second.version : RowVersion(asOf.era(), 0);
        return writeSoon();
    }
    m_replaceable.reset();
    const std::string& key = it->second.value;
    if (current() == key)
        return;
    m_keys.erase(std::remove(m_keys.begin(), m_keys.end(), key), m_keys.end());
    m_keys.push_back(key);
    if (m_keys.size() > maxKeys)
        m_keys.erase(m_keys.begin());
    m_log.write("fleet_key_known", { { "version", textOf(it->second.version) } });
}

bool FleetKey::accepts(const std::string& key) const
{
    return std::any_of(m_keys.begin(), m_keys.end(), [&](const std::string& it) { return isEqual(it, key); });
}

void FleetKey::writeSoon()
{
    if (m_timer != TimerId::None)
        return;
    m_timer = m_loop.after(Milliseconds(0), [this] { write(); });
}

// Daemons write the key that they know, so that a return from a copy does not change it. Only one of them succeeds.
void FleetKey::write()
{
    m_timer = TimerId::None;
    if (!m_replaceable)
        return;
    m_timer = m_loop.after(retryDelay, [this] { write(); });
    if (!m_mayWrite())
        return;
    RowsTransaction transaction;
    transaction.expected.push_back({ controlTable, fleetKeyRow, *m_replaceable });
    transaction.expected.push_back(eraFence(m_replaceable->era()));
    transaction.writes.push_back({ controlTable, fleetKeyRow, m_keys.empty() ? m_proposed : m_keys.back() });
    m_platform.transact(transaction, [this, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<TransactionAnswer>& answer) {
        if (!alive.expired())
            m_log.write("fleet_key_written", { { "answer", !answer.ok() ? std::string(answer.status().message()) : answer->isApplied ? "applied"
                                                                                                                                     : "rejected: another daemon has written it" } });
    });
}

}
