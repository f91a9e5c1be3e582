#include "connections/ConnectionPool.h"

#include "connections/PoolCore.h"

namespace parsleypaddle {

namespace {

    class Pool final : public ConnectionPool {
    public:
        explicit Pool(std::shared_ptr<PoolCore> core)
            : m_core(std::move(core))
        {
        }

        ~Pool() override { m_core->shutDown(); }

        Pool(const Pool&) = delete;
        Pool& operator=(const Pool&) = delete;

        void acquire(Instant deadline, const OrganisationId& organisation, AcquireCallback acquired) override { m_core->acquire(deadline, organisation, std::move(acquired)); }
        void setLimit(uint32_t limit) override { m_core->setLimit(limit); }
        bool isTargetSuspect() const override { return m_core->isTargetSuspect(); }
        uint32_t openConnections() const override { return m_core->openConnections(); }

    private:
        std::shared_ptr<PoolCore> m_core;
    };

}

std::unique_ptr<ConnectionPool> ConnectionPool::create(EventLoop& loop, TargetConnector& connector, const TargetConfiguration& target, const ConnectionPoolSettings& settings)
{
    return std::make_unique<Pool>(std::make_shared<PoolCore>(loop, connector, target, settings));
}

}
