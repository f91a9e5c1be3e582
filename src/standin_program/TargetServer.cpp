#include "standin_program/TargetServer.h"

#include "base/ResultCode.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    bool takesSlot(const absl::StatusOr<PipelineBatch>& batch)
    {
        if (!batch.ok())
            return false;
        const TargetOperation operation = batch->batch.operation;
        return operation != TargetOperation::Status && operation != TargetOperation::Fence && operation != TargetOperation::Promote;
    }

    Milliseconds runTimeOf(const TargetBatch& batch)
    {
        const auto statement = ModelStatement::parse(batch.statement);
        return statement.ok() ? statement->runTime() : Milliseconds(0);
    }

}

absl::StatusOr<std::unique_ptr<TargetServer>> TargetServer::create(PollLoop& loop, GroupModel& model, TargetId id, uint16_t port, const ServiceSettings& settings)
{
    try {
        std::unique_ptr<TargetServer> server(new TargetServer(loop, model, std::move(id), settings));
        server->listen(port);
        return server;
    } catch (const Poco::Exception& ec) {
        return makeError(ResultCode::TargetUnreachable, ec.displayText());
    }
}

TargetServer::TargetServer(PollLoop& loop, GroupModel& model, TargetId id, const ServiceSettings& settings)
    : m_loop(loop)
    , m_model(model)
    , m_id(std::move(id))
    , m_settings(settings)
{
}

TargetServer::~TargetServer()
{
    *m_isAlive = false;
    if (!m_isDown && m_port != 0)
        stopListening();
}

void TargetServer::listen(uint16_t port)
{
    m_listener = Poco::Net::ServerSocket();
    m_listener.bind(Poco::Net::SocketAddress(m_settings.host, port), true);
    m_listener.listen();
    m_listener.setBlocking(false);
    m_port = m_listener.address().port();
    m_loop.watch(m_listener.impl()->sockfd(), Readiness::Read, [this](Readiness) { acceptSession(); });
}

void TargetServer::stopListening()
{
    m_loop.unwatch(m_listener.impl()->sockfd());
    m_listener.close();
}

void TargetServer::acceptSession()
{
    try {
        const uint64_t id = ++m_lastSession;
        auto session = std::make_unique<WireSession>(m_loop, id, m_listener.acceptConnection(), *this);
        session->setFrozen(m_isFrozen);
        m_sessions.emplace(id, std::move(session));
    } catch (const Poco::Exception&) {
        // The client gave up before it was accepted.
    }
}

WireSession* TargetServer::findSession(uint64_t id)
{
    auto it = m_sessions.find(id);
    return it == m_sessions.end() ? nullptr : it->second.get();
}

bool TargetServer::isCut(const WireSession& session) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const std::string& it) { return absl::StartsWith(session.applicationName(), it); });
}

void TargetServer::setDown(bool isDown)
{
    if (isDown == m_isDown)
        return;
    m_isDown = isDown;
    m_model.setIsolated(m_id, isDown);
    if (!isDown) {
        listen(m_port);
        return;
    }
    stopListening();
    m_waiting.clear();
    m_sessions.clear();
}

void TargetServer::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
    m_model.setIsolated(m_id, isFrozen);
    for (const auto& it : m_sessions)
        it.second->setFrozen(isFrozen);
    startNext();
}

void TargetServer::setCut(const std::string& clients, bool isCut)
{
    if (clients.empty())
        m_model.setIsolated(m_id, isCut);
    if (!isCut) {
        m_cuts.erase(clients);
        return;
    }
    m_cuts.insert(clients);
    for (const auto& it : m_sessions) {
        if (this->isCut(*it.second))
            it.second->silence();
    }
}

void TargetServer::silenceConnections()
{
    for (const auto& it : m_sessions)
        it.second->silence();
}

void TargetServer::introduced(WireSession& session)
{
    if (isCut(session)) {
        session.silence();
        return;
    }
    if (m_sessions.size() > m_settings.connections) {
        session.refuse("53300", "sorry, too many clients already");
        return;
    }
    m_loop.after(m_settings.connectTime, [this, isAlive = m_isAlive, id = session.id()] {
        if (!*isAlive)
            return;
        if (auto* found = findSession(id))
            found->accept();
    });
}

void TargetServer::submitted(WireSession& session, const Pipeline& pipeline)
{
    WorkItem work { session.id(), batchOf(pipeline, session.transaction()) };
    // Answered from the loop, so that a long pipeline does not nest calls.
    if (!takesSlot(work.batch)) {
        m_loop.after(Milliseconds(0), [this, isAlive = m_isAlive, work = std::move(work)] {
            if (*isAlive)
                finish(work);
        });
        return;
    }
    m_waiting.push_back(std::move(work));
    startNext();
}

void TargetServer::closed(WireSession& session)
{
    m_loop.after(Milliseconds(0), [this, isAlive = m_isAlive, id = session.id()] {
        if (*isAlive)
            m_sessions.erase(id);
    });
}

void TargetServer::startNext()
{
    while (!m_isFrozen && m_running < m_settings.slots && !m_waiting.empty()) {
        auto work = std::move(m_waiting.front());
        m_waiting.pop_front();
        ++m_running;
        const Milliseconds runTime = m_settings.serviceTime + runTimeOf(work.batch->batch);
        m_loop.after(runTime, [this, isAlive = m_isAlive, work = std::move(work)] {
            if (!*isAlive)
                return;
            --m_running;
            // Work that a freeze caught in the middle ends after the thaw.
            if (m_isFrozen)
                m_waiting.push_front(work);
            else
                finish(work);
            startNext();
        });
    }
}

void TargetServer::finish(const WorkItem& work)
{
    if (m_isDown)
        return;
    auto* session = findSession(work.session);
    const PipelineResult result = execute(work, session);
    if (!session)
        return;
    if (work.batch.ok() && m_answerToLose == work.batch->batch.operation) {
        m_answerToLose.reset();
        m_sessions.erase(work.session);
        return;
    }
    session->finish(result);
}

PipelineResult TargetServer::execute(const WorkItem& work, WireSession* session)
{
    if (!work.batch.ok()) {
        PipelineResult refused;
        refused.error = WireError { "0A000", std::string(work.batch.status().message()), 0 };
        refused.transaction = session ? session->transaction() : WireTransaction::Idle;
        return refused;
    }
    TargetBatch batch = work.batch->batch;
    if (work.batch->isUnguarded) {
        const auto statement = ModelStatement::parse(batch.statement);
        batch.operation = !statement.ok() || statement->isRead() ? TargetOperation::Read : TargetOperation::Write;
        batch.term = m_model.statusOf(m_id).term;
        batch.ledgerKey.request = RequestId(absl::StrCat("unguarded-", ++m_lastUnguarded));
    }
    ModelTransaction gone;
    return resultOf(*work.batch, m_model.execute(m_id, batch, session ? session->modelTransaction() : gone));
}

}
