#pragma once

#include "failover/GroupFailover.h"

#include <memory>

namespace parsleypaddle {

/// Writes the row with which an era begins, on a daemon that holds a row of the lease table. One of these daemons succeeds.
class EraRowWriter {
public:
    explicit EraRowWriter(const FailoverContext&);

    /// To be called regularly while the present era has no row.
    void tick();

private:
    void write(Instant beganAt);

    const FailoverContext& m_context;
    /// The era that the next attempt is for.
    PlatformEra m_era;
    Instant m_nextAttempt;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
