#include "operations/ControlPeers.h"

#include "base/ResultCode.h"
#include "control/ControlClient.h"
#include "operations/GossipJson.h"

#include <algorithm>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

namespace {

    absl::StatusOr<Json::Value> valueOf(const ControlResult& result)
    {
        if (!result.isOk) {
            const bool isKnown = result.code > 0 && isResultCode(static_cast<uint64_t>(result.code));
            return makeError(isKnown ? static_cast<ResultCode>(result.code) : ResultCode::PeerSilent, result.error);
        }
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        Json::Value value;
        std::string faults;
        if (!reader->parse(result.body.data(), result.body.data() + result.body.size(), &value, &faults) || !value.isObject())
            return makeError(ResultCode::MalformedInput, "a peer's answer is no JSON object: " + faults);
        return value;
    }

    std::string textOf(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

}

ControlPeers::ControlPeers(WorkerPool& workers, ControlPeersSettings settings, Instances instances)
    : m_workers(workers)
    , m_settings(std::move(settings))
    , m_instances(std::move(instances))
{
}

InstanceId ControlPeers::pick(uint64_t random) const
{
    auto others = m_instances();
    const auto isSelf = [this](const InstanceEntry& it) { return it.instance == m_settings.self; };
    others.erase(std::remove_if(others.begin(), others.end(), isSelf), others.end());
    return others.empty() ? InstanceId() : others[random % others.size()].instance;
}

void ControlPeers::call(const InstanceId& peer, const std::string& method, const Json::Value& parameters, Milliseconds timeout, Answered done)
{
    const auto instances = m_instances();
    const auto it = std::find_if(instances.begin(), instances.end(), [&peer](const InstanceEntry& entry) { return entry.instance == peer; });
    if (it == instances.end()) {
        done(makeError(ResultCode::PeerUnreachable, "no daemon " + peer.value()));
        return;
    }
    const ControlAddress address { it->host, it->controlPort };
    const bool isTaken = m_workers.submit([address, method, timeout, done, key = m_settings.key, text = textOf(parameters)]() -> std::function<void()> {
        auto result = valueOf(ControlClient::call(address, key, method, text, timeout.count()));
        return [done, result = std::move(result)] { done(result); };
    });
    if (!isTaken)
        done(makeError(ResultCode::Overloaded, "too many calls to peers wait already"));
}

void ControlPeers::exchange(const InstanceId& peer, const ConfigurationDigest& own, DigestDone done)
{
    Json::Value parameters = digestToJson(own);
    parameters["from"] = m_settings.self.value();
    call(peer, "gossip.exchange", parameters, m_settings.exchangeTimeout, [done = std::move(done)](const absl::StatusOr<Json::Value>& value) {
        done(value.ok() ? digestFromJson(*value) : value.status());
    });
}

void ControlPeers::fetch(const InstanceId& peer, ConfigurationVersion version, BodyDone done)
{
    Json::Value parameters;
    parameters["version"] = Json::UInt64(version.value());
    call(peer, "gossip.fetch", parameters, m_settings.fetchTimeout, [done = std::move(done)](const absl::StatusOr<Json::Value>& value) {
        if (!value.ok())
            done(value.status());
        else if (!(*value)["body"].isString())
            done(makeError(ResultCode::WrongType, "a peer gave no body"));
        else
            done((*value)["body"].asString());
    });
}

}
