#include "failover/TargetProbe.h"

#include "base/ResultCode.h"

#include <memory>

namespace parsleypaddle {

namespace {

    /// Applies to the opening of the connection and to the request on it, separately. Opening takes about 15 ms and the status
    /// request 5 ms more, under load several times as long.
    constexpr Milliseconds probeTimeout { 350 };

    /// A refused connection fails after one round trip, a few milliseconds.
    constexpr Milliseconds maxRefusalTime { 100 };

    using ReplyHandler = std::function<void(const absl::StatusOr<TargetReply>&)>;

    void runOnNewConnection(TargetConnector& connector, const TargetConfiguration& target, RelayStep step, ReplyHandler onReply)
    {
        connector.connect(target, OrganisationId(), probeTimeout, [step = std::move(step), onReply = std::move(onReply)](absl::StatusOr<std::unique_ptr<TargetConnection>> opened) {
            if (!opened.ok())
                return onReply(opened.status());
            std::shared_ptr<TargetConnection> connection = *std::move(opened);
            TargetBatch batch;
            batch.operation = TargetOperation::Relay;
            batch.steps.push_back(step);
            connection->run(batch, probeTimeout, [connection, onReply](const absl::StatusOr<TargetReply>& reply) { onReply(reply); });
        });
    }

}

void probeTarget(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, std::function<void(ProbeResult)> done)
{
    RelayStep step;
    step.kind = RelayKind::Status;
    const Instant startedAt = loop.now();
    runOnNewConnection(connector, target, std::move(step), [&loop, startedAt, done = std::move(done)](const absl::StatusOr<TargetReply>& reply) {
        ProbeResult result;
        const ResultCode code = resultCodeOf(reply.status());
        result.hasAnswered = reply.ok() || code == ResultCode::Overloaded || code == ResultCode::AnswersOutOfStep;
        result.failedAtOnce = !result.hasAnswered && loop.now() - startedAt < maxRefusalTime;
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
    runOnNewConnection(connector, target, std::move(step), [](const absl::StatusOr<TargetReply>&) {});
}

}
