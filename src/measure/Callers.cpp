#include "measure/Callers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds pauseBeforeAskingAgain { 300 };
    constexpr uint32_t mostAttempts = 8;
    /// Sessions of one organisation that are there from the start; more join when all are busy.
    constexpr size_t sessionsOfOrganisation = 20;
    /// How much longer than the deadline a caller listens for the answer to arrive.
    constexpr Milliseconds patience { 20 };

    uint64_t numberOf(const Rows& rows)
    {
        double value = 0;
        const bool hasValue = !rows.values.empty() && rows.values[0][0] && absl::SimpleAtod(*rows.values[0][0], &value);
        return hasValue ? static_cast<uint64_t>(value) : 0;
    }

    std::string textOf(const Traffic& traffic, const Arrival& arrival)
    {
        const std::string note = absl::StrCat(" /* ", traffic.workload.name.value(), arrival.hasOwnStatement ? " report" : "", " work($3) */");
        if (arrival.isWrite)
            return "INSERT INTO records (key, value) VALUES ($1, $2)" + note;
        return "SELECT value FROM records WHERE key = $1" + note;
    }

}

struct Callers::Session {
    std::string id;
    std::string token;
    uint64_t writes { 0 };
    uint64_t acknowledged { 0 };
};

struct Callers::Request {
    std::shared_ptr<Session> session;
    StatementRequest statement;
    CallerResult result;
    size_t organisation { 0 };
    size_t daemon { 0 };
    Milliseconds allowance;
    /// Tells the answer that is waited for from late ones.
    uint32_t sending { 0 };
};

Callers::Callers(VirtualLoop& loop, FakeTargets& targets, const Deployment& deployment, Proxy& proxy)
    : m_loop(loop)
    , m_targets(targets)
    , m_deployment(deployment)
    , m_proxy(proxy)
    , m_start(loop.now())
    , m_idle(organisations)
{
    for (auto& idle : m_idle) {
        for (size_t n = 0; n < sessionsOfOrganisation; ++n)
            idle.push_back(newSession());
    }
}

Callers::~Callers() = default;

void Callers::run(const std::vector<Arrival>& arrivals, Milliseconds end)
{
    m_start = m_loop.now();
    m_results.reserve(arrivals.size());
    sendNext(arrivals, 0);
    m_loop.advance(end);
}

void Callers::sendNext(const std::vector<Arrival>& arrivals, size_t n)
{
    if (n >= arrivals.size())
        return;
    m_loop.after(m_start + arrivals[n].at - m_loop.now(), [this, &arrivals, n] {
        start(arrivals[n], n);
        sendNext(arrivals, n + 1);
    });
}

void Callers::start(const Arrival& arrival, size_t n)
{
    auto request = std::make_shared<Request>();
    request->session = idleSession(arrival);
    request->result.arrival = n;
    build(*request, arrival);
    send(request);
}

std::shared_ptr<Callers::Session> Callers::newSession()
{
    auto session = std::make_shared<Session>();
    session->id = absl::StrCat("s", ++m_lastSession);
    return session;
}

std::shared_ptr<Callers::Session> Callers::idleSession(const Arrival& arrival)
{
    auto& idle = m_idle[arrival.organisation];
    if (idle.empty())
        idle.push_back(newSession());
    if (arrival.isFollowUp)
        std::swap(idle.front(), idle.back());
    auto session = idle.front();
    idle.pop_front();
    return session;
}

void Callers::build(Request& request, const Arrival& arrival)
{
    const Traffic& traffic = m_deployment.traffic[arrival.traffic];
    const auto& groups = m_deployment.configuration->groups;
    Session& session = *request.session;
    StatementRequest& made = request.statement;
    made.organisation = OrganisationId(absl::StrCat("shop-", arrival.organisation));
    made.session = SessionId(session.id);
    made.workload = traffic.workload.name;
    made.database = groups[arrival.organisation % groups.size()].database;
    made.mode = arrival.isWrite ? AccessMode::Write : AccessMode::Read;
    made.greatestAge = traffic.workload.greatestAge;
    request.result.write = arrival.isWrite ? ++session.writes : session.acknowledged;
    const std::string number = std::to_string(request.result.write);
    made.statement = { textOf(traffic, arrival), { session.id, number, absl::StrCat(arrival.runTime.count()) } };
    made.id = RequestId(absl::StrCat(static_cast<int64_t>(m_loop.now().sinceEpoch()), "-", session.id, "-", request.result.arrival));
    if (arrival.isTransaction)
        made.transaction = TransactionPart { TransactionStep::Begin, {} };
    request.allowance = traffic.workload.deadline;
    request.organisation = arrival.organisation;
    request.daemon = arrival.daemon;
    request.result.database = made.database;
    request.result.key = session.id;
    request.result.isWrite = arrival.isWrite;
    request.result.sentAt = m_loop.now();
    request.result.mightUseReplica = !arrival.isWrite && mightUseReplica(request);
}

void Callers::send(const RequestPointer& request)
{
    const uint32_t sending = ++request->sending;
    // Steps of a transaction and times of asking again keep their own ids and deadlines.
    StatementRequest& statement = request->statement;
    statement.deadline = m_loop.now() + request->allowance;
    statement.token = request->session->token;
    const Milliseconds delay = m_deployment.callerDelay;
    const size_t daemon = livingDaemon(request->daemon);
    m_loop.after(delay, [this, request, sending, delay, daemon, statement] {
        m_proxy.handle(daemon, statement, [this, request, sending, delay](const StatementAnswer& answer) {
            m_loop.after(delay, [this, request, sending, answer] { receive(request, sending, answer); });
        });
    });
    m_loop.after(request->allowance + delay * 2 + patience, [this, request, sending] { receive(request, sending, {}); });
}

void Callers::receive(const RequestPointer& request, uint32_t sending, StatementAnswer answer)
{
    if (sending != request->sending)
        return;
    ++request->sending;
    if (!answer.token.empty())
        request->session->token = answer.token;
    if (!goOn(request, answer))
        finish(request, answer);
}

// Sends the next step of a transaction, or asks again after an unknown outcome.
bool Callers::goOn(const RequestPointer& request, const StatementAnswer& answer)
{
    StatementRequest& statement = request->statement;
    const bool isCommit = statement.transaction && statement.transaction->step == TransactionStep::Commit;
    if (answer.outcome() == Outcome::Done && statement.transaction && !isCommit) {
        const bool isFirst = statement.transaction->step == TransactionStep::Begin;
        statement.transaction = TransactionPart { isFirst ? TransactionStep::Continue : TransactionStep::Commit, answer.transaction };
        statement.id = RequestId(absl::StrCat(statement.id.value(), isFirst ? ".2" : ".3"));
        if (isFirst)
            statement.statement.parameters[0] = request->session->id + "+";
        else
            statement.statement = {};
        send(request);
        return true;
    }
    const bool mayAskAgain = statement.mode == AccessMode::Write && (!statement.transaction || isCommit);
    if (statement.transaction && !statement.transaction->id.isEmpty() && !isCommit)
        rollBack(*request);
    if (answer.outcome() != Outcome::Unknown || !mayAskAgain || statement.attempt >= mostAttempts)
        return false;
    ++statement.attempt;
    if (!isCommit)
        ++request->daemon;
    m_loop.after(pauseBeforeAskingAgain, [this, request] { send(request); });
    return true;
}

// Nobody waits for its answer.
void Callers::rollBack(const Request& request)
{
    StatementRequest statement = request.statement;
    statement.transaction->step = TransactionStep::Rollback;
    statement.id = RequestId(absl::StrCat(statement.id.value(), ".r"));
    statement.deadline = m_loop.now() + request.allowance;
    m_loop.after(m_deployment.callerDelay, [this, statement, daemon = livingDaemon(request.daemon)] { m_proxy.handle(daemon, statement, [](const StatementAnswer&) {}); });
}

void Callers::finish(const RequestPointer& request, const StatementAnswer& answer)
{
    CallerResult& result = request->result;
    const StatementRequest& statement = request->statement;
    result.code = answer.code;
    result.target = answer.target;
    result.answeredAt = m_loop.now();
    result.request = statement.id;
    result.seen = numberOf(answer.rows);
    Session& session = *request->session;
    const bool isWrite = statement.mode == AccessMode::Write;
    // A transaction that was not committed for certain may still hold its connection; its session ends with it.
    const bool isUnsure = isWrite && (answer.outcome() == Outcome::Unknown || (statement.transaction && answer.outcome() != Outcome::Done));
    if (isWrite && answer.outcome() == Outcome::Done)
        session.acknowledged = result.write;
    if (!isUnsure)
        m_idle[request->organisation].push_back(request->session);
    m_results.push_back(std::move(result));
}

// The rules allow a replica that holds the session's last acknowledged write and is young enough.
bool Callers::mightUseReplica(const Request& request)
{
    GroupModel& model = m_targets.model(request.statement.database);
    const GroupConfiguration* group = m_deployment.configuration->findGroup(request.statement.database);
    return std::any_of(group->targets.begin(), group->targets.end(), [&](const TargetConfiguration& it) {
        const TargetStatus status = model.statusOf(it.id);
        if (status.role != TargetRole::Replica || status.isLeaving || status.age > *request.statement.greatestAge)
            return false;
        TargetBatch batch;
        batch.operation = TargetOperation::Read;
        batch.statement = { "SELECT value FROM records WHERE key = $1", { request.session->id } };
        ModelTransaction none;
        const auto reply = model.execute(it.id, batch, none);
        return reply.ok() && numberOf(reply->rows) >= request.session->acknowledged;
    });
}

size_t Callers::livingDaemon(size_t preferred) const
{
    size_t daemon = preferred % m_deployment.daemons();
    while (m_proxy.isDead(daemon))
        daemon = (daemon + 1) % m_deployment.daemons();
    return daemon;
}

}
