#include "tool/ToolOptions.h"

#include "base/ResultCode.h"
#include "configuration/Duration.h"

#include <absl/strings/numbers.h>
#include <array>
#include <getopt.h>
#include <limits>

namespace parsleypaddle {

namespace {

    enum class OptionKind : uint8_t {
        Flag,
        Text,
        Special,
    };

    struct OptionInfo {
        const char* name;
        OptionKind kind;
        bool ToolOptions::*flag;
        std::string ToolOptions::*text;
        const char* help;
    };

    constexpr std::array<OptionInfo, 18> optionInfos { {
        { "daemon", OptionKind::Special, nullptr, nullptr, "HOST:PORT of a daemon's control address; may be repeated, others are found from it" },
        { "key-file", OptionKind::Text, nullptr, &ToolOptions::keyFile, "FILE with the key; else the environment's PARSLEYPADDLE_KEY" },
        { "json", OptionKind::Flag, &ToolOptions::isJson, nullptr, "prints JSON" },
        { "help", OptionKind::Flag, &ToolOptions::wantsHelp, nullptr, "prints this help" },
        { "timeout", OptionKind::Special, nullptr, nullptr, "DURATION to wait until a change is in force everywhere, 15s if absent" },
        { "author", OptionKind::Text, nullptr, &ToolOptions::author, "NAME of who makes the change; else the environment's PARSLEYPADDLE_AUTHOR" },
        { "base", OptionKind::Special, nullptr, nullptr, "VERSION that the document started from; else the document's own" },
        { "id", OptionKind::Text, nullptr, &ToolOptions::id, "ID of the exception" },
        { "database", OptionKind::Text, nullptr, &ToolOptions::database, "DATABASE that the exception holds for" },
        { "shop", OptionKind::Text, nullptr, &ToolOptions::organisation, "SHOP that the exception holds for" },
        { "class", OptionKind::Text, nullptr, &ToolOptions::workload, "CLASS that the exception holds for" },
        { "setting", OptionKind::Text, nullptr, &ToolOptions::setting, "NAME of the setting that it changes" },
        { "value", OptionKind::Text, nullptr, &ToolOptions::value, "VALUE of the setting" },
        { "reason", OptionKind::Text, nullptr, &ToolOptions::reason, "TEXT that says why" },
        { "until", OptionKind::Text, nullptr, &ToolOptions::until, "UTC time when it ends, such as 2026-12-31T23:59:59Z" },
        { "slots", OptionKind::Text, nullptr, &ToolOptions::slots, "statements that one target runs at a time" },
        { "connections", OptionKind::Text, nullptr, &ToolOptions::connections, "connections that one target accepts" },
        { "target", OptionKind::Special, nullptr, nullptr, "ID=HOST:PORT@FAILURE-DOMAIN; repeated for each target" },
    } };

    absl::Status badValue(const std::string& option, const std::string& value, const std::string& expected)
    {
        return makeError(ResultCode::ValueOutOfRange, "--" + option + ": \"" + value + "\", expected " + expected);
    }

    absl::Status addDaemon(ToolOptions& options, const std::string& value)
    {
        const size_t colon = value.rfind(':');
        uint32_t port = 0;
        if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(value.substr(colon + 1), &port) || port == 0 || port > std::numeric_limits<uint16_t>::max())
            return badValue("daemon", value, "HOST:PORT");
        options.daemons.push_back({ value.substr(0, colon), static_cast<uint16_t>(port) });
        return absl::OkStatus();
    }

    absl::Status setTimeout(ToolOptions& options, const std::string& value)
    {
        const auto duration = parseDuration(value);
        if (!duration)
            return badValue("timeout", value, "a duration such as 15s");
        options.timeout = *duration;
        return absl::OkStatus();
    }

    absl::Status setBase(ToolOptions& options, const std::string& value)
    {
        uint64_t version = 0;
        if (!absl::SimpleAtoi(value, &version))
            return badValue("base", value, "a version's whole number");
        options.base = version;
        return absl::OkStatus();
    }

    absl::Status setSpecial(ToolOptions& options, const std::string& name, const std::string& value)
    {
        if (name == "daemon")
            return addDaemon(options, value);
        if (name == "timeout")
            return setTimeout(options, value);
        if (name == "base")
            return setBase(options, value);
        options.targets.push_back(value);
        return absl::OkStatus();
    }

    absl::Status setOption(ToolOptions& options, const OptionInfo& info, const std::string& value)
    {
        options.given.emplace_back(info.name);
        switch (info.kind) {
        case OptionKind::Flag:
            options.*info.flag = true;
            return absl::OkStatus();
        case OptionKind::Text:
            options.*info.text = value;
            return absl::OkStatus();
        case OptionKind::Special:
            break;
        }
        return setSpecial(options, info.name, value);
    }

    std::vector<option> longOptions()
    {
        std::vector<option> known;
        known.reserve(optionInfos.size() + 1);
        for (const auto& it : optionInfos)
            known.push_back({ it.name, it.kind == OptionKind::Flag ? no_argument : required_argument, nullptr, 0 });
        known.push_back({ nullptr, 0, nullptr, 0 });
        return known;
    }

}

absl::StatusOr<ToolOptions> parseToolOptions(const std::vector<std::string>& arguments)
{
    ToolOptions options;
    std::vector<std::string> copies { "parsleypaddle" };
    copies.insert(copies.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (auto& it : copies)
        pointers.push_back(it.data());
    pointers.push_back(nullptr);
    const auto known = longOptions();
    const int count = static_cast<int>(copies.size());
    // 0 makes getopt_long start afresh, as tests read many command lines.
    optind = 0;
    opterr = 0;
    int index = 0;
    for (int it = getopt_long(count, pointers.data(), "", known.data(), &index); it != -1; it = getopt_long(count, pointers.data(), "", known.data(), &index)) {
        if (it != 0)
            return makeError(ResultCode::UnknownField, std::string("unknown option or missing value: ") + pointers[static_cast<size_t>(optind) - 1]);
        auto status = setOption(options, optionInfos[static_cast<size_t>(index)], optarg ? optarg : "");
        if (!status.ok())
            return status;
    }
    for (int n = optind; n < count; ++n)
        options.words.emplace_back(pointers[static_cast<size_t>(n)]);
    return options;
}

std::string helpOfOption(const std::string& name)
{
    for (const auto& it : optionInfos) {
        if (name == it.name)
            return it.help;
    }
    return "";
}

}
