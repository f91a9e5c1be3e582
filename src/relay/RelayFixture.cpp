#include "relay/RelayFixture.h"

#include "base/ResultCode.h"

namespace parsleypaddle {

/// A connection to a simulated target, with its session.
class SimulatedConnection final : public TargetConnection {
public:
    SimulatedConnection(SimulatedTargets& targets, TargetId id, OrganisationId organisation)
        : m_targets(targets)
        , m_id(std::move(id))
        , m_organisation(std::move(organisation))
        , m_number(++targets.m_lastConnection)
        , m_areTargetsAlive(targets.m_alive)
    {
        auto& target = m_targets[m_id];
        target.peakConnections = std::max(target.peakConnections, ++target.connections);
        target.openConnections.insert(m_number);
    }

    ~SimulatedConnection() override
    {
        if (m_areTargetsAlive.expired())
            return;
        --m_targets[m_id].connections;
        m_targets[m_id].openConnections.erase(m_number);
    }

    void run(const TargetBatch& batch, Milliseconds timeout, Done done) override
    {
        auto& target = m_targets[m_id];
        std::weak_ptr<bool> alive = m_alive;
        if (target.closedBeforeSending > 0) {
            --target.closedBeforeSending;
            return done(makeError(ResultCode::ConnectionClosed, "closed"));
        }
        if (target.isSilent) {
            m_targets.m_loop.after(timeout, [alive, done] {
                if (!alive.expired())
                    done(makeError(ResultCode::TargetSilent, "silent"));
            });
            return;
        }
        target.peakRunning = std::max(target.peakRunning, ++target.running);
        m_targets.m_loop.after(target.delay, [this, &target, alive, steps = batch.steps, timeout, done] {
            --target.running;
            if (!alive.expired())
                answer(steps, timeout, done);
        });
    }

private:
    void answer(const std::vector<RelayStep>& steps, Milliseconds timeout, const Done& done)
    {
        auto& target = m_targets[m_id];
        if (target.isDown)
            return done(makeError(ResultCode::ConnectionLost, "down"));
        if (target.forgetfulConnections.erase(m_number) > 0)
            m_prepared.clear();
        TargetReply reply;
        for (const auto& it : steps)
            reply.answers.push_back(run(it, target));
        if (std::exchange(m_isUnacknowledged, false)) {
            m_targets.m_loop.after(timeout, [alive = std::weak_ptr<bool>(m_alive), done] {
                if (!alive.expired())
                    done(makeError(ResultCode::TargetSilent, "the commit is not acknowledged"));
            });
            return;
        }
        if (std::exchange(target.losesNextAnswer, false))
            return done(makeError(ResultCode::ConnectionLost, "lost"));
        if (std::exchange(target.isNextOutOfStep, false))
            return done(makeError(ResultCode::AnswersOutOfStep, "out of step"));
        done(std::move(reply));
    }

    RelayAnswer run(const RelayStep& step, SimulatedTargets::Target& target)
    {
        RelayAnswer answer;
        answer.signature = "signed-by-" + m_id.value();
        answer.error = errorOf(step, target);
        if (answer.error == RelayError::None)
            apply(step, target, answer);
        else if (m_state == TransactionState::Open && answer.error != RelayError::Busy)
            m_state = TransactionState::Failed;
        answer.state = m_state;
        answer.mark = LogMark { target.term, target.applied };
        return answer;
    }

    static bool isWriteDefinition(const std::string& definition) { return definition.substr(0, 5) == "WRITE"; }

    static bool changesSession(RelayKind kind)
    {
        return kind == RelayKind::SetValue || kind == RelayKind::Prepare || kind == RelayKind::Deallocate || kind == RelayKind::Reset;
    }

    RelayError errorOf(const RelayStep& step, SimulatedTargets::Target& target) const
    {
        if (m_state == TransactionState::Failed && step.kind != RelayKind::Rollback)
            return RelayError::Malformed;
        if (changesSession(step.kind) && target.refusedSessionChanges > 0) {
            --target.refusedSessionChanges;
            return RelayError::Busy;
        }
        const bool isOfPrepared = step.kind == RelayKind::Execute || step.kind == RelayKind::Deallocate;
        if (isOfPrepared && m_prepared.count(step.name) == 0)
            return RelayError::UnknownStatement;
        const bool opensForWrites = step.kind == RelayKind::Begin;
        const bool isWrite = step.kind == RelayKind::Write || (step.kind == RelayKind::Execute && isWriteDefinition(m_prepared.at(step.name)));
        const bool isStatement = step.kind == RelayKind::Read || step.kind == RelayKind::Write || step.kind == RelayKind::Execute || step.kind == RelayKind::Commit;
        if (!target.isPrimary && (opensForWrites || isWrite))
            return RelayError::ReadOnly;
        if (step.requiredMark && LogMark { target.term, target.applied } < *step.requiredMark)
            return RelayError::Lagging;
        if (isStatement && target.isBusy)
            return RelayError::Busy;
        return isStatement && target.fails ? RelayError::Failed : RelayError::None;
    }

    void apply(const RelayStep& step, SimulatedTargets::Target& target, RelayAnswer& answer)
    {
        switch (step.kind) {
        case RelayKind::Begin:
        case RelayKind::BeginRead:
            m_state = TransactionState::Open;
            return;
        case RelayKind::Rollback:
            m_state = TransactionState::Idle;
            m_hasWritten = false;
            return;
        case RelayKind::SetValue:
            m_values[step.name] = step.argument;
            return;
        case RelayKind::Reset:
            m_values.clear();
            m_prepared.clear();
            return;
        case RelayKind::Prepare:
            m_prepared[step.name] = step.argument;
            target.mostPreparedStatements = std::max(target.mostPreparedStatements, m_prepared.size());
            return;
        case RelayKind::Deallocate:
            m_prepared.erase(step.name);
            return;
        case RelayKind::Status:
            answer.report = RoleReport { target.isPrimary, target.term, LogMark { target.term, target.received } };
            return;
        case RelayKind::Demote:
            target.isPrimary = target.isPrimary && !(target.term < step.term);
            return;
        default:
            break;
        }
        const bool isExecute = step.kind == RelayKind::Execute;
        const std::string definition = isExecute ? m_prepared.at(step.name) : "";
        const RecordedStatement statement { isExecute ? "EXECUTE " + step.name : step.text, step.id, m_id, m_number, m_state == TransactionState::Open, m_values, definition, step.requiredMark, step.forwardedFor, m_organisation };
        m_targets.executed.push_back(statement);
        answer.rows = { "row" };
        m_hasWritten = m_hasWritten || step.kind == RelayKind::Write || isWriteDefinition(definition);
        const bool commits = step.kind == RelayKind::Commit || m_state == TransactionState::Idle;
        if (step.kind == RelayKind::Commit)
            m_state = TransactionState::Idle;
        if (!commits || !std::exchange(m_hasWritten, false))
            return;
        target.applied = target.applied.next();
        target.received = target.applied;
        m_targets.committed.push_back(statement);
        m_isUnacknowledged = !m_targets.onCommitted(m_id);
    }

    SimulatedTargets& m_targets;
    TargetId m_id;
    OrganisationId m_organisation;
    uint64_t m_number;
    std::weak_ptr<bool> m_areTargetsAlive;
    TransactionState m_state { TransactionState::Idle };
    bool m_hasWritten { false };
    bool m_isUnacknowledged { false };
    std::map<std::string, std::string> m_values;
    /// Definitions of the prepared statements, by name.
    std::map<std::string, std::string> m_prepared;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

SimulatedTargets::SimulatedTargets(EventLoop& loop)
    : m_loop(loop)
{
}

void SimulatedTargets::connect(const TargetConfiguration& target, const OrganisationId& organisation, Milliseconds timeout, Done done)
{
    ++connectionAttempts;
    const Target& known = m_targets[target.id];
    m_loop.after(known.isSilent ? timeout : known.delay, [this, id = target.id, organisation, done = std::move(done)] {
        const Target& present = m_targets[id];
        if (present.isDown || present.isSilent)
            return done(makeError(ResultCode::TargetUnreachable, "no answer"));
        done(std::make_unique<SimulatedConnection>(*this, id, organisation));
    });
}

TestCaller::TestCaller(Relay& relay, const std::string& database, const std::string& name, CallerKind kind)
    : m_session(CallerSession::create(relay, DatabaseId(database), CallerKey(name), kind, *this))
{
}

TestCaller::~TestCaller()
{
    disconnect();
}

void TestCaller::send(RelayKind kind, const std::string& text, const std::string& name, const std::string& argument)
{
    RelayStep step;
    step.kind = kind;
    step.id = StatementId("s" + std::to_string(++m_lastStatement));
    step.text = text;
    step.name = name;
    step.argument = argument;
    step.isWrite = argument.substr(0, 5) == "WRITE";
    m_session->runOrQueue(std::move(step));
}

void TestCaller::sendFor(const ForwardedFor& forwardedFor, RelayKind kind, const std::string& text)
{
    RelayStep step;
    step.kind = kind;
    step.id = StatementId("s" + std::to_string(++m_lastStatement));
    step.text = text;
    step.forwardedFor = forwardedFor;
    m_session->runOrQueue(std::move(step));
}

void TestCaller::closeIfAnswered()
{
    isReceiving = false;
    isClosed = isClosed || !m_session->hasUnansweredStatement();
}

void TestCaller::disconnect()
{
    if (auto session = std::exchange(m_session, nullptr))
        session->detach();
}

RelayFixture::RelayFixture(const std::string& self)
    : membership(loop, { InstanceId(self), FailureDomainId("domain-one"), self, 1, 0, false })
    , relay(loop, targets, *this, *this, log, metrics, membership)
{
    auto table = std::make_shared<RouteTable>();
    table->version = ConfigurationVersion(1);
    table->transactionIdleTimeout = Milliseconds(3000);
    table->groups[GroupId("group")].connections = 10;
    const std::vector<std::pair<std::string, ReadConsistency>> routes { { "orders", ReadConsistency::Primary }, { "prices", ReadConsistency::BoundedStaleness }, { "proofs", ReadConsistency::ReadYourWrites } };
    for (const auto& [name, rule] : routes) {
        Route route;
        route.database = DatabaseId(name);
        route.group = GroupId("group");
        route.readConsistency = rule;
        route.greatestAge = Milliseconds(1500);
        route.statementTimeout = Milliseconds(1000);
        route.latencyObjective = Milliseconds(200);
        table->routes[route.database] = std::make_shared<const Route>(route);
    }
    relay.setRoutes(std::move(table));
    for (const std::string name : { "one", "two", "three" }) {
        TargetEntry entry;
        entry.target = { TargetId(name), { name, 1 }, FailureDomainId("domain-" + name), GroupId("group"), false };
        m_entries.push_back(entry);
    }
    targets[TargetId("one")].isPrimary = true;
    relay.setTargets(m_entries);
    setPrimary("one", 1);
}

void RelayFixture::setOrganisations(uint64_t version, const std::vector<OrganisationEntry>& entries)
{
    auto table = std::make_shared<RouteTable>(*relay.routes());
    table->version = ConfigurationVersion(version);
    table->organisations = *OrganisationDirectory::create(entries);
    for (auto& [database, route] : table->routes) {
        auto changed = std::make_shared<Route>(*route);
        changed->isPublic = database == m_publicDatabase;
        route = std::move(changed);
    }
    relay.setRoutes(std::move(table));
}

void RelayFixture::setPrimary(const std::string& target, uint64_t term, bool isOpen)
{
    relay.setPrimary(GroupId("group"), { TargetId(target), Term(term), isOpen });
}

void RelayFixture::setLeaving(const std::string& target)
{
    for (auto& it : m_entries)
        it.isLeaving = it.isLeaving || it.target.id == TargetId(target);
    relay.setTargets(m_entries);
}

std::vector<RecordedStatement> RelayFixture::ran(const std::string& text) const
{
    std::vector<RecordedStatement> found;
    for (const auto& it : targets.executed) {
        if (it.text == text)
            found.push_back(it);
    }
    return found;
}

}
