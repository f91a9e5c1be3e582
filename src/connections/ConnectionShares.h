#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace parsleypaddle {

/// What the organisations hold of a pool's connections and wait for, and which of them gets the next connection: the one with the
/// fewest connections in use and, among equals, the one whose turn was the longest time ago. Reads no clock.
class ConnectionShares {
public:
    /// A request of the organisation waits for a connection.
    void addWaiter(const OrganisationId&);
    /// A waiting request was given up.
    void removeWaiter(const OrganisationId&);
    /// A waiting request got a connection.
    void recordAcquired(const OrganisationId&);
    /// A connection in use was returned or closed.
    void recordReleased(const OrganisationId&);
    /// A connection attempt for the organisation began or ended.
    void addAttempt(const OrganisationId&);
    void removeAttempt(const OrganisationId&);

    /// Connections in use and attempts of all organisations.
    uint32_t inUse() const { return m_inUse; }
    uint32_t attempts() const { return m_attempts; }
    uint32_t held() const { return m_inUse - m_attempts; }
    /// Whether requests of the organisation wait, and whether they are more than the attempts for it.
    bool isWaiting(const OrganisationId&) const;
    bool needsAttempt(const OrganisationId&) const;

    /// The organisation for which the next connection is opened, of those with more waiting requests than attempts; nullopt if there
    /// is none.
    std::optional<OrganisationId> next() const;

    /// How the connections in use of `a` compare to those of `b`: negative if `a` has fewer.
    int64_t compareUse(const OrganisationId& a, const OrganisationId& b) const;

private:
    struct Share {
        uint32_t held { 0 };
        uint32_t attempts { 0 };
        uint32_t waiting { 0 };
        /// Sequence number of the last connection that the organisation got or, before the first one, of its first request.
        uint64_t lastTurn { 0 };

        uint32_t inUse() const { return held + attempts; }
    };

    Share& shareOf(const OrganisationId&);
    uint32_t inUse(const OrganisationId&) const;
    void eraseIfUnused(const OrganisationId&);

    /// Only organisations that hold connections, have attempts or wait.
    std::map<OrganisationId, Share> m_shares;
    uint32_t m_inUse { 0 };
    uint32_t m_attempts { 0 };
    uint64_t m_lastTurn { 0 };
};

}
