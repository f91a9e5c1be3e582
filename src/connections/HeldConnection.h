#pragma once

#include "connections/PoolCore.h"

namespace parsleypaddle {

/// A connection of a pool while a caller holds it.
class HeldConnection final : public PooledConnection {
public:
    HeldConnection(std::shared_ptr<PoolCore>, PoolCore::Entry);
    ~HeldConnection() override;

    HeldConnection(const HeldConnection&) = delete;
    HeldConnection& operator=(const HeldConnection&) = delete;

    void run(const TargetBatch&, Milliseconds timeout, TargetConnection::Done) override;
    const TargetSession& session() const override { return m_entry.connection->session(); }
    uint64_t number() const override { return m_entry.number; }
    void discard() override { m_isReusable = false; }

private:
    /// Updates the state of the connection and the pool after a batch that was sent at `sentAt`.
    void recordResult(const absl::Status&, Instant sentAt);

    std::shared_ptr<PoolCore> m_core;
    PoolCore::Entry m_entry;
    bool m_isRunning { false };
    bool m_isReusable { true };
};

}
