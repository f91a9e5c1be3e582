#include "tool/Commands.h"
#include "tool/TextTable.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <json/reader.h>
#include <memory>
#include <ostream>
#include <sstream>

namespace parsleypaddle {

namespace {

    /// Beliefs that changed this long before a request's first line, or until its last, may have decided it.
    constexpr Milliseconds beliefSpan { 10'000 };

    /// One line of a daemon's log.
    struct LogLine {
        Instant at;
        std::string instance;
        std::string event;
        Json::Value fields;
    };

    /// Reads the JSON object of each line, whatever stands before it; other lines are passed over.
    std::vector<LogLine> readLines(const std::string& text)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        std::vector<LogLine> lines;
        std::istringstream in(text);
        for (std::string it; std::getline(in, it);) {
            const size_t begin = it.find('{');
            Json::Value value;
            if (begin == std::string::npos || !reader->parse(it.data() + begin, it.data() + it.size(), &value, nullptr))
                continue;
            if (!value.isObject() || !value["event"].isString() || !value["at_ms"].isNumeric() || !value["instance"].isString())
                continue;
            lines.push_back({ Instant(value["at_ms"].asDouble()), value["instance"].asString(), value["event"].asString(), value });
        }
        std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
        return lines;
    }

    bool isOfRequest(const LogLine& line, const std::string& request)
    {
        return line.fields["request"].isString() && line.fields["request"].asString() == request;
    }

    /// Lines without a request that concern the group of the request, or the instance that had it.
    bool isBelief(const LogLine& line, const LogLine& request)
    {
        if (!line.fields["request"].isNull())
            return false;
        if (!line.fields["group"].isNull())
            return line.fields["group"] == request.fields["group"];
        return line.instance == request.instance;
    }

    std::string detailsOf(const LogLine& line)
    {
        std::string details;
        for (const auto& name : line.fields.getMemberNames()) {
            const bool isColumn = name == "at_ms" || name == "instance" || name == "event" || name == "group";
            const std::string value = line.fields[name].isString() ? line.fields[name].asString() : "";
            if (isColumn || value.empty())
                continue;
            details += details.empty() ? "" : ", ";
            details.append(name).append("=").append(value);
        }
        return details;
    }

}

ExitCode runExplainLog(ToolContext& context)
{
    const std::string& request = context.arguments[0];
    const auto text = readFile(context.arguments[1]);
    if (!text.ok())
        return fail(context, text.status());
    const auto lines = readLines(*text);
    std::vector<const LogLine*> ofRequest;
    for (const auto& it : lines) {
        if (isOfRequest(it, request))
            ofRequest.push_back(&it);
    }
    if (ofRequest.empty())
        return fail(context, makeError(ResultCode::UnknownResource, "no line of the log names " + request));
    TextTable table({ "at", "daemon", "event", "details" });
    for (const auto& it : lines) {
        const bool isInSpan = it.at >= ofRequest.front()->at - beliefSpan && it.at <= ofRequest.back()->at;
        const bool tells = isOfRequest(it, request) || (isInSpan && isBelief(it, *ofRequest.front()));
        if (tells)
            table.add({ formatMoment(it.at), it.instance, it.event, detailsOf(it) });
    }
    table.print(context.ports.out);
    return ExitCode::Done;
}

}
