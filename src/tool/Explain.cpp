#include "tool/Commands.h"
#include "tool/FleetCaller.h"
#include "tool/TextTable.h"

#include <algorithm>
#include <ostream>

namespace parsleypaddle {

namespace {

    struct ExplainedDecision {
        Instant at;
        std::string instance;
        std::string what;
        std::string why;
    };

    std::vector<ExplainedDecision> collect(ToolContext& context, const std::vector<FleetMember>& members, const Json::Value& parameters)
    {
        std::vector<ControlAddress> addresses;
        for (const auto& it : members) {
            if (it.status.ok())
                addresses.push_back(it.address);
            else
                context.ports.err << "not asked: " << it.instance.value() << ": " << it.status.status().message() << '\n';
        }
        std::vector<ExplainedDecision> decisions;
        for (const auto& result : callDaemons(context, addresses, "explain", parameters)) {
            if (!result.ok()) {
                context.ports.err << "no answer: " << result.status().message() << '\n';
                continue;
            }
            for (const auto& it : (*result)["decisions"])
                decisions.push_back({ Instant(it["at"].asDouble()), (*result)["instance"].asString(), it["what"].asString(), it["why"].asString() });
        }
        std::stable_sort(decisions.begin(), decisions.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return decisions;
    }

    void print(ToolContext& context, const std::vector<ExplainedDecision>& decisions)
    {
        Json::Value list(Json::arrayValue);
        TextTable table({ "at", "daemon", "what", "why" });
        for (const auto& it : decisions) {
            Json::Value value;
            value["at"] = it.at.sinceEpoch();
            value["instance"] = it.instance;
            value["what"] = it.what;
            value["why"] = it.why;
            list.append(value);
            table.add({ formatMoment(it.at), it.instance, it.what, it.why });
        }
        if (context.options.isJson)
            printJson(context, list);
        else
            table.print(context.ports.out);
    }

    ExitCode explain(ToolContext& context, const char* kind)
    {
        const auto members = findFleet(context);
        if (!members.ok())
            return fail(context, members.status());
        Json::Value parameters;
        parameters[kind] = context.arguments[0];
        const auto decisions = collect(context, *members, parameters);
        if (decisions.empty())
            return fail(context, makeError(ResultCode::UnknownResource, "no daemon in reach remembers " + context.arguments[0]));
        print(context, decisions);
        return ExitCode::Done;
    }

}

ExitCode runExplainRequest(ToolContext& context)
{
    return explain(context, "request");
}

ExitCode runExplainGroup(ToolContext& context)
{
    return explain(context, "database");
}

}
