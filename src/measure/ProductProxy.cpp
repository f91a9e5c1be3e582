#include "fleet/FakeFleet.h"
#include "measure/Proxy.h"

namespace parsleypaddle {

namespace {

    class ProductProxy final : public Proxy {
    public:
        ProductProxy(VirtualLoop& loop, FakeTargets& targets, const FakeFleetSettings& settings, const Deployment& deployment)
            : m_fleet(loop, targets, settings, deployment.configuration)
            , m_deployment(deployment)
        {
        }

        void handle(size_t daemon, const StatementRequest& request, Done done) override { m_fleet.handle(daemon, request, std::move(done)); }
        void kill(size_t daemon) override { m_fleet.kill(daemon); }
        bool isDead(size_t daemon) const override { return m_fleet.isDead(daemon); }
        void setCut(const FailureDomainId& domain, bool isCut) override
        {
            for (const auto& it : m_deployment.domains) {
                if (it != domain)
                    m_fleet.setCut(domain, it, isCut);
            }
        }
        void publishList(const std::vector<TargetId>& leavingTargets) override { m_fleet.publishList(leavingTargets); }

    private:
        FakeFleet m_fleet;
        const Deployment& m_deployment;
    };

}

std::unique_ptr<Proxy> createProduct(VirtualLoop& loop, FakeTargets& targets, const Deployment& deployment, const BrokenRules& brokenRules, uint64_t seed)
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

}
