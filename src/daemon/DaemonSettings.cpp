#include "daemon/DaemonSettings.h"

#include "base/ResultCode.h"
#include "configuration/Duration.h"
#include "configuration/YamlReader.h"
#include "configuration/YamlValues.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace parsleypaddle {

namespace {

    constexpr const char* keyVariable = "PARSLEYPADDLE_KEYS";
    constexpr size_t shortestPeerKey = 16;
    constexpr uint32_t largestCallerLimit = 100'000;
    constexpr uint32_t largestBodyLimit = 256 * 1024 * 1024;

    std::optional<std::string> parseLevel(const std::string& text)
    {
        for (const char* it : { "trace", "debug", "info", "warn", "error" }) {
            if (text == it)
                return text;
        }
        return std::nullopt;
    }

    Endpoint readEndpoint(const YamlItem& item, YamlFaults& faults)
    {
        Endpoint endpoint;
        const YamlMap values(item, { "host", "port" }, faults);
        endpoint.host = values.value<std::string>("host", "an IP number", parseIpAddress, "");
        endpoint.port = static_cast<uint16_t>(values.value<uint32_t>("port", "a whole number from 0 to 65535", wholeNumberParser(0, UINT16_MAX), 0));
        return endpoint;
    }

    Endpoint readEndpoint(const YamlMap& map, const std::string& key, YamlFaults& faults)
    {
        if (map.has(key))
            return readEndpoint(map.item(key), faults);
        faults.add(map.item(key), "missing", "host and port");
        return {};
    }

    template <typename T>
    void readOptional(const YamlMap& map, const std::string& key, const std::string& expected, const std::function<std::optional<T>(const std::string&)>& parse, T& value)
    {
        if (map.has(key))
            value = map.value<T>(key, expected, parse, value);
    }

    void readOptionals(const YamlMap& map, DaemonSettings& settings)
    {
        const std::function<std::optional<Milliseconds>(const std::string&)> duration = parseDuration;
        const std::function<std::optional<std::string>(const std::string&)> level = parseLevel;
        readOptional(map, "platform-timeout", "a duration such as 1s", duration, settings.platformTimeout);
        readOptional(map, "drain-grace", "a duration such as 1s", duration, settings.drainGrace);
        readOptional(map, "drain-limit", "a duration such as 30s", duration, settings.drainLimit);
        readOptional(map, "log-level", "trace, debug, info, warn or error", level, settings.logLevel);
        uint32_t callers = settings.callerLimit;
        readOptional(map, "caller-limit", "a whole number from 1 to 100000", wholeNumberParser(1, largestCallerLimit), callers);
        settings.callerLimit = callers;
        auto body = static_cast<uint32_t>(settings.largestBody);
        readOptional(map, "largest-body", "a whole number of bytes from 1024 to 268435456", wholeNumberParser(1024, largestBodyLimit), body);
        settings.largestBody = body;
        if (map.has("key-file"))
            settings.keyFile = map.text("key-file", "the path of the key file");
    }

    absl::Status faultsAsStatus(const std::vector<ConfigurationFault>& faults, const std::string& file)
    {
        std::vector<std::string> lines;
        lines.reserve(faults.size());
        for (const auto& it : faults)
            lines.push_back(it.describe(file));
        return makeError(ResultCode::ConfigurationInvalid, absl::StrJoin(lines, "\n"));
    }

    absl::StatusOr<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return makeError(ResultCode::ConfigurationInvalid, absl::StrCat(path, ": cannot be read"));
        std::stringstream buf;
        buf << file.rdbuf();
        return buf.str();
    }

}

absl::StatusOr<DaemonSettings> parseDaemonSettings(const std::string& document, const std::string& file)
{
    YAML::Node root;
    try {
        root = YAML::Load(document);
    } catch (const YAML::Exception& ec) {
        return makeError(ResultCode::ConfigurationInvalid, absl::StrCat(file, ":", ec.mark.line + 1, ": ", ec.msg));
    }
    YamlFaults faults;
    const YamlMap map({ root, "" },
        { "instance", "failure-domain", "listen", "control", "platform", "seed-peers", "platform-timeout", "key-file", "log-level", "drain-grace", "drain-limit", "caller-limit", "largest-body" }, faults);
    DaemonSettings settings;
    settings.instance = InstanceId(map.text("instance", "this daemon's name"));
    settings.failureDomain = FailureDomainId(map.text("failure-domain", "the failure domain's name"));
    settings.listen = readEndpoint(map, "listen", faults);
    settings.control = readEndpoint(map, "control", faults);
    settings.platform = readEndpoint(map, "platform", faults);
    for (const auto& it : map.list("seed-peers"))
        settings.seedPeers.push_back(readEndpoint(it, faults));
    readOptionals(map, settings);
    const auto found = faults.takeSorted();
    if (!found.empty())
        return faultsAsStatus(found, file);
    return settings;
}

absl::StatusOr<DaemonSettings> loadDaemonSettings(const std::string& file)
{
    auto document = readFile(file);
    if (!document.ok())
        return document.status();
    return parseDaemonSettings(*document, file);
}

absl::StatusOr<DaemonKeys> parseDaemonKeys(const std::string& text, const std::string& source)
{
    DaemonKeys keys;
    int line = 0;
    for (const auto& it : absl::StrSplit(text, '\n')) {
        ++line;
        const std::vector<std::string> words = absl::StrSplit(it, ' ', absl::SkipWhitespace());
        if (words.empty() || words[0][0] == '#')
            continue;
        if (words.size() == 2 && words[0] == "peer" && words[1].size() >= shortestPeerKey)
            keys.peer.push_back(words[1]);
        else if (words.size() == 3 && words[0] == "token")
            keys.token.push_back({ words[1], words[2] });
        else
            return makeError(ResultCode::ConfigurationInvalid, absl::StrCat(source, ":", line, ": expected \"peer SECRET\" or \"token ID SECRET\", secrets of 16 bytes or more"));
    }
    if (keys.peer.empty() || keys.token.empty())
        return makeError(ResultCode::ConfigurationInvalid, absl::StrCat(source, ": needs at least one peer key and one token key"));
    return keys;
}

absl::StatusOr<DaemonKeys> loadDaemonKeys(const DaemonSettings& settings)
{
    if (settings.keyFile.empty()) {
        const char* text = std::getenv(keyVariable);
        return parseDaemonKeys(text ? text : "", keyVariable);
    }
    auto text = readFile(settings.keyFile);
    if (!text.ok())
        return text.status();
    return parseDaemonKeys(*text, settings.keyFile);
}

}
