#include "daemon/ControlPeers.h"

#include "base/ResultCode.h"
#include "control/ControlClient.h"
#include "operations/GossipJson.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    constexpr double callTimeoutMilliseconds = 1000;

    absl::StatusOr<Json::Value> parse(const ControlResult& result)
    {
        if (result.isOk)
            return parseJsonObject(result.body);
        const bool isKnown = isResultCode(static_cast<uint64_t>(result.code));
        return makeError(isKnown ? static_cast<ResultCode>(result.code) : ResultCode::PeerSilent, result.error);
    }

}

ControlPeers::ControlPeers(const Membership& membership, WorkerPool& workers, std::string key)
    : m_membership(membership)
    , m_workers(workers)
    , m_key(std::move(key))
{
}

InstanceId ControlPeers::pick(uint64_t random) const
{
    std::vector<InstanceId> others;
    for (const auto& it : m_membership.instances()) {
        if (it.instance != m_membership.self().instance)
            others.push_back(it.instance);
    }
    return others.empty() ? InstanceId() : others[random % others.size()];
}

void ControlPeers::exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone done)
{
    Json::Value parameters = digestToJson(own);
    parameters["from"] = m_membership.self().instance.value();
    call(peer, "gossip.exchange", parameters, [done = std::move(done)](const absl::StatusOr<Json::Value>& result) {
        if (result.ok())
            done(digestFromJson(*result));
        else
            done(result.status());
    });
}

void ControlPeers::fetch(const InstanceId& peer, ConfigurationVersion version, BodyDone done)
{
    Json::Value parameters;
    parameters["version"] = Json::UInt64(version.value());
    call(peer, "gossip.fetch", parameters, [done = std::move(done)](const absl::StatusOr<Json::Value>& result) {
        if (!result.ok())
            done(result.status());
        else if (!(*result)["body"].isString())
            done(makeError(ResultCode::WrongType, "the peer's answer holds no body"));
        else
            done((*result)["body"].asString());
    });
}

void ControlPeers::call(const InstanceId& peer, const std::string& method, const Json::Value& parameters, const Called& called)
{
    const InstanceEntry* entry = m_membership.find(peer);
    if (!entry)
        return called(makeError(ResultCode::PeerUnreachable, "the peer is not a member any more"));
    const ControlAddress address { entry->host, entry->controlPort };
    const bool isTaken = m_workers.submit([address, key = m_key, method, text = writeJson(parameters), called]() -> std::function<void()> {
        auto result = parse(ControlClient::call(address, key, method, text, callTimeoutMilliseconds));
        return [called, result = std::move(result)] { called(result); };
    });
    if (!isTaken)
        called(makeError(ResultCode::PeerUnreachable, "too many control calls are under way"));
}

}
