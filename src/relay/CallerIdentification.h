#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "directory/RouteTable.h"
#include "targets/RelayStep.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleypaddle {

/// The text by which a caller identifies itself. Where the configuration has organisations it is a secret, so it can be looked up but not
/// read.
class CallerKey {
public:
    CallerKey() = default;
    explicit CallerKey(std::string text)
        : m_text(std::move(text))
    {
    }

private:
    friend class CallerIdentification;

    std::string m_text;
};

/// What happens to callers of organisations while nothing confirms that the configuration is still in force.
struct RevocationRule {
    /// Whether they are refused. Otherwise they are served under the configuration that is held.
    bool isFailClosed { false };
    /// How long the configuration counts as confirmed. Also without isFailClosed, no key is denied as unknown after that.
    Milliseconds limit { 5000 };
    /// Within which a change of the configuration is promised to be in force. What has not been confirmed for longer denies no database.
    Milliseconds configurationBound { 5000 };
};

/// In whose name a statement runs, or why it must not run.
struct StatementIdentity {
    /// None, Unauthorized, or Busy if the configuration is not confirmed.
    RelayError error { RelayError::None };
    std::string why;
    /// For logs, metrics and queues: the organisation, "-" for a public route. Where there are no organisations, the name that the caller
    /// gives for itself.
    OrganisationId caller;
    /// Empty for public routes and where there are no organisations.
    OrganisationId organisation;
    /// The organisation's limit; 0 without one.
    OperationLimit limit;
    /// Whether other daemons are told for whom the statement runs.
    bool hasOrganisations { false };
};

/// Decides in whose name callers' statements run, by the organisations of the configuration in force.
class CallerIdentification {
public:
    /// Replaces the organisations; null where the configuration has none.
    void setOrganisations(std::shared_ptr<const OrganisationDirectory>);
    /// `configurationAge`: time since a source or the platform last confirmed the configuration.
    void setRevocation(RevocationRule, std::function<Milliseconds()> configurationAge);

    /// Identifies the caller of a statement that arrived at this daemon. An unknown key is Unauthorized only while the configuration is
    /// confirmed, and Busy otherwise.
    StatementIdentity identify(const CallerKey&, const Route&) const;
    /// Identifies the caller of a statement that another daemon forwarded, by what that daemon says. Busy if it does not say for whom it
    /// forwards a statement that runs for an organisation, which it does not before it has received a configuration with organisations.
    StatementIdentity identifyForwarded(const CallerKey& peer, const std::optional<ForwardedFor>&, const Route&) const;
    /// Whether the configuration in force lets a caller with this key use the route.
    bool accepts(const CallerKey& key, const Route& route) const { return isOpenToAll(route) || m_organisations->findByKey(key.m_text); }
    /// Whether statements of organisations are refused now, because the configuration is not confirmed.
    bool isClosed() const { return m_revocation.isFailClosed && m_organisations && !isConfirmed(); }
    /// Whether a database that the configuration lacks may be denied. A version that adds it may be in force while this daemon cannot receive
    /// it.
    bool mayDenyDatabase() const { return isConfirmedWithin(m_revocation.configurationBound) && (!m_organisations || isConfirmed()); }
    /// Whether statements on the route run without an organisation's key.
    bool isOpenToAll(const Route& route) const { return !m_organisations || route.isPublic; }

private:
    bool isConfirmed() const { return isConfirmedWithin(m_revocation.limit); }
    bool isConfirmedWithin(Milliseconds limit) const { return !m_configurationAge || m_configurationAge() <= limit; }
    OrganisationId nameOf(const CallerKey&) const;

    std::shared_ptr<const OrganisationDirectory> m_organisations;
    /// Whether any configuration so far had organisations. What callers give for their name may be a key from then on.
    bool m_hadOrganisations { false };
    RevocationRule m_revocation;
    std::function<Milliseconds()> m_configurationAge;
};

}
