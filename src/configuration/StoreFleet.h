#pragma once

#include "base/ResultCode.h"
#include "base/VirtualLoop.h"
#include "configuration/ConfigurationStore.h"
#include "platform_ports/FakePlatform.h"

#include <map>

namespace parsleypaddle {

/// Test fixture: a fleet of configuration stores on virtual time, connected by a network that tests can partition.
class StoreFleet {
public:
    /// Traffic between the stores; byte counts cover the encoded digests and bodies without message framing.
    struct Traffic {
        uint64_t exchanges { 0 };
        uint64_t digestBytes { 0 };
        uint64_t bodies { 0 };
        uint64_t bodyBytes { 0 };
    };

    explicit StoreFleet(uint64_t seed, const ConfigurationStoreSettings& settings = {})
        : platform(loop, {})
        , m_seed(seed)
        , m_settings(settings)
    {
    }

    void add(size_t count)
    {
        for (size_t n = 0; n < count; ++n) {
            auto node = std::make_unique<Node>(*this);
            const size_t number = nodes.size();
            ConfigurationStoreSettings settings = m_settings;
            settings.instance = idOf(number);
            settings.seed = m_seed * 1000 + number;
            node->number = number;
            node->client = platform.connect();
            node->store = std::make_unique<ConfigurationStore>(loop, *node->client, *node->client, *node, settings);
            node->store->start();
            nodes.push_back(std::move(node));
        }
    }

    ConfigurationStore& store(size_t number) { return *nodes[number]->store; }

    ConfigurationVersion version(size_t number) { return store(number).current()->version; }

    /// The number of stores with that version in force.
    size_t countWithVersion(ConfigurationVersion version)
    {
        size_t count = 0;
        for (size_t n = 0; n < nodes.size(); ++n)
            count += this->version(n) == version ? 1 : 0;
        return count;
    }

    bool isInForceEverywhere(ConfigurationVersion version) { return countWithVersion(version) == nodes.size(); }

    /// Moves a node to a network partition; calls between nodes of different partitions time out.
    void setPartition(size_t number, int partition) { nodes[number]->partition = partition; }

    static InstanceId idOf(size_t number) { return InstanceId("instance-" + std::to_string(number)); }

    struct Node final : ConfigurationPeers {
        explicit Node(StoreFleet& owner)
            : fleet(owner)
        {
        }

        InstanceId pick(uint64_t random) const override
        {
            const size_t others = fleet.nodes.size() - 1;
            return others == 0 ? InstanceId() : idOf((number + 1 + random % others) % fleet.nodes.size());
        }

        void exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone done) override
        {
            ++fleet.traffic.exchanges;
            fleet.traffic.digestBytes += sizeOf(own);
            fleet.call<ConfigurationDigest>(*this, peer, std::move(done), [this, own](ConfigurationStore& store) -> absl::StatusOr<ConfigurationDigest> {
                const auto answer = store.handleExchange(idOf(number), own);
                fleet.traffic.digestBytes += sizeOf(answer);
                return answer;
            });
        }

        void fetch(const InstanceId& peer, ConfigurationVersion version, BodyDone done) override
        {
            fleet.call<std::string>(*this, peer, std::move(done), [this, version](ConfigurationStore& store) {
                auto body = store.handleFetch(version);
                ++fleet.traffic.bodies;
                fleet.traffic.bodyBytes += body.ok() ? body->size() : 0;
                return body;
            });
        }

        static size_t sizeOf(const ConfigurationDigest& digest) { return encodeRoot({ digest, "" }).size(); }

        StoreFleet& fleet;
        size_t number { 0 };
        int partition { 0 };
        std::unique_ptr<FakePlatform::Client> client;
        std::unique_ptr<ConfigurationStore> store;
    };

    VirtualLoop loop;
    FakePlatform platform;
    Traffic traffic;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    Node* find(const InstanceId& instance)
    {
        for (const auto& it : nodes) {
            if (it->store->instance() == instance)
                return it.get();
        }
        return nullptr;
    }

    template <typename T>
    void call(Node& from, const InstanceId& peer, std::function<void(absl::StatusOr<T>)> done, std::function<absl::StatusOr<T>(ConfigurationStore&)> serve)
    {
        const Milliseconds oneWay(1.5);
        const Milliseconds timeout(500);
        Node* to = find(peer);
        if (!to || to->partition != from.partition) {
            loop.after(timeout, [done] { done(makeError(ResultCode::PeerSilent, "the peer is in another network partition")); });
            return;
        }
        loop.after(oneWay, [this, to, done, serve, oneWay] {
            auto answer = serve(*to->store);
            loop.after(oneWay, [done, answer] { done(answer); });
        });
    }

    uint64_t m_seed;
    ConfigurationStoreSettings m_settings;
};

}
