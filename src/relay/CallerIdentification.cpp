#include "relay/CallerIdentification.h"

#include <utility>

namespace parsleypaddle {

namespace {

    /// The name of callers without an organisation in logs and metrics.
    constexpr const char* publicCaller = "-";
    /// Told to callers that are refused because the configuration is not confirmed. Outages last seconds.
    constexpr int unconfirmedRetryMilliseconds = 1000;

    StatementIdentity makeRefusal(RelayError error, std::string why)
    {
        StatementIdentity identity;
        identity.error = error;
        identity.why = std::move(why);
        identity.caller = OrganisationId(publicCaller);
        identity.hasOrganisations = true;
        return identity;
    }

    StatementIdentity makeUnconfirmedRefusal()
    {
        return makeRefusal(RelayError::Busy, "this daemon cannot confirm which keys are valid now; come back in " + std::to_string(unconfirmedRetryMilliseconds) + " ms");
    }

}

void CallerIdentification::setOrganisations(std::shared_ptr<const OrganisationDirectory> organisations)
{
    m_organisations = std::move(organisations);
    m_hadOrganisations = m_hadOrganisations || m_organisations;
}

void CallerIdentification::setRevocation(RevocationRule rule, std::function<Milliseconds()> configurationAge)
{
    m_revocation = rule;
    m_configurationAge = std::move(configurationAge);
}

OrganisationId CallerIdentification::nameOf(const CallerKey& key) const
{
    return OrganisationId(m_hadOrganisations ? publicCaller : key.m_text);
}

StatementIdentity CallerIdentification::identify(const CallerKey& key, const Route& route) const
{
    StatementIdentity identity;
    identity.hasOrganisations = m_organisations != nullptr;
    identity.caller = nameOf(key);
    if (isOpenToAll(route))
        return identity;
    if (isClosed())
        return makeUnconfirmedRefusal();
    const Organisation* organisation = m_organisations->findByKey(key.m_text);
    if (!organisation)
        return isConfirmed() ? makeRefusal(RelayError::Unauthorized, "the key is not known") : makeUnconfirmedRefusal();
    identity.caller = organisation->id;
    identity.organisation = organisation->id;
    identity.limit = organisation->limit;
    return identity;
}

StatementIdentity CallerIdentification::identifyForwarded(const CallerKey& peer, const std::optional<ForwardedFor>& forwardedFor, const Route& route) const
{
    StatementIdentity identity;
    if (forwardedFor) {
        identity.organisation = forwardedFor->organisation;
        identity.caller = identity.organisation.isEmpty() ? OrganisationId(publicCaller) : identity.organisation;
        return identity;
    }
    if (!isOpenToAll(route))
        return makeRefusal(RelayError::Busy, "the daemon that forwarded the statement did not say for whom");
    // What a daemon gives for its name is no secret.
    identity.caller = OrganisationId(peer.m_text);
    return identity;
}

}
