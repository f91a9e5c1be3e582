#pragma once

#include "base/BrokenRules.h"
#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "entry/GroupViews.h"
#include "homes/HomeCall.h"
#include "membership/Membership.h"
#include "routing/ReadRouter.h"
#include "scheduling/RetryBudget.h"
#include "sessions/TokenSigner.h"

#include <memory>
#include <random>

namespace parsleypaddle {

/// Times and limits for a daemon that executes callers' requests.
struct EntrySettings {
    /// The deadline of a call to a home lies this much before the caller's deadline, so that the answer still reaches the
    /// caller in time.
    Milliseconds returnMargin { 20 };
    /// Delay before the first retry, and the upper limit to which the delay grows with each further retry.
    Milliseconds initialRetryDelay { 5 };
    Milliseconds maximumRetryDelay { 100 };
    /// Writes with older request ids are rejected. Must not exceed the time for which ledgers keep entries.
    Milliseconds requestLifetime { 24 * 3600 * 1000.0 };
    /// How far the timestamp in a write's request id may lie ahead of this daemon's clock.
    Milliseconds clockTolerance { 60'000 };
    /// Share of a write's time that is reserved for settling it when its outcome is uncertain.
    double settlementShare { 0.3 };
    BrokenRules brokenRules;
};

/// A decision made while executing a request, recorded so that operators can trace the request later.
struct EntryDecision {
    RequestId request;
    DatabaseId database;
    std::string action;
    std::string reason;
    /// Whether another attempt follows.
    bool isRetry { false };
};

/// Services and state that all request executions of a daemon share.
struct EntryContext {
    EventLoop& loop;
    const Membership& membership;
    HomeClient& homes;
    const TokenSigner& sealer;
    EntrySettings settings;
    std::shared_ptr<const Configuration> configuration;
    GroupViews views;
    std::unique_ptr<ReadRouter> router;
    RetryBudget retryBudget;
    std::mt19937_64 random;
    std::function<void(const EntryDecision&)> onDecision;
};

}
