#pragma once

#include "directory/RowWatch.h"
#include "failover/PrimaryKeeper.h"
#include "platform_ports/FakeRows.h"
#include "relay/RelayScene.h"

#include <memory>
#include <vector>

namespace parsleypaddle {

/// What the platform was told to do.
struct OrderedPromotion {
    TargetId target;
    InstanceId holder;
    RowVersion fence;
    Instant at;
};

/// The platform's promotions for tests: they take effect after a while.
class ScenePromotions final : public PromotionPort {
public:
    ScenePromotions(EventLoop& loop, SceneTargets& targets)
        : m_loop(loop)
        , m_targets(targets)
    {
    }

    void promote(const GroupId&, const TargetId&, const InstanceId& holder, RowVersion fence, Done) override;

    bool losesAnswers { false };
    /// Orders are accepted, and nothing comes of them.
    bool hasNoEffect { false };
    std::vector<OrderedPromotion> ordered;
    /// The term that leads, and since when.
    Term leading { 1 };
    Instant leadingSince;

private:
    EventLoop& m_loop;
    SceneTargets& m_targets;
};

/// One daemon of the scene, with all that decides about primaries.
class SceneDaemon {
public:
    SceneDaemon(EventLoop&, FakeTables&, PromotionPort&, SceneTargets&, const std::string& name, const std::string& incarnation);

    FakeRows rows;
    std::vector<std::string> logLines;
    DecisionLog log;
    Metrics metrics { MetricsLimits {} };
    Membership membership;
    InstanceLease lease;
    LeaseBoard board;
    PrimaryKeeper failover;
    Relay relay;
    RowWatch control;
};

/// Daemons before one group of three targets ("one" its primary), on virtual time.
class FailoverScene {
public:
    explicit FailoverScene(size_t daemons);
    ~FailoverScene();

    void run(double milliseconds);
    /// Ends the process of a daemon without a word, and starts another one in its place after `pause`.
    /// It hears the platform's list `listDelay` after its start.
    void restart(size_t daemon, double pause, double listDelay = 0);
    void setLeaving(const std::string& target);
    /// Adds or removes a target in the platform's list.
    void setListed(const std::string& target, bool isListed);
    /// Runs a write at a daemon and gives its error, None when it was acknowledged.
    RelayError write(size_t daemon);
    size_t openOn(const std::string& target);
    /// Suspicions that the daemons have written so far, by their logs.
    size_t suspicionsWritten() const;

    VirtualLoop loop;
    FakeTables tables { loop };
    SceneTargets targets { loop };
    ScenePromotions promotions { loop, targets };
    std::vector<std::unique_ptr<SceneDaemon>> daemons;
    /// Daemons whose processes have ended; what they have under way still refers to them.
    std::vector<std::unique_ptr<SceneDaemon>> ended;
    /// Writes acknowledged by a target that no longer led when it ran them.
    uint32_t staleWrites { 0 };

private:
    void start(size_t daemon, double listDelay = 0);
    void spreadEntries();
    void replicate();

    std::vector<TargetEntry> m_entries;
    uint32_t m_incarnations { 0 };
};

}
