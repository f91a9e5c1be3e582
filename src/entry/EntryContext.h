#pragma once

#include "base/BrokenRules.h"
#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "entry/GroupViews.h"
#include "homes/HomeCall.h"
#include "membership/Membership.h"
#include "routing/ReadRouter.h"
#include "scheduling/RetryBudget.h"
#include "sessions/TokenSealer.h"

#include <memory>
#include <random>

namespace parsleypaddle {

/// Times and limits of an entry daemon.
struct EntrySettings {
    /// Time that a home leaves for its answer's way back before the caller's deadline.
    Milliseconds returnMargin { 20 };
    /// First and greatest pause before a request tries again.
    Milliseconds firstPause { 5 };
    Milliseconds longestPause { 100 };
    /// How long ledgers keep entries: older request ids are refused.
    Milliseconds requestLifetime { 24 * 3600 * 1000.0 };
    /// How far a request id may lie in the future.
    Milliseconds clockTolerance { 60'000 };
    /// Share of its time that an uncertain write leaves for settling.
    double settleShare { 0.3 };
    BrokenRules brokenRules;
};

/// A decision worth explaining later.
struct EntryDecision {
    RequestId request;
    DatabaseId database;
    std::string what;
    std::string why;
    /// A further attempt follows.
    bool isRetry { false };
};

/// What the runs of an entry daemon share.
struct EntryContext {
    EventLoop& loop;
    const Membership& membership;
    HomePort& homes;
    const TokenSealer& sealer;
    EntrySettings settings;
    std::shared_ptr<const Configuration> configuration;
    GroupViews views;
    std::unique_ptr<ReadRouter> router;
    RetryBudget retryBudget;
    std::mt19937_64 random;
    std::function<void(const EntryDecision&)> onDecision;
};

}
