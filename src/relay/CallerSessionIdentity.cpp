// Whose operations a session's statements are, and what becomes of them if its key or its organisation's limit does not admit them.

#include "quotas/OperationQuota.h"
#include "relay/CallerSession.h"
#include "relay/RelayTransaction.h"
#include "relay/StatementLog.h"

#include <utility>

namespace parsleypaddle {

// A statement of an open transaction runs on the transaction's connection, and so in the name for which that was opened.
StatementIdentity CallerSession::identify(const std::optional<ForwardedFor>& forwardedFor, const Route& route) const
{
    const CallerIdentification& identification = m_relay.identification();
    if (m_kind == CallerKind::Caller && !m_transaction)
        return identification.identify(m_key, route);
    if (!m_transaction)
        return identification.identifyForwarded(m_key, forwardedFor, route);
    StatementIdentity identity = m_transactionIdentity;
    if (m_kind == CallerKind::Peer && (forwardedFor ? forwardedFor->organisation : OrganisationId()) != identity.organisation) {
        identity.error = RelayError::Aborted;
        identity.why = "the statement was forwarded for another organisation than its transaction";
    } else if (m_kind == CallerKind::Caller && !identity.organisation.isEmpty() && identification.isClosed()) {
        identity.error = RelayError::Aborted;
        identity.why = "this daemon cannot confirm which keys are valid now";
    }
    return identity;
}

// The session counts as running meanwhile, so that its other statements wait and a drain does not close it.
void CallerSession::askQuota(RelayJob job)
{
    const OrganisationId organisation = job.organisation;
    m_relay.quota()->admit(organisation, [weak = weak_from_this(), job = std::make_shared<RelayJob>(std::move(job))](const QuotaDecision& decision) {
        auto self = weak.lock();
        if (!self)
            return;
        if (self->m_isKeyWithdrawn)
            return self->reject(RelayError::Unauthorized, "the key was withdrawn");
        if (!decision.isAdmitted)
            return self->refuseQuota(*job, decision.retryAfter);
        self->sendAdmitted(std::move(*job));
    });
}

void CallerSession::refuseQuota(const RelayJob& job, Milliseconds retryAfter)
{
    const std::string delay = std::to_string(static_cast<int64_t>(retryAfter.count()));
    const OperationLimit& limit = m_transactionIdentity.limit;
    m_relay.log().write("quota_refused", {
                                             { "request", job.step.id.value() },
                                             { "organisation", job.organisation.value() },
                                             { "database", m_database.value() },
                                             { "limit_per_s", std::to_string(static_cast<int64_t>(limit.perSecond)) },
                                             { "burst", std::to_string(static_cast<int64_t>(limit.burst)) },
                                             { "retry_after_ms", delay },
                                         });
    recordStatementMetrics(m_relay.findOrCreateGroup(job.route->group), job, RelayError::Busy);
    rejectStatement(job, RelayError::Busy, "the organisation is over its limit of operations; come back in " + delay + " ms");
}

void CallerSession::refuseIdentity(const RelayJob& job, const StatementIdentity& identity)
{
    RelayGroup& group = m_relay.findOrCreateGroup(job.route->group);
    logStatement(group, "statement_refused", job, {}, identity.error, identity.why);
    recordStatementMetrics(group, job, identity.error);
    rejectStatement(job, identity.error, identity.why);
}

// A refused COMMIT ends its transaction, while another refused statement leaves it failed.
void CallerSession::rejectStatement(const RelayJob& job, RelayError error, std::string_view why)
{
    if (job.step.kind == RelayKind::Commit) {
        dropTransaction();
        m_state = TransactionState::Idle;
    }
    reject(error, why);
}

void CallerSession::checkKey()
{
    const auto route = m_state == TransactionState::Open ? m_transactionRoute : currentRoute();
    // Without a route, statements are answered with UnknownDatabase.
    m_isKeyWithdrawn = m_kind == CallerKind::Caller && route && !m_relay.identification().accepts(m_key, *route);
    if (m_isKeyWithdrawn && !m_isRunning)
        endUnauthorized();
}

void CallerSession::endUnauthorized()
{
    dropTransaction();
    m_state = TransactionState::Idle;
    const auto refused = std::exchange(m_waiting, {});
    m_relay.log().write("session_ended", { { "database", m_database.value() }, { "why", "the key was withdrawn" }, { "refused", std::to_string(refused.size()) } });
    RelayAnswer answer;
    answer.error = RelayError::Unauthorized;
    answer.errorText = "the key was withdrawn";
    for (size_t n = 0; n < refused.size() && m_port; ++n)
        m_port->answer(answer);
    close();
}

}
