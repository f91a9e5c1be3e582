#include "tool/FleetCaller.h"

#include <algorithm>
#include <future>
#include <json/reader.h>
#include <json/writer.h>
#include <map>
#include <memory>

namespace parsleypaddle {

namespace {

    constexpr size_t callsAtOnce = 16;
    constexpr Milliseconds statusTimeout { 2000 };

    std::string textOf(const ControlAddress& address)
    {
        return address.host + ":" + std::to_string(address.port);
    }

    absl::Status noDaemonNamed()
    {
        return makeError(ResultCode::PeerUnreachable, "no daemon named; give --daemon HOST:PORT");
    }

    absl::StatusOr<Json::Value> parseResult(const ControlAddress& address, const ControlResult& result)
    {
        if (!result.isOk) {
            const auto code = isResultCode(static_cast<uint64_t>(result.code)) ? static_cast<ResultCode>(result.code) : ResultCode::OutcomeUnknown;
            const bool isOwnAnswer = code != ResultCode::PeerUnreachable && code != ResultCode::PeerSilent;
            return makeError(code, isOwnAnswer ? result.error : textOf(address) + ": " + result.error);
        }
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        Json::Value value;
        std::string faults;
        if (!reader->parse(result.body.data(), result.body.data() + result.body.size(), &value, &faults))
            return makeError(ResultCode::MalformedInput, textOf(address) + " gave no JSON: " + faults);
        return value;
    }

    std::vector<ControlAddress> addressesOf(const std::vector<FleetMember>& members)
    {
        std::vector<ControlAddress> addresses;
        addresses.reserve(members.size());
        for (const auto& it : members)
            addresses.push_back(it.address);
        return addresses;
    }

    // Adds the daemons that the members know and the tool does not yet. Returns whether there were any.
    bool addKnownToMembers(std::vector<FleetMember>& members)
    {
        std::map<std::string, FleetMember> found;
        for (const auto& member : members) {
            if (!member.status.ok())
                continue;
            for (const auto& it : member.status->instances)
                found[textOf({ it.host, it.controlPort })] = { it.instance, { it.host, it.controlPort }, absl::UnavailableError("not asked") };
        }
        for (auto& it : members) {
            auto named = found.find(textOf(it.address));
            if (named == found.end())
                continue;
            it.instance = named->second.instance;
            found.erase(named);
        }
        for (auto& [address, member] : found)
            members.push_back(std::move(member));
        return !found.empty();
    }

}

absl::StatusOr<Json::Value> callDaemon(ToolContext& context, const ControlAddress& address, const std::string& method, const Json::Value& parameters, Milliseconds timeout)
{
    const std::string text = Json::writeString(Json::StreamWriterBuilder(), parameters);
    return parseResult(address, context.ports.call(address, method, text, timeout));
}

absl::StatusOr<Json::Value> callAnyDaemon(ToolContext& context, const std::string& method, const Json::Value& parameters, Milliseconds timeout, bool isChange)
{
    absl::StatusOr<Json::Value> result = noDaemonNamed();
    for (const auto& it : context.options.daemons) {
        result = callDaemon(context, it, method, parameters, timeout);
        const ResultCode code = resultCodeOf(result.status());
        if (code == ResultCode::PeerSilent && isChange)
            return makeError(ResultCode::OutcomeUnknown, textOf(it) + " did not answer in time; look in `config history`");
        if (code != ResultCode::PeerUnreachable && code != ResultCode::PeerSilent)
            return result;
    }
    return result;
}

std::vector<absl::StatusOr<Json::Value>> callDaemons(ToolContext& context, const std::vector<ControlAddress>& addresses, const std::string& method, const Json::Value& parameters)
{
    std::vector<absl::StatusOr<Json::Value>> results;
    for (size_t start = 0; start < addresses.size(); start += callsAtOnce) {
        std::vector<std::future<absl::StatusOr<Json::Value>>> calls;
        for (size_t n = start; n < std::min(start + callsAtOnce, addresses.size()); ++n)
            calls.push_back(std::async(std::launch::async, [&, n] { return callDaemon(context, addresses[n], method, parameters, statusTimeout); }));
        for (auto& it : calls)
            results.push_back(it.get());
    }
    return results;
}

void refreshFleet(ToolContext& context, std::vector<FleetMember>& members)
{
    const auto results = callDaemons(context, addressesOf(members), "status", Json::objectValue);
    for (size_t n = 0; n < members.size(); ++n) {
        members[n].status = results[n].ok() ? daemonStatusFromJson(*results[n]) : absl::StatusOr<DaemonStatus>(results[n].status());
        if (members[n].status.ok())
            members[n].instance = members[n].status->instance;
    }
}

absl::StatusOr<std::vector<FleetMember>> findFleet(ToolContext& context)
{
    if (context.options.daemons.empty())
        return noDaemonNamed();
    std::vector<FleetMember> members;
    for (const auto& it : context.options.daemons)
        members.push_back({ {}, it, absl::UnavailableError("not asked") });
    refreshFleet(context, members);
    const auto hasAnswered = [](const FleetMember& it) { return it.status.ok(); };
    if (std::none_of(members.begin(), members.end(), hasAnswered))
        return members.front().status.status();
    if (addKnownToMembers(members))
        refreshFleet(context, members);
    return members;
}

}
