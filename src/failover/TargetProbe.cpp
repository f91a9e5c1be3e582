#include "failover/TargetProbe.h"

#include "base/ResultCode.h"

#include <memory>

namespace parsleypaddle {

namespace {

    /// A connection takes some 15 ms to open and a status some 5 ms more, several times that under load.
    constexpr Milliseconds probeTimeout { 350 };

    /// A refusal takes one round trip, a few milliseconds.
    constexpr Milliseconds refusalTime { 100 };

    using Answered = std::function<void(const absl::StatusOr<TargetReply>&)>;

    void runAlone(TargetConnector& connector, const TargetConfiguration& target, RelayStep step, Answered answered)
    {
        connector.connect(target, probeTimeout, [step = std::move(step), answered = std::move(answered)](absl::StatusOr<std::unique_ptr<TargetConnection>> opened) {
            if (!opened.ok())
                return answered(opened.status());
            std::shared_ptr<TargetConnection> connection = *std::move(opened);
            TargetBatch batch;
            batch.operation = TargetOperation::Relay;
            batch.steps.push_back(step);
            connection->run(batch, probeTimeout, [connection, answered](const absl::StatusOr<TargetReply>& reply) { answered(reply); });
        });
    }

}

void probeTarget(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, std::function<void(ProbeResult)> done)
{
    RelayStep step;
    step.kind = RelayKind::Status;
    const Instant startedAt = loop.now();
    runAlone(connector, target, std::move(step), [&loop, startedAt, done = std::move(done)](const absl::StatusOr<TargetReply>& reply) {
        ProbeResult result;
        result.isAlive = reply.ok() || resultCodeOf(reply.status()) == ResultCode::Overloaded;
        result.isRefused = !result.isAlive && loop.now() - startedAt < refusalTime;
        if (reply.ok() && !reply->answers.empty())
            result.report = reply->answers.back().report;
        done(result);
    });
}

void demoteTarget(TargetConnector& connector, const TargetConfiguration& target, Term term)
{
    RelayStep step;
    step.kind = RelayKind::Demote;
    step.term = term;
    runAlone(connector, target, std::move(step), [](const absl::StatusOr<TargetReply>&) {});
}

}
