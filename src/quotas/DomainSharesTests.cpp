#include "quotas/DomainShares.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>

using namespace parsleypaddle;

namespace {

const OrganisationId acme("acme");

struct Domains {
    explicit Domains(size_t count)
    {
        for (size_t n = 0; n < count; ++n)
            names.push_back(FailureDomainId("z" + std::to_string(n)));
        all.insert(names.begin(), names.end());
        for (const auto& it : names)
            shares.push_back(std::make_unique<DomainShares>(it, all, ++lastTerm));
    }

    void send(size_t from, size_t to) { shares[to]->apply(names[from], shares[from]->updateFor(names[to])); }

    /// Delivers all messages for some rounds.
    void exchange(int rounds = 4)
    {
        for (int n = 0; n < rounds; ++n) {
            for (size_t from = 0; from < names.size(); ++from) {
                for (size_t to = 0; to < names.size(); ++to) {
                    if (from != to)
                        send(from, to);
                }
            }
        }
    }

    double sum()
    {
        double sum = 0;
        for (auto& it : shares)
            sum += it->share(acme);
        return sum;
    }

    std::vector<FailureDomainId> names;
    std::set<FailureDomainId> all;
    std::vector<std::unique_ptr<DomainShares>> shares;
    uint64_t lastTerm { 0 };
};

}

TEST_CASE("a domain uses its small share until it has exchanged claims with all others, and an equal share without demand", "[quotas]")
{
    Domains domains(3);
    CHECK(domains.shares[0]->share(acme) == Approx(0.05 / 3));
    domains.exchange();
    CHECK(domains.shares[0]->share(acme) == Approx(1.0 / 3));
}

TEST_CASE("shares follow the demand of the domains, and those without demand keep a small share", "[quotas]")
{
    Domains domains(3);
    domains.exchange();
    domains.shares[0]->setOwn(acme, 30, 0);
    domains.shares[1]->setOwn(acme, 10, 0);
    domains.exchange();
    CHECK(domains.shares[0]->share(acme) == Approx(0.05 / 3 + 0.95 * 0.75));
    CHECK(domains.shares[1]->share(acme) == Approx(0.05 / 3 + 0.95 * 0.25));
    CHECK(domains.shares[2]->share(acme) == Approx(0.05 / 3));
}

// Guards against a limit that is used twice while a domain is cut off.
TEST_CASE("what a silent domain has claimed is not used until the domain is gone", "[quotas]")
{
    Domains domains(3);
    domains.exchange();
    domains.shares[2]->setOwn(acme, 10, 0);
    domains.exchange();
    const double before = domains.shares[2]->share(acme);
    domains.shares[0]->setOwn(acme, 1000, 0);
    for (int n = 0; n < 4; ++n) {
        domains.send(0, 1);
        domains.send(1, 0);
    }
    CHECK(domains.shares[0]->share(acme) + before <= 1);
    domains.shares[0]->setPresent({ domains.names[1] });
    CHECK(domains.shares[0]->share(acme) > 0.9);
}

// Guards against an increase that another domain learns only after it has raised its own part.
TEST_CASE("an amount that is still lent is claimed until it has been returned", "[quotas]")
{
    Domains domains(2);
    domains.exchange();
    domains.shares[0]->setOwn(acme, 10, 0);
    domains.exchange();
    domains.shares[0]->setOwn(acme, 0, 0.8);
    domains.shares[1]->setOwn(acme, 10, 0);
    domains.exchange();
    CHECK(domains.shares[1]->share(acme) <= 0.2 + 1e-9);
    domains.shares[0]->setOwn(acme, 0, 0);
    domains.exchange();
    CHECK(domains.shares[1]->share(acme) == Approx(0.975));
}

// Guards against shares that add up to more than the limit after lost, late and repeated messages and restarts.
TEST_CASE("in random histories the shares of all domains never add up to more than the limit", "[quotas]")
{
    const uint64_t seed = GENERATE(range<uint64_t>(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Domains domains(2 + seed % 5);
    const size_t count = domains.names.size();
    std::vector<std::tuple<size_t, size_t, ClaimUpdate>> late;
    for (int step = 0; step < 4000; ++step) {
        const size_t from = random() % count;
        const size_t to = random() % count;
        switch (random() % 8) {
        case 0:
            domains.shares[from]->setOwn(acme, static_cast<double>(random() % 3 == 0 ? 0 : random() % 100), domains.shares[from]->share(acme) * (random() % 2 == 0 ? 1 : 0.5));
            break;
        case 1:
            if (random() % 40 == 0)
                domains.shares[from] = std::make_unique<DomainShares>(domains.names[from], domains.all, ++domains.lastTerm);
            break;
        case 2:
            if (from != to)
                late.emplace_back(from, to, domains.shares[from]->updateFor(domains.names[to]));
            break;
        case 3:
            if (!late.empty()) {
                const auto& [sender, receiver, update] = late[random() % late.size()];
                domains.shares[receiver]->apply(domains.names[sender], update);
            }
            if (late.size() > 6)
                late.erase(late.begin());
            break;
        default:
            if (from != to)
                domains.send(from, to);
        }
        CHECK(domains.sum() <= 1 + 1e-9);
    }
}

// Guards against a new coordinator that has received a part of the claims and never gets the rest, so that it keeps its small share.
TEST_CASE("a new coordinator that missed claims gets them again", "[quotas]")
{
    Domains domains(2);
    for (int n = 0; n < 5; ++n)
        domains.shares[0]->setOwn(OrganisationId("o" + std::to_string(n)), 10 + n, 0);
    domains.exchange();
    domains.shares[1] = std::make_unique<DomainShares>(domains.names[1], domains.all, ++domains.lastTerm);
    ClaimUpdate part = domains.shares[0]->updateFor(domains.names[1]);
    part.from = 0;
    part.to = 1;
    domains.shares[1]->apply(domains.names[0], part);
    domains.exchange();
    domains.shares[1]->setOwn(acme, 10, 0);
    domains.exchange();
    CHECK(domains.shares[1]->share(acme) > 0.9);
}
