#include "standins/FakeTargets.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <cassert>
#include <deque>

namespace parsleypaddle {

/// One connection as both ends know it.
struct FakeTargets::Link {
    TargetId target;
    FailureDomainId domain;
    Milliseconds delay;
    ModelTransaction transaction;
    bool isClosed { false };
    bool isSilent { false };
    TargetConnection::Done done;
    TimerId timeout { TimerId::None };
};

struct FakeTargets::FakeTarget {
    struct WorkItem {
        std::shared_ptr<Link> link;
        TargetBatch batch;
    };

    TargetId id;
    FailureDomainId domain;
    GroupModel* model { nullptr };
    FakeTargetSettings settings;
    bool isDown { false };
    bool isFrozen { false };
    std::vector<std::shared_ptr<Link>> links;
    std::deque<WorkItem> waiting;
    uint32_t running { 0 };
    uint32_t mostLinks { 0 };
    std::optional<TargetOperation> answerToLose;
};

namespace {

    bool takesSlot(TargetOperation operation)
    {
        return operation != TargetOperation::Status && operation != TargetOperation::Fence && operation != TargetOperation::Promote;
    }

    Milliseconds runTimeOf(const TargetBatch& batch)
    {
        if (batch.statement.text.empty() || batch.operation == TargetOperation::Settle)
            return Milliseconds(0);
        auto statement = ModelStatement::parse(batch.statement);
        return statement.ok() ? statement->runTime() : Milliseconds(0);
    }

}

class FakeConnection final : public TargetConnection {
public:
    FakeConnection(FakeTargets& targets, std::shared_ptr<FakeTargets::Link> link)
        : m_targets(targets)
        , m_link(std::move(link))
    {
    }

    ~FakeConnection() override { m_targets.close(m_link); }

    void run(const TargetBatch& batch, Milliseconds timeout, Done done) override
    {
        assert(!m_link->done);
        m_link->done = std::move(done);
        auto link = m_link;
        m_link->timeout = m_targets.m_loop.after(timeout, [this, link] {
            link->timeout = TimerId::None;
            link->isSilent = true;
            m_targets.answer(link, makeError(ResultCode::TargetSilent, link->target.value() + " did not answer in time"));
        });
        m_targets.m_loop.after(m_link->delay, [targets = &m_targets, link, batch] { targets->arrive(link, batch); });
    }

private:
    FakeTargets& m_targets;
    std::shared_ptr<FakeTargets::Link> m_link;
};

class FakeConnector final : public TargetConnector {
public:
    FakeConnector(FakeTargets& targets, FailureDomainId domain)
        : m_targets(targets)
        , m_domain(std::move(domain))
    {
    }

    void connect(const TargetConfiguration& configuration, const OrganisationId&, Milliseconds timeout, Done done) override
    {
        auto& target = m_targets.find(configuration.id);
        auto link = std::make_shared<FakeTargets::Link>();
        link->target = target.id;
        link->domain = m_domain;
        link->delay = m_domain == target.domain ? target.settings.nearDelay : target.settings.farDelay;
        if (target.isFrozen || m_targets.isCut(*link)) {
            m_targets.m_loop.after(timeout, [done] { done(makeError(ResultCode::TargetUnreachable, "no answer to the connection attempt")); });
            return;
        }
        const Milliseconds openTime = std::min(target.settings.connectTime + link->delay * 2, timeout);
        m_targets.m_loop.after(openTime, [this, &target, link, done] { finish(target, link, done); });
    }

private:
    void finish(FakeTargets::FakeTarget& target, const std::shared_ptr<FakeTargets::Link>& link, const Done& done)
    {
        if (target.isDown || target.links.size() >= target.settings.connections) {
            done(makeError(ResultCode::TargetUnreachable, "the connection was refused"));
            return;
        }
        target.links.push_back(link);
        target.mostLinks = std::max(target.mostLinks, static_cast<uint32_t>(target.links.size()));
        done(std::unique_ptr<TargetConnection>(new FakeConnection(m_targets, link)));
    }

    FakeTargets& m_targets;
    FailureDomainId m_domain;
};

FakeTargets::FakeTargets(EventLoop& loop)
    : m_loop(loop)
{
}

FakeTargets::~FakeTargets() = default;

GroupModel& FakeTargets::addGroup(const GroupConfiguration& group, const FakeTargetSettings& settings)
{
    std::vector<TargetId> ids;
    for (const auto& it : group.targets)
        ids.push_back(it.id);
    auto& model = m_models[group.database];
    model = std::make_unique<GroupModel>(m_loop, group.database, ids);
    for (const auto& it : group.targets) {
        auto target = std::make_unique<FakeTarget>();
        target->id = it.id;
        target->domain = it.failureDomain;
        target->model = model.get();
        target->settings = settings;
        m_targets[it.id] = std::move(target);
    }
    return *model;
}

GroupModel& FakeTargets::model(const DatabaseId& database)
{
    return *m_models.at(database);
}

std::unique_ptr<TargetConnector> FakeTargets::connectorIn(const FailureDomainId& domain)
{
    return std::make_unique<FakeConnector>(*this, domain);
}

void FakeTargets::setDown(const TargetId& id, bool isDown)
{
    FakeTarget& target = find(id);
    target.isDown = isDown;
    target.model->setIsolated(id, isDown);
    if (!isDown)
        return;
    target.waiting.clear();
    const auto links = target.links;
    for (const auto& it : links)
        lose(it);
}

void FakeTargets::setFrozen(const TargetId& id, bool isFrozen)
{
    FakeTarget& target = find(id);
    target.isFrozen = isFrozen;
    target.model->setIsolated(id, isFrozen);
    if (!isFrozen)
        startNext(target);
}

void FakeTargets::setCut(const FailureDomainId& domain, const TargetId& id, bool isCut)
{
    if (isCut)
        m_cuts.emplace(domain, id);
    else
        m_cuts.erase({ domain, id });
}

void FakeTargets::silenceConnections(const TargetId& id)
{
    for (const auto& it : find(id).links)
        it->isSilent = true;
}

void FakeTargets::loseNextAnswer(const TargetId& id, TargetOperation operation)
{
    find(id).answerToLose = operation;
}

uint32_t FakeTargets::openConnections(const TargetId& id) const
{
    return static_cast<uint32_t>(find(id).links.size());
}

uint32_t FakeTargets::mostConnections(const TargetId& id) const
{
    return find(id).mostLinks;
}

FakeTargets::FakeTarget& FakeTargets::find(const TargetId& id)
{
    return *m_targets.at(id);
}

const FakeTargets::FakeTarget& FakeTargets::find(const TargetId& id) const
{
    return *m_targets.at(id);
}

bool FakeTargets::isCut(const Link& link) const
{
    return m_cuts.count({ link.domain, link.target }) > 0;
}

void FakeTargets::arrive(const std::shared_ptr<Link>& link, const TargetBatch& batch)
{
    FakeTarget& target = find(link->target);
    if (link->isSilent || isCut(*link) || (link->isClosed && !target.isFrozen))
        return;
    if (!takesSlot(batch.operation) && !target.isFrozen) {
        finish(target, link, batch);
        return;
    }
    target.waiting.push_back({ link, batch });
    startNext(target);
}

void FakeTargets::startNext(FakeTarget& target)
{
    while (!target.isFrozen && target.running < target.settings.slots && !target.waiting.empty()) {
        auto work = std::move(target.waiting.front());
        target.waiting.pop_front();
        ++target.running;
        m_loop.after(target.settings.serviceTime + runTimeOf(work.batch), [this, &target, work] {
            --target.running;
            // Work that a freeze caught in the middle ends after the thaw.
            if (target.isFrozen)
                target.waiting.push_front(work);
            else
                finish(target, work.link, work.batch);
            startNext(target);
        });
    }
}

void FakeTargets::finish(FakeTarget& target, const std::shared_ptr<Link>& link, const TargetBatch& batch)
{
    if (target.isDown)
        return;
    auto reply = target.model->execute(target.id, batch, link->transaction);
    if (target.answerToLose == batch.operation) {
        target.answerToLose.reset();
        lose(link);
        return;
    }
    m_loop.after(link->delay, [this, link, reply] {
        if (!link->isSilent && !isCut(*link))
            answer(link, reply);
    });
}

void FakeTargets::answer(const std::shared_ptr<Link>& link, absl::StatusOr<TargetReply> reply)
{
    if (link->isClosed || !link->done)
        return;
    m_loop.cancel(link->timeout);
    TargetConnection::Done done;
    std::swap(done, link->done);
    done(std::move(reply));
}

void FakeTargets::lose(const std::shared_ptr<Link>& link)
{
    auto& links = find(link->target).links;
    links.erase(std::remove(links.begin(), links.end(), link), links.end());
    link->isSilent = true;
    m_loop.after(link->delay, [this, link] {
        answer(link, makeError(ResultCode::ConnectionLost, "the connection to " + link->target.value() + " was lost"));
    });
}

void FakeTargets::close(const std::shared_ptr<Link>& link)
{
    link->isClosed = true;
    m_loop.cancel(link->timeout);
    auto& links = find(link->target).links;
    links.erase(std::remove(links.begin(), links.end(), link), links.end());
}

}
