#include "measure/Proxy.h"

namespace parsleypaddle {

namespace {

    class ProductProxy final : public Proxy {
    public:
        ProductProxy(EventLoop& loop, FakeTargets& targets, const FakeFleetSettings& settings, const Deployment& deployment)
            : m_fleet(loop, targets, settings, deployment.configuration)
            , m_domains(deployment.domains)
        {
        }

        void handle(size_t daemon, const StatementRequest& request, Entry::Done done) override { m_fleet.handle(daemon, request, std::move(done)); }
        void kill(size_t daemon) override { m_fleet.kill(daemon); }
        bool isDead(size_t daemon) const override { return m_fleet.isDead(daemon); }
        void publishList(const std::vector<TargetId>& leavingTargets) override { m_fleet.publishList(leavingTargets); }

        void setCut(const FailureDomainId& domain, bool isCut) override
        {
            for (const auto& it : m_domains) {
                if (it != domain)
                    m_fleet.setCut(domain, it, isCut);
            }
        }

    private:
        FakeFleet m_fleet;
        std::vector<FailureDomainId> m_domains;
    };

    class NaiveProxy final : public Proxy {
    public:
        NaiveProxy(EventLoop& loop, FakeTargets& targets, const Deployment& deployment)
            : m_fleet(loop, targets, *deployment.configuration, deployment.domains, deployment.daemonsPerDomain)
        {
        }

        void handle(size_t daemon, const StatementRequest& request, Entry::Done done) override { m_fleet.handle(daemon, request, done); }
        void kill(size_t daemon) override { m_fleet.kill(daemon); }
        bool isDead(size_t daemon) const override { return m_fleet.isDead(daemon); }
        void publishList(const std::vector<TargetId>&) override { }
        void setCut(const FailureDomainId&, bool) override { }

    private:
        NaiveFleet m_fleet;
    };

}

std::unique_ptr<Proxy> Proxy::createProduct(EventLoop& loop, FakeTargets& targets, const Deployment& deployment, const BrokenRules& brokenRules, uint64_t seed)
{
    FakeFleetSettings settings;
    settings.domains = deployment.domains;
    settings.daemonsPerDomain = deployment.daemonsPerDomain;
    settings.nearDelay = deployment.targets.nearDelay;
    settings.farDelay = deployment.domainDelay;
    settings.seed = seed;
    settings.node.breakRules(brokenRules);
    return std::make_unique<ProductProxy>(loop, targets, settings, deployment);
}

std::unique_ptr<Proxy> Proxy::createNaive(EventLoop& loop, FakeTargets& targets, const Deployment& deployment)
{
    return std::make_unique<NaiveProxy>(loop, targets, deployment);
}

}
