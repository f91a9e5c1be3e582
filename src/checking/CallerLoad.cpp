#include "checking/CallerLoad.h"

#include <cmath>

namespace parsleypaddle {

namespace {

    const OrganisationId callerOrganisation("shop-1");
    /// What the way to the daemon and back may add to a deadline.
    constexpr Milliseconds deadlineGrace { 50 };
    constexpr Milliseconds pauseBeforeAgain { 40 };
    constexpr uint64_t sharesOfOperations = 10;

}

struct CallerLoad::Session {
    std::string name;
    std::string token;
    uint64_t written { 0 };
    uint64_t acknowledged { 0 };
    std::string transactionName;
    TransactionId transaction;
    uint32_t statementsLeft { 0 };
    /// The daemon it is at; none before its first request.
    size_t daemon { SIZE_MAX };
};

/// A request on its way, over all times that it is sent.
struct CallerLoad::Sending {
    CallerRequest record;
    StatementRequest request;
};

CallerLoad::CallerLoad(EventLoop& loop, FakeFleet& fleet, DatabaseId database, const CallerLoadSettings& settings, uint64_t seed)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_database(std::move(database))
    , m_settings(settings)
    , m_random(seed)
    , m_stops(fleet.size())
{
}

CallerLoad::~CallerLoad() = default;

void CallerLoad::start()
{
    for (size_t i = 0; i < m_settings.sessions; ++i) {
        auto session = std::make_shared<Session>();
        session->name = "session-" + std::to_string(++m_names);
        schedule(session);
    }
}

void CallerLoad::noteStopped(size_t daemon, bool isStopped)
{
    m_stops[daemon] = { isStopped, m_loop.now() };
}

bool CallerLoad::wasStoppedSince(size_t daemon, Instant since) const
{
    return m_stops[daemon].isStopped || m_stops[daemon].until >= since;
}

void CallerLoad::schedule(const SessionPointer& session)
{
    const double pause = std::uniform_real_distribution<double>(1, m_settings.longestPause.count())(m_random);
    std::weak_ptr<int> alive = m_alive;
    m_loop.after(Milliseconds(pause), [this, alive, session] {
        if (!alive.expired())
            next(session);
    });
}

void CallerLoad::next(const SessionPointer& session)
{
    if (m_isStopped)
        return;
    const uint64_t choice = m_random() % sharesOfOperations;
    if (choice < 4)
        write(session);
    else if (choice < 8)
        read(session);
    else
        begin(session);
}

std::shared_ptr<CallerLoad::Sending> CallerLoad::prepare(const SessionPointer& session, CallerOperation operation, AccessMode mode)
{
    auto sending = std::make_shared<Sending>();
    StatementRequest& request = sending->request;
    request.organisation = callerOrganisation;
    request.session = SessionId(session->name);
    request.id = RequestId(std::to_string(static_cast<int64_t>(m_loop.now().sinceEpoch())) + "-" + std::to_string(++m_requests) + ".");
    request.workload = ClassName("counter");
    request.database = m_database;
    request.mode = mode;
    request.attempt = 0;
    // A caller that lost its token still names its session.
    request.token = m_random() % 2 == 0 ? session->token : std::string();
    CallerRequest& record = sending->record;
    record.operation = operation;
    record.id = request.id;
    record.session = session->name;
    record.transaction = session->transactionName;
    record.acknowledgedBefore = session->acknowledged;
    record.sentAt = m_loop.now();
    return sending;
}

void CallerLoad::fillInsert(const SessionPointer& session, Sending& sending)
{
    sending.record.value = valueOf(session->name, ++session->written);
    sending.request.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { session->name, sending.record.value } };
}

void CallerLoad::write(const SessionPointer& session)
{
    auto sending = prepare(session, CallerOperation::Write, AccessMode::Write);
    fillInsert(session, *sending);
    send(session, sending, [this, session](const CallerRequest& record) {
        settleWritten(session, record);
        schedule(session);
    });
}

void CallerLoad::read(const SessionPointer& session)
{
    auto sending = prepare(session, CallerOperation::Read, AccessMode::Read);
    sending->request.statement = { "SELECT value FROM records WHERE key = $1", { session->name } };
    sending->request.greatestAge = Milliseconds(60'000);
    send(session, sending, [this, session](const CallerRequest&) { schedule(session); });
}

void CallerLoad::begin(const SessionPointer& session)
{
    session->transactionName = session->name + "/" + std::to_string(session->written);
    session->statementsLeft = 1 + static_cast<uint32_t>(m_random() % 3);
    auto sending = prepare(session, CallerOperation::TransactionStatement, AccessMode::Write);
    sending->request.transaction = TransactionPart { TransactionStep::Begin, {} };
    fillInsert(session, *sending);
    send(session, sending, [this, session](const CallerRequest& record) {
        if (record.answer && record.answer->outcome() == Outcome::Done) {
            session->transaction = record.answer->transaction;
            proceed(session);
            return;
        }
        session->transactionName.clear();
        schedule(session);
    });
}

void CallerLoad::proceed(const SessionPointer& session)
{
    if (session->statementsLeft-- == 0) {
        commit(session);
        return;
    }
    auto sending = prepare(session, CallerOperation::TransactionStatement, AccessMode::Write);
    sending->request.transaction = TransactionPart { TransactionStep::Continue, session->transaction };
    fillInsert(session, *sending);
    send(session, sending, [this, session](const CallerRequest& record) {
        if (record.answer && record.answer->outcome() == Outcome::Done)
            proceed(session);
        else
            rollBack(session);
    });
}

void CallerLoad::commit(const SessionPointer& session)
{
    auto sending = prepare(session, CallerOperation::Commit, AccessMode::Write);
    sending->request.transaction = TransactionPart { TransactionStep::Commit, session->transaction };
    send(session, sending, [this, session](const CallerRequest& record) {
        settleWritten(session, record);
        session->transactionName.clear();
        schedule(session);
    });
}

void CallerLoad::rollBack(const SessionPointer& session)
{
    auto sending = prepare(session, CallerOperation::Rollback, AccessMode::Write);
    sending->request.transaction = TransactionPart { TransactionStep::Rollback, session->transaction };
    send(session, sending, [this, session](const CallerRequest&) {
        session->transactionName.clear();
        schedule(session);
    });
}

// A session whose write stays unknown goes on under another name, since the write may still come to light.
void CallerLoad::settleWritten(const SessionPointer& session, const CallerRequest& record)
{
    const bool isKnown = record.answer && record.answer->outcome() != Outcome::Unknown;
    if (isKnown && record.answer->outcome() == Outcome::Done)
        session->acknowledged = session->written;
    if (isKnown)
        return;
    session->name = "session-" + std::to_string(++m_names);
    session->token.clear();
    session->acknowledged = 0;
    session->written = 0;
}

// Sessions roam now and then, and leave a daemon that does not answer.
size_t CallerLoad::chooseDaemon(Session& session, bool isAskedAgain)
{
    const bool roams = m_random() % 4 == 0;
    if (!isAskedAgain && !roams && session.daemon < m_fleet.size() && !m_stops[session.daemon].isStopped)
        return session.daemon;
    size_t n = m_random() % m_fleet.size();
    // The balancer mostly knows which daemons run.
    for (size_t i = 0; i < m_fleet.size() && m_stops[n].isStopped && m_random() % 64 != 0; ++i)
        n = (n + 1) % m_fleet.size();
    session.daemon = n;
    return n;
}

void CallerLoad::send(const SessionPointer& session, const std::shared_ptr<Sending>& sending, Finished finished)
{
    if (sending->request.attempt == 0)
        ++m_underWay;
    ++sending->request.attempt;
    sending->request.deadline = m_loop.now() + m_settings.deadline;
    sending->record.deadline = sending->request.deadline;
    const size_t daemon = chooseDaemon(*session, sending->request.attempt > 1);
    const Instant sentAt = m_loop.now();
    std::weak_ptr<int> alive = m_alive;
    auto isOver = std::make_shared<bool>(false);
    auto end = [this, alive, isOver, session, sending, finished](std::optional<StatementAnswer> answer) {
        if (alive.expired() || *isOver)
            return;
        *isOver = true;
        sending->record.answer = std::move(answer);
        sending->record.answeredAt = m_loop.now();
        answered(session, sending, finished);
    };
    m_fleet.handle(daemon, sending->request, [end](StatementAnswer answer) { end(std::move(answer)); });
    m_loop.after(m_settings.deadline + deadlineGrace, [this, alive, isOver, end, daemon, sentAt] {
        if (alive.expired() || *isOver)
            return;
        m_history.unanswered += wasStoppedSince(daemon, sentAt) ? 0 : 1;
        end(std::nullopt);
    });
}

void CallerLoad::answered(const SessionPointer& session, const std::shared_ptr<Sending>& sending, const Finished& finished)
{
    const CallerRequest& record = sending->record;
    const bool isUnknown = !record.answer || record.answer->outcome() == Outcome::Unknown;
    const bool isAskedAgain = record.operation == CallerOperation::Write || record.operation == CallerOperation::Commit;
    if (isUnknown && isAskedAgain && sending->request.attempt < m_settings.mostAttempts) {
        std::weak_ptr<int> alive = m_alive;
        m_loop.after(pauseBeforeAgain, [this, alive, session, sending, finished] {
            if (!alive.expired())
                send(session, sending, finished);
        });
        return;
    }
    --m_underWay;
    if (record.answer && !record.answer->token.empty())
        session->token = record.answer->token;
    m_history.requests.push_back(record);
    finished(record);
}

}
